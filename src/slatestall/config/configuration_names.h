#pragma once

#include "slatestall/model/configuration.h"
#include "slatestall/model/name_table.h"

namespace slatestall {

inline constexpr name_table<fencing, 2> kFencingNames{{
    {fencing::kChecked, "checked"},
    {fencing::kIgnored, "ignored"},
}};

}  // namespace slatestall
