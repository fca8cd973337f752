#include "slatestall/http/curl_event_loop.h"

#include <unistd.h>

#include <asio/posix/stream_descriptor.hpp>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace slatestall {

struct curl_event_loop::socket_watch {
  socket_watch(asio::io_context& context, curl_socket_t number)
      : descriptor(context, number), socket(number) {}

  asio::posix::stream_descriptor descriptor;
  curl_socket_t socket;
  int wanted = CURL_POLL_NONE;
  int waiting = CURL_POLL_NONE;
  bool removed = false;
};

curl_event_loop::curl_event_loop(asio::io_context& context,
                                 std::size_t max_idle_connections,
                                 std::function<void()> on_progress)
    : context_(context),
      multi_(curl_multi_init()),
      on_progress_(std::move(on_progress)),
      timer_(context) {
  if (multi_ == nullptr) {
    throw std::runtime_error("libcurl cannot be started");
  }
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(max_idle_connections));  // NOLINT
}

curl_event_loop::~curl_event_loop() { Close(); }

void curl_event_loop::Close() {
  if (std::exchange(closed_, true)) {
    return;
  }
  timer_.cancel();
  curl_multi_cleanup(multi_);
  for (auto& [socket, watch] : watches_) {
    watch->removed = true;
    watch->descriptor.release();
  }
  watches_.clear();
}

int curl_event_loop::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what,
                              void* self, void* /*unused*/) {
  auto* loop = static_cast<curl_event_loop*>(self);
  if (what == CURL_POLL_REMOVE) {
    loop->Unwatch(socket);
  } else {
    loop->Watch(socket, what);
  }
  return 0;
}

int curl_event_loop::OnTimer(CURLM* /*multi*/,
                             long timeout_ms,  // NOLINT(google-runtime-int)
                             void* self) {
  static_cast<curl_event_loop*>(self)->SetTimer(timeout_ms);
  return 0;
}

void curl_event_loop::Watch(curl_socket_t socket, int what) {
  auto& watch = watches_[socket];
  if (!watch) {
    watch = std::make_shared<socket_watch>(context_, socket);
  }
  watch->wanted = what;
  Arm(watch);
}

void curl_event_loop::Unwatch(curl_socket_t socket) {
  const auto found = watches_.find(socket);
  if (found == watches_.end()) {
    return;
  }
  // libcurl owns the socket: the reactor lets go of it and leaves it open.
  found->second->removed = true;
  found->second->descriptor.release();
  watches_.erase(found);
}

void curl_event_loop::CloseSocket(curl_socket_t socket) {
  // A number closed under the reactor is given out again by the next socket
  // call, and events of the new connection would reach the old one's watch.
  // Letting go first, in this one place, rules that out.
  Unwatch(socket);
  ::close(socket);
}

void curl_event_loop::Arm(const std::shared_ptr<socket_watch>& watch) {
  for (const int direction : {CURL_POLL_IN, CURL_POLL_OUT}) {
    const bool wanted = (watch->wanted & direction) != 0;
    const bool waiting = (watch->waiting & direction) != 0;
    if (wanted && !waiting) {
      Wait(watch, direction);
    }
  }
}

void curl_event_loop::Wait(const std::shared_ptr<socket_watch>& watch,
                           int direction) {
  watch->waiting |= direction;
  const auto kind = direction == CURL_POLL_IN
                        ? asio::posix::stream_descriptor::wait_read
                        : asio::posix::stream_descriptor::wait_write;
  watch->descriptor.async_wait(
      kind, [weak = weak_from_this(), watch, direction](std::error_code error) {
        watch->waiting &= ~direction;
        const auto loop = weak.lock();
        if (!loop || loop->closed_ || watch->removed) {
          return;
        }
        if ((watch->wanted & direction) == 0) {
          return;
        }
        const int ready =
            direction == CURL_POLL_IN ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
        loop->Act(watch->socket, error ? CURL_CSELECT_ERR : ready);
        if (!watch->removed) {
          loop->Arm(watch);
        }
        loop->on_progress_();
      });
}

void curl_event_loop::SetTimer(long timeout_ms) {  // NOLINT
  timer_.cancel();
  if (timeout_ms < 0 || closed_) {
    return;
  }
  timer_.expires_after(std::chrono::milliseconds(timeout_ms));
  timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const auto loop = weak.lock();
    if (!error && loop && !loop->closed_) {
      loop->Act(CURL_SOCKET_TIMEOUT, 0);
      loop->on_progress_();
    }
  });
}

void curl_event_loop::Act(curl_socket_t socket, int events) {
  int running = 0;
  inside_curl_ = true;
  curl_multi_socket_action(multi_, socket, events, &running);
  inside_curl_ = false;
}

}  // namespace slatestall
