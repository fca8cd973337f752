#pragma once

#include <curl/curl.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

namespace slatestall {

/// @brief Drives one libcurl multi handle by one io_context.
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
  struct socket_watch;

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* self,
                      void* unused);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);  // NOLINT

  void Watch(curl_socket_t socket, int what);
  void Unwatch(curl_socket_t socket);
  void Arm(const std::shared_ptr<socket_watch>& watch);
  void Wait(const std::shared_ptr<socket_watch>& watch, int direction);
  void SetTimer(long timeout_ms);  // NOLINT(google-runtime-int): libcurl's type
  void Act(curl_socket_t socket, int events);

  asio::io_context& context_;
  CURLM* multi_;
  std::function<void()> on_progress_;
  asio::steady_timer timer_;
  std::unordered_map<curl_socket_t, std::shared_ptr<socket_watch>> watches_;
  bool inside_curl_ = false;
  bool closed_ = false;
};

}  // namespace slatestall
