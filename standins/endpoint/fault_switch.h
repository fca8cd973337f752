#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

#include "slatestall/model/name_table.h"

namespace slatestall {

enum class fault_mode {
  kNone,
  kSlow,        ///< Work takes `factor` times as long.
  kHang,        ///< Takes the call and never answers or acts.
  kDropBefore,  ///< Closes without acting.
  kDropAfter,   ///< Acts and closes without an answer.
  kCross,       ///< Answers with another attempt's id and content.
  kDuplicate,   ///< Sends each event of a stream twice.
  kTruncate,    ///< Cuts the answer in half.
  kError,       ///< 500, without a proof that nothing ran.
  kLeaving,     ///< Takes no new work and says so.
  kRefuse,      ///< 429 with the proof that nothing ran.
};

inline constexpr name_table<fault_mode, 11> kFaultModeNames{{
    {fault_mode::kNone, "none"},
    {fault_mode::kSlow, "slow"},
    {fault_mode::kHang, "hang"},
    {fault_mode::kDropBefore, "drop_before"},
    {fault_mode::kDropAfter, "drop_after"},
    {fault_mode::kCross, "cross"},
    {fault_mode::kDuplicate, "duplicate"},
    {fault_mode::kTruncate, "truncate"},
    {fault_mode::kError, "error"},
    {fault_mode::kLeaving, "leaving"},
    {fault_mode::kRefuse, "refuse"},
}};

/// @brief Decides which calls of one endpoint go wrong, and how.
class fault_switch {
 public:
  explicit fault_switch(std::uint64_t seed) : random_(seed) {}

  /// @brief Takes `{"mode", "factor", "count", "probability"}`; without a
  /// count the fault lasts until the next change.
  /// @throws std::invalid_argument on an unknown mode.
  void Change(const nlohmann::json& change);

  /// @brief The fault of the next call; counts it.
  fault_mode NextCall();

  double SlowFactor() const;
  bool Leaving() const { return mode_ == fault_mode::kLeaving; }

 private:
  std::mt19937_64 random_;
  fault_mode mode_ = fault_mode::kNone;
  double factor_ = 1;
  double probability_ = 1;
  std::optional<std::uint64_t> calls_left_;
};

}  // namespace slatestall
