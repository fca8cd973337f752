#pragma once

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "slatestall/http/http_server.h"
#include "slatestall/serve/lane_environment.h"
#include "slatestall/serve/problem.h"

namespace slatestall {

/// @brief Writes the answer of one request, once. What comes after the end is
/// dropped: a late result must not follow an answer that was given.
class answer_writer : public std::enable_shared_from_this<answer_writer> {
 public:
  /// @param stream The caller wants server-sent events.
  answer_writer(const lane_environment& environment, std::string request,
                http_responder_ptr responder, bool stream);

  /// @brief Sets what runs when the caller closes before the answer is done.
  void OnClosed(std::function<void()> hook);
  bool Streams() const { return stream_; }
  /// @brief Whether part of an answer went out; its status can't change then.
  bool Started() const { return started_; }

  /// @brief Sends a piece of a streamed answer, or holds it back while the
  /// caller does not read.
  void Text(std::uint64_t offset, std::string_view text);
  /// @brief Ends a streamed answer as whole.
  void EndStream(const std::string& json);
  /// @brief Sends a whole answer.
  void Send(int status, const std::string& content_type, std::string body,
            bool replay);
  /// @brief Ends with a failure, as a status or as the stream's last event.
  void Fail(const problem& failure);
  /// @brief The caller is gone: nothing is written any more.
  void Detach();

 private:
  void StartStream();
  void WriteHeld();
  void WriteEvent(std::string_view type, const std::string& json);
  void PollLater();
  http_responder_ptr TakeResponder();

  const lane_environment& environment_;
  std::string request_;
  http_responder_ptr responder_;  ///< Null once answered or detached.
  bool stream_;
  bool started_ = false;
  bool polls_ = false;
  asio::steady_timer poll_timer_;
  std::uint64_t held_offset_ = 0;
  std::string held_;
};

}  // namespace slatestall
