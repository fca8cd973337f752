#pragma once

#include "slatestall/model/name_table.h"
#include "slatestall/policy/trace.h"

namespace slatestall {

inline constexpr int kTraceFormat = 1;

inline constexpr name_table<fault_kind, 7> kFaultNames{{
    {fault_kind::kSlow, "slow"},
    {fault_kind::kFail, "fail"},
    {fault_kind::kBusy, "busy"},
    {fault_kind::kSilent, "silent"},
    {fault_kind::kPaused, "paused"},
    {fault_kind::kRestart, "restart"},
    {fault_kind::kLeaving, "leaving"},
}};

}  // namespace slatestall
