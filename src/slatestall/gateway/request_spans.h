#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

#include "slatestall/gateway/routing_table.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Where the time of a request went: its stages, its call to an
/// endpoint and the first event of its stream.
/// @ingroup gateway
class request_spans {
 public:
  explicit request_spans(time_point arrived) : arrived_(arrived) {}

  /// @brief A stage was begun, perhaps anew; its last run counts.
  void NoteBegun(std::size_t stage, time_point now);
  void NoteMade(std::size_t stage, time_point now);
  /// @brief The request was sent to an endpoint; the last time counts.
  void NoteSent(time_point now) { sent_ = now; }
  void NoteFirstEvent(time_point now) { first_event_ = now; }

  duration SinceSent(time_point now) const { return now - sent_; }
  std::optional<time_point> FirstEvent() const;

  /// @brief For the log, in milliseconds from the arrival; null for what did
  /// not come.
  /// @param stages Of the request's route.
  nlohmann::json Fields(const std::vector<stage_rule>& stages,
                        time_point objective) const;

 private:
  struct stage_span {
    time_point begun{};
    time_point made{};  ///< Not set: not made.
  };

  nlohmann::json SinceArrival(time_point at) const;

  time_point arrived_;
  std::map<std::size_t, stage_span> stages_;  ///< Those that were begun.
  time_point sent_{};
  time_point first_event_{};
};

}  // namespace slatestall
