#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "slatestall/dispatch/moving_average.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Tokens of a prompt, by whether other requests share them.
/// @ingroup dispatch
struct prompt_size {
  std::uint32_t own_tokens = 0;
  std::uint32_t shared_tokens = 0;  ///< Of parts that may lie cached.
};

/// @brief Learns how long the endpoints of a service take from a request to the
/// first event of its stream.
///
/// Answers streams of very different prompts on engines whose speed no
/// configuration tells: how late their stages may end follows from it. A time
/// that is too long by 300 ms makes work urgent that is not, and refuses what
/// could be served; one that is too short makes answers late.
///
/// The time is taken as a fixed part, a part for each own and one for each
/// shared token, fitted to what was seen; the last one holds what share of
/// shared tokens is found cached. An outlier counts as a few times the expected
/// time at most, so that a stalled endpoint does little harm. Pure state.
class first_event_time {
 public:
  /// @param otherwise Told until enough has been seen.
  duration Expected(const prompt_size& prompt, duration otherwise) const;
  void Note(const prompt_size& prompt, duration taken);

 private:
  /// The fixed part, own tokens, shared tokens.
  static constexpr std::size_t kTerms = 3;
  /// One number for each term.
  using term_values = std::array<double, kTerms>;

  static term_values TermsOf(const prompt_size& prompt);
  double Fitted(const prompt_size& prompt) const;
  void Fit();

  std::array<term_values, kTerms> products_{};  ///< Of terms, summed.
  term_values targets_{};  ///< Terms times seconds, summed.
  term_values factors_{};  ///< Seconds for each term.
  std::size_t seen_ = 0;
  moving_average deviation_{0.05};  ///< From what was expected, seconds.
};

}  // namespace slatestall
