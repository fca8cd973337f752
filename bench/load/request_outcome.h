#pragma once

#include <string>
#include <vector>

#include "slatestall/model/name_table.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What a caller knows in the end. Ordered: of two copies of a request
/// the earlier outcome in this list stands for both.
enum class outcome_kind {
  kCrossed,  ///< An answer that is not the request's own.
  kFull,
  kLate,     ///< Whole, but after the deadline.
  kUnknown,  ///< May have run, and must not simply be sent again.
  kFailed,   ///< Failed; sending it again can do no harm.
  kLost,     ///< No answer at all, also not after resends.
  kRefused,  ///< Said to be not run.
};

inline constexpr name_table<outcome_kind, 7> kOutcomeNames{{
    {outcome_kind::kCrossed, "crossed"},
    {outcome_kind::kFull, "full"},
    {outcome_kind::kLate, "late"},
    {outcome_kind::kUnknown, "unknown"},
    {outcome_kind::kFailed, "failed"},
    {outcome_kind::kLost, "lost"},
    {outcome_kind::kRefused, "refused"},
}};

struct request_outcome {
  outcome_kind kind = outcome_kind::kLost;
  std::string detail;
  duration total{};
  duration first_byte{};       ///< Zero where none was seen.
  std::vector<float> gaps_ms;  ///< Between pieces of a stream, as they came.
  unsigned tokens = 0;
  unsigned resends = 0;
};

}  // namespace slatestall
