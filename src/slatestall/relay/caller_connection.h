#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "slatestall/relay/caller_listener.h"

namespace slatestall {

/// @brief What the connections of one listener share.
/// @ingroup relay
struct caller_environment {
  caller_listener_options options;
  caller_limits limits;
  bool knows_limits = false;  ///< Else `limits` are the built-in ones.
  request_hook hook;
  bool last_answers = false;  ///< Each answer is the last of its connection.
  std::function<void(const std::shared_ptr<class caller_connection>&)>
      on_closed;
  /// Unread bytes were added to the budget, which may be exceeded now.
  std::function<void()> on_unread;
};

/// @brief One caller's connection: reads a request, hands it on, writes the
/// answer, reads the next.
///
/// It goes on reading while a request is served, since a close by the caller
/// shows itself only to a reader.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(asio::ip::tcp::socket socket,
                    std::shared_ptr<caller_environment> environment);

  void Start();
  /// @brief Closes at once between two requests.
  void CloseIfIdle();
  /// @brief Whether a close now would cut an answer or a request.
  bool IsBusy(time_point now) const;
  /// @brief Closes without an orderly end.
  void Abort();
  /// @brief Closes as `Abort` does, but leaves it to `TellGone` to say so: the
  /// hook would run in the middle of another request's answer.
  void CutOff();
  void TellGone();
  /// @brief Its name in the budget of unread bytes; 0 without one.
  unread_budget::connection_id UnreadId() const { return unread_id_; }

  // What the answer of request `number` does; ignored for an earlier one.
  void Send(std::uint64_t number, int status, const http_headers& headers,
            std::string body);
  void StartAnswer(std::uint64_t number, int status,
                   const http_headers& headers);
  void Write(std::uint64_t number, const std::string& bytes);
  void Finish(std::uint64_t number);
  void AbortAnswer(std::uint64_t number);
  void OnGone(std::uint64_t number, std::function<void()> hook);

 private:
  enum class phase { kReading, kServing, kLingering, kClosed };

  bool Serves(std::uint64_t number) const;
  void Read();
  void OnRead(std::string_view bytes);
  void Process(std::string_view bytes);
  void Dispatch();
  void Refuse(read_fault fault);
  void SendLast(int status, const http_headers& headers, std::string body);
  const message_limits& RequestLimits();
  http_headers WithConnection(http_headers headers);
  void Enqueue(std::string bytes);
  void Flush();
  void OnFlushed();
  void NoteUnread();
  void NextRequest();
  void Linger();
  void ArmTimer();
  void StartTimer(duration left);
  milliseconds WaitLimit() const;
  void OnTimer();
  void PeerGone();
  void Close();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<caller_environment> environment_;
  message_reader reader_;
  message_limits request_limits_;  ///< Of the request that is being read.
  time_point wait_began_{};
  milliseconds wait_limit_{0};
  const time_point taken_at_;
  const unread_budget::connection_id unread_id_;
  std::array<char, std::size_t{4} << 10U> input_{};
  std::string backlog_;  ///< Read while a request is served.
  std::string queued_;   ///< To be written after `writing_`.
  std::string writing_;
  std::function<void()> gone_hook_;
  std::uint64_t number_ = 0;  ///< Of the request in hand.
  phase phase_ = phase::kReading;
  bool reading_ = false;
  bool answer_started_ = false;
  bool answer_ended_ = false;
  bool close_after_ = false;
};

}  // namespace slatestall
