#include "slatestall/gateway/start_queue.h"

#include <utility>

namespace slatestall {

start_queue::start_queue(asio::io_context& context, begin_hook begin)
    : begin_(std::move(begin)), limit_(context) {
  limit_.expires_after(kUsualStart);
  limit_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      End();
    }
  });
}

void start_queue::Take(inbound_request request, answer_channel_ptr channel) {
  if (ended_) {
    begin_(std::move(request), std::move(channel));
    return;
  }
  auto kept = std::make_shared<waiting_request>();
  kept->request = std::move(request);
  kept->channel = std::move(channel);
  // Begun for a caller that has left, it would run for nobody.
  kept->channel->OnCallerGone([weak = std::weak_ptr(kept)] {
    if (const auto gone = weak.lock()) {
      gone->is_gone = true;
    }
  });
  waiting_.push_back(std::move(kept));
}

void start_queue::End() {
  ended_ = true;
  limit_.cancel();
  for (const auto& kept : std::exchange(waiting_, {})) {
    if (!kept->is_gone) {
      begin_(std::move(kept->request), std::move(kept->channel));
    }
  }
}

}  // namespace slatestall
