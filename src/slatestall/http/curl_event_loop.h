#pragma once

#include <curl/curl.h>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Drives one libcurl multi handle by one io_context.
///
/// The sockets of all calls are watched by one epoll instance, and the
/// io_context waits for that instance alone.
///
/// Owned by a shared pointer; handlers that are still queued when `Close` was
/// called do nothing.
class curl_event_loop : public std::enable_shared_from_this<curl_event_loop> {
 public:
  /// @param on_progress runs after libcurl has worked, outside of it.
  curl_event_loop(asio::io_context& context, std::size_t max_idle_connections,
                  std::function<void()> on_progress);
  ~curl_event_loop();
  curl_event_loop(const curl_event_loop&) = delete;
  curl_event_loop& operator=(const curl_event_loop&) = delete;

  CURLM* Multi() const { return multi_; }
  /// @brief Whether libcurl is on the stack, where it takes no other calls.
  bool InsideCurl() const { return inside_curl_; }
  /// @brief Ends all socket and timer work; every easy handle must have been
  /// removed before.
  void Close();

  /// @brief Closes a socket for libcurl, after the reactor has let go of it.
  void CloseSocket(curl_socket_t socket);

 private:
  struct socket_watch {
    std::uint32_t generation = 0;
    int wanted = CURL_POLL_NONE;
    bool registered = false;
  };

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* self,
                      void* unused);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);  // NOLINT

  void Watch(curl_socket_t socket, int what);
  void Unwatch(curl_socket_t socket);
  void Register(curl_socket_t socket, socket_watch& watch);
  void WaitForSockets();
  void ServeSockets();
  void ServeSocket(std::uint64_t tag, std::uint32_t events);
  void SetTimer(long timeout_ms);  // NOLINT(google-runtime-int): libcurl's type
  void ArmTimer();
  void OnTimerFired();
  void Act(curl_socket_t socket, int events);

  CURLM* multi_;
  std::function<void()> on_progress_;
  asio::steady_timer timer_;
  std::optional<time_point> due_;    ///< When libcurl wants to be called.
  std::optional<time_point> armed_;  ///< When the timer fires; not after due.
  asio::posix::stream_descriptor sockets_;  ///< The epoll instance.
  bool waits_for_sockets_ = false;
  std::uint32_t last_generation_ = 0;
  std::unordered_map<curl_socket_t, socket_watch> watches_;
  bool inside_curl_ = false;
  bool closed_ = false;
};

}  // namespace slatestall
