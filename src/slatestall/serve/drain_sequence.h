#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What a graceful shutdown does, in this order.
struct drain_hooks {
  /// Readiness fails and others learn of it; requests are still served.
  std::function<void()> announce;
  /// New requests are refused as not run; those in hand go on.
  std::function<void()> stop_accepting;
  /// Requests in hand.
  std::function<std::size_t()> in_hand;
  /// Hands over what others need; `done` may run on any thread.
  std::function<void(std::function<void()> done)> hand_over;
  /// The process may end.
  std::function<void()> finished;
};

struct drain_options {
  /// How long the balancer may still send requests after `announce`.
  milliseconds grace{5000};
  /// Longest that a request in hand can take.
  milliseconds longest_request{6000};
  /// For the last bytes of answers that end right at their deadline.
  milliseconds answer_slack{500};
  milliseconds hand_over_timeout{5000};
};

/// @brief Graceful shutdown of a host: cuts no request.
class drain_sequence {
 public:
  drain_sequence(asio::io_context& context, drain_hooks hooks);

  /// @brief Begins; later calls do nothing.
  void Begin(const drain_options& options);
  bool Begun() const { return begun_; }

 private:
  void StopAccepting();
  void WaitForRequests();
  void HandOver();
  void Finish();
  void After(milliseconds delay, void (drain_sequence::*next)());

  asio::io_context& context_;
  asio::steady_timer timer_;
  drain_hooks hooks_;
  drain_options options_;
  bool begun_ = false;
  bool finished_ = false;
  time_point last_answer_by_{};
};

}  // namespace slatestall
