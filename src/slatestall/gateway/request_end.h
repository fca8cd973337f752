#pragma once

#include "slatestall/model/name_table.h"

namespace slatestall {

/// @brief How a request left its host.
/// @ingroup gateway
enum class request_end {
  kAnswered,    ///< The endpoint's whole answer, of whatever status.
  kStreamed,    ///< A stream with its end.
  kRefused,     ///< With an answer of this host's own.
  kCut,         ///< A stream without its end.
  kCallerGone,  ///< The caller left first.
};

inline constexpr name_table<request_end, 5> kRequestEndNames{{
    {request_end::kAnswered, "answered"},
    {request_end::kStreamed, "streamed"},
    {request_end::kRefused, "refused"},
    {request_end::kCut, "cut"},
    {request_end::kCallerGone, "caller gone"},
}};

/// @brief Whether the caller has an endpoint's answer, in full.
constexpr bool IsWhole(request_end end) {
  return end == request_end::kAnswered || end == request_end::kStreamed;
}

}  // namespace slatestall
