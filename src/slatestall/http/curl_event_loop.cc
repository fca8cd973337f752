#include "slatestall/http/curl_event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace slatestall {

namespace {

/// Sockets served before the event loop turns to its other work.
constexpr int kSocketsATurn = 64;
constexpr unsigned kGenerationShift = 32;

asio::posix::stream_descriptor NewEpoll(asio::io_context& context) {
  const int number = ::epoll_create1(EPOLL_CLOEXEC);
  if (number < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
  return {context, number};
}

std::uint32_t EpollEvents(int wanted) {
  std::uint32_t events = 0;
  if ((wanted & CURL_POLL_IN) != 0) {
    events |= EPOLLIN;
  }
  if ((wanted & CURL_POLL_OUT) != 0) {
    events |= EPOLLOUT;
  }
  return events;
}

/// An error or a hang-up is found by reading or writing, whatever is wanted.
int Ready(std::uint32_t events, int wanted) {
  const bool broken = (events & (EPOLLERR | EPOLLHUP)) != 0;
  int ready = 0;
  if ((wanted & CURL_POLL_IN) != 0 && (broken || (events & EPOLLIN) != 0)) {
    ready |= CURL_CSELECT_IN;
  }
  if ((wanted & CURL_POLL_OUT) != 0 && (broken || (events & EPOLLOUT) != 0)) {
    ready |= CURL_CSELECT_OUT;
  }
  return ready;
}

}  // namespace

curl_event_loop::curl_event_loop(asio::io_context& context,
                                 std::size_t max_idle_connections,
                                 std::function<void()> on_progress)
    : multi_(curl_multi_init()),
      on_progress_(std::move(on_progress)),
      timer_(context),
      sockets_(NewEpoll(context)) {
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
  watches_.clear();
  std::error_code error;
  sockets_.close(error);
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
  socket_watch& watch = watches_[socket];
  if (watch.generation == 0) {
    watch.generation = ++last_generation_;
  }
  watch.wanted = what;
  Register(socket, watch);
  WaitForSockets();
}

void curl_event_loop::Register(curl_socket_t socket, socket_watch& watch) {
  epoll_event event{};
  event.events = EpollEvents(watch.wanted);
  event.data.u64 = std::uint64_t{watch.generation} << kGenerationShift |
                   static_cast<std::uint32_t>(socket);
  // A socket of which nothing is wanted leaves the set: epoll reports a
  // hang-up all the same, over and over, and nobody would read it away.
  const bool wanted = event.events != 0;
  if (wanted || watch.registered) {
    const int change = !wanted            ? EPOLL_CTL_DEL
                       : watch.registered ? EPOLL_CTL_MOD
                                          : EPOLL_CTL_ADD;
    ::epoll_ctl(sockets_.native_handle(), change, socket, &event);
  }
  watch.registered = wanted;
}

void curl_event_loop::Unwatch(curl_socket_t socket) {
  const auto found = watches_.find(socket);
  if (found == watches_.end()) {
    return;
  }
  found->second.wanted = CURL_POLL_NONE;
  Register(socket, found->second);
  watches_.erase(found);
  if (watches_.empty()) {
    // A wait that is left pending keeps an event loop from running out of work.
    std::error_code error;
    sockets_.cancel(error);
  }
}

void curl_event_loop::CloseSocket(curl_socket_t socket) {
  // A number closed under the reactor is given out again by the next socket
  // call, and events of the new connection would reach the old one's watch.
  // Letting go first, in this one place, rules that out.
  Unwatch(socket);
  ::close(socket);
}

void curl_event_loop::WaitForSockets() {
  if (waits_for_sockets_ || closed_ || watches_.empty()) {
    return;
  }
  waits_for_sockets_ = true;
  sockets_.async_wait(asio::posix::stream_descriptor::wait_read,
                      [weak = weak_from_this()](std::error_code error) {
                        const auto loop = weak.lock();
                        if (!loop || loop->closed_) {
                          return;
                        }
                        loop->waits_for_sockets_ = false;
                        if (error) {
                          loop->WaitForSockets();
                          return;
                        }
                        loop->ServeSockets();
                      });
}

// Sockets that are left over, or not come to because a completion threw, are
// reported again: the set is level-triggered.
void curl_event_loop::ServeSockets() {
  struct wait_again {
    curl_event_loop& loop;
    ~wait_again() { loop.WaitForSockets(); }
  } const finally{*this};
  std::array<epoll_event, kSocketsATurn> events{};
  const int count =
      ::epoll_wait(sockets_.native_handle(), events.data(), kSocketsATurn, 0);
  for (int i = 0; i < count && !closed_; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    ServeSocket(event.data.u64, event.events);
  }
}

// A socket may be closed and its number given out again while earlier ones of
// the same turn are served: its event then is of another connection, which
// the generation tells.
void curl_event_loop::ServeSocket(std::uint64_t tag, std::uint32_t events) {
  const auto socket = static_cast<curl_socket_t>(tag & UINT32_MAX);
  const auto found = watches_.find(socket);
  if (found == watches_.end() ||
      found->second.generation != tag >> kGenerationShift) {
    return;
  }
  const int ready = Ready(events, found->second.wanted);
  if (ready != 0) {
    Act(socket, ready);
    on_progress_();
  }
}

void curl_event_loop::SetTimer(long timeout_ms) {  // NOLINT
  if (timeout_ms < 0 || closed_) {
    due_.reset();
    armed_.reset();
    timer_.cancel();
    return;
  }
  due_ = std::chrono::steady_clock::now() + milliseconds(timeout_ms);
  // libcurl moves its time limit with each read. A timer that fires too early
  // is set again then, which is rare; setting it each time costs a system call
  // a token.
  if (!armed_ || *due_ < *armed_) {
    ArmTimer();
  }
}

void curl_event_loop::ArmTimer() {
  armed_ = due_;
  timer_.expires_at(*due_);
  timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const auto loop = weak.lock();
    if (!error && loop && !loop->closed_) {
      loop->OnTimerFired();
    }
  });
}

void curl_event_loop::OnTimerFired() {
  // A wait that had ended when it was cancelled or set anew fires all the same.
  if (!armed_ || std::chrono::steady_clock::now() < *armed_) {
    return;
  }
  armed_.reset();
  if (std::chrono::steady_clock::now() < *due_) {
    ArmTimer();
    return;
  }
  due_.reset();
  Act(CURL_SOCKET_TIMEOUT, 0);
  on_progress_();
}

void curl_event_loop::Act(curl_socket_t socket, int events) {
  int running = 0;
  inside_curl_ = true;
  curl_multi_socket_action(multi_, socket, events, &running);
  inside_curl_ = false;
}

}  // namespace slatestall
