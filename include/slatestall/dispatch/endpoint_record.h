#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "slatestall/dispatch/moving_average.h"
#include "slatestall/model/time.h"
#include "slatestall/model/told_load.h"

namespace slatestall {

/// @brief One run of an endpoint. One that starts again may have the id that
/// it had, and then holds and knows nothing of before.
/// @ingroup dispatch
struct endpoint_incarnation {
  std::string id;
  std::int64_t started_ms = 0;  ///< Unix time; 0: not told.

  friend bool operator==(const endpoint_incarnation&,
                         const endpoint_incarnation&) = default;
  friend bool operator<(const endpoint_incarnation& a,
                        const endpoint_incarnation& b) {
    return std::tie(a.id, a.started_ms) < std::tie(b.id, b.started_ms);
  }
};

/// @brief One incarnation of an endpoint as the platform lists it.
struct known_endpoint {
  std::string id;
  std::int64_t started_ms = 0;  ///< Unix time of its start; 0: not told.
  std::string service;
  std::string version;  ///< Of its software; versions have no order.
  asio::ip::tcp::endpoint address;
  std::string failure_domain;
  std::uint32_t slots = 1;
  bool leaving = false;    ///< Takes no new work.
  bool evacuated = false;  ///< Its failure domain takes no new work for now.
  /// Has started of late, or is as slow as one that has, until then at most.
  time_point cold_until{};

  endpoint_incarnation Incarnation() const { return {id, started_ms}; }

  friend bool operator==(const known_endpoint&,
                         const known_endpoint&) = default;
};

/// @brief "IP:port".
std::string AddressText(const known_endpoint& endpoint);

/// @brief How a call ended, as far as it says something of the endpoint.
enum class call_lesson {
  kAnswered,
  kRefused,  ///< Not run, by its own word: full or not this incarnation.
  kFailed,   ///< Broke off, spoiled its answer or answered with a failure.
  kUnreachable,
  kNothing,  ///< Cancelled, or the deadline ran out.
};

/// @brief What one host has seen of one endpoint.
class endpoint_record {
 public:
  /// @param may_avoid Whether it is left alone after failures.
  /// @param uses_pace Whether the pace that it reports counts.
  explicit endpoint_record(known_endpoint info, bool may_avoid = true,
                           bool uses_pace = true)
      : info_(std::move(info)), may_avoid_(may_avoid), uses_pace_(uses_pace) {}

  const known_endpoint& Info() const { return info_; }
  void Update(known_endpoint info) { info_ = std::move(info); }

  void NoteStart() { ++in_flight_; }
  void NoteEnd(call_lesson lesson, time_point now);
  /// @brief What was noted of failures was the host's own.
  void ForgetFailures();
  /// @brief Load that an answer told; it counts this host's calls, too.
  void NoteLoad(const told_load& load);
  /// @brief Calls a second that it takes from all hosts together; nothing: as
  /// many as it has places for.
  /// @returns whether that is news.
  bool NoteQuota(std::optional<double> per_second);
  const std::optional<double>& Quota() const { return quota_; }
  /// @brief Whether an answer has just reported that most places are free.
  bool HasRoom(time_point now) const;
  /// @brief Whether no place of it seems to be free.
  bool IsFull(time_point now) const { return Busy(now) + 1.0 > info_.slots; }
  /// @brief An answer reported that the endpoint is leaving. Final for this
  /// incarnation: a later list may be older than the answer.
  /// @returns whether that is new.
  bool NoteLeaving() { return !std::exchange(reported_leaving_, true); }
  bool ReportedLeaving() const { return reported_leaving_; }
  /// @brief A refusal asked for no calls of this host until then; the latest
  /// such time counts.
  /// @returns whether it has moved.
  bool NoteBackOff(time_point until);
  time_point BackOffUntil() const { return back_off_until_; }
  bool BacksOff(time_point now) const { return now < back_off_until_; }
  /// @param relative Time that an answer took against what was expected.
  void NoteSlowness(double relative) { slowness_.Add(relative); }
  /// @brief Whether its machine is slower than usual, as it has just reported.
  /// What takes long meanwhile says nothing of the endpoint.
  bool IsHeldUp(time_point now) const { return Pace(now) > 1.0; }

  /// @brief How long work takes there now against what is usual, as the last
  /// answer reported it; 1 where that is not known or too old.
  double Pace(time_point now) const;

  std::uint32_t InFlight() const { return in_flight_; }
  /// @brief Calls there now, other hosts' estimated from the last told load.
  double Busy(time_point now) const;
  /// @brief Calls of other hosts there now, estimated.
  double OthersBusy(time_point now) const;
  /// @brief 1 where it is as fast as expected.
  double Slowness() const { return slowness_.Value(); }
  double FailureShare() const { return failures_.Value(); }
  /// @brief Left alone until then, after failures in a row.
  time_point AvoidUntil() const { return avoid_until_; }
  bool Avoided(time_point now) const {
    return may_avoid_ && now < avoid_until_;
  }
  bool Cold(time_point now) const { return now < info_.cold_until; }
  /// @brief Whether the list holds it. One that is not listed takes no call,
  /// also none that chose it before and whose connection is still being made.
  void SetListed(bool listed) { listed_ = listed; }
  /// @brief Takes it out for good: another incarnation has its address.
  void MarkGone() { gone_ = true; }
  bool Usable() const {
    return listed_ && !gone_ && !reported_leaving_ && !info_.leaving &&
           !info_.evacuated;
  }
  /// @brief Usable, and not in a back-off.
  bool TakesCalls(time_point now) const { return Usable() && !BacksOff(now); }

 private:
  known_endpoint info_;
  bool may_avoid_;
  bool uses_pace_;
  std::uint32_t in_flight_ = 0;
  told_load told_;
  std::optional<double> quota_;
  std::uint32_t in_flight_when_told_ = 0;
  unsigned failures_in_row_ = 0;
  time_point avoid_until_{};
  bool listed_ = true;
  bool gone_ = false;
  bool reported_leaving_ = false;
  time_point back_off_until_{};
  /// Five calls make two thirds of it: a slow or failing endpoint is known
  /// after few calls, and forgiven after as many.
  static constexpr double kLearningWeight = 0.2;
  moving_average slowness_{kLearningWeight, 1.0};
  moving_average failures_{kLearningWeight};
};

using endpoint_record_ptr = std::shared_ptr<endpoint_record>;

}  // namespace slatestall
