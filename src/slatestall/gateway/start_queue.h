#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "slatestall/relay/caller_listener.h"

namespace slatestall {

/// @brief Requests that come before this host has learnt what it serves.
///
/// After all hosts were lost, callers are sent to hosts that are not ready yet,
/// since there are no others. Most of them come back once only: refused by a
/// host that knows its routes a moment later, they have nothing left. So they
/// wait for that moment, and no longer than a start usually takes; a host that
/// still knows nothing then refuses at once.
/// @ingroup gateway
class start_queue {
 public:
  /// A configuration of thousands of routes on a narrow link and a small part
  /// of a core, where all hosts read at once.
  static constexpr milliseconds kUsualStart{1200};

  using begin_hook = std::function<void(inbound_request, answer_channel_ptr)>;

  start_queue(asio::io_context& context, begin_hook begin);

  /// @brief Begins the request, or keeps it until `End`.
  void Take(inbound_request request, answer_channel_ptr channel);
  /// @brief The host knows what to serve, or stops: nothing waits any more.
  void End();

 private:
  struct waiting_request {
    inbound_request request;
    answer_channel_ptr channel;
    bool is_gone = false;  ///< Its caller left.
  };

  begin_hook begin_;
  asio::steady_timer limit_;
  std::vector<std::shared_ptr<waiting_request>> waiting_;
  bool ended_ = false;
};

}  // namespace slatestall
