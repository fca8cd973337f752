#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "slatestall/http/http_server.h"
#include "slatestall/http/server_connection.h"

namespace slatestall {

struct answer_head {
  int status = 0;
  http_headers headers;
  bool end_connection = false;
};

/// @brief Puts one answer on its connection.
class answer_output {
 public:
  using written_hook = std::function<void(const std::error_code&)>;

  virtual ~answer_output() = default;
  virtual void Send(const answer_head& head, std::string body) = 0;
  virtual void Start(const answer_head& head, written_hook written) = 0;
  virtual void Write(std::string chunk, written_hook written) = 0;
  virtual void Finish(std::string chunk, written_hook written) = 0;
};

/// @brief What the responders of one server have in common.
struct responder_settings {
  std::size_t max_pending_bytes = 0;
  bool draining = false;
};

/// @brief The answer to one request: keeps its order (head, chunks, end), its
/// bound on pending bytes, and its ties to the connection.
///
/// Hands one piece of a stream to the connection at a time; what is written
/// meanwhile goes out together as the next piece. Once the head is written,
/// pieces go to the socket at once, past RESTinio, which would spend several
/// allocations and a turn of the event loop on each.
class connection_responder final
    : public http_responder,
      public request_in_hand,
      public std::enable_shared_from_this<connection_responder> {
 public:
  connection_responder(asio::io_context& context,
                       std::shared_ptr<const responder_settings> settings,
                       std::shared_ptr<server_connection> connection,
                       std::unique_ptr<answer_output> output);
  ~connection_responder() override;
  connection_responder(const connection_responder&) = delete;
  connection_responder& operator=(const connection_responder&) = delete;

  void Send(int status, const http_headers& headers, std::string body) override;
  void StartStream(int status, const http_headers& headers) override;
  void Write(std::string chunk) override;
  void Finish() override;
  void Abort() override;
  std::size_t PendingBytes() const override {
    return in_flight_bytes_ + waiting_.size();
  }
  void OnClosed(std::function<void()> hook) override;

  void OnConnectionClosed() override;

 private:
  enum class phase { kFresh, kStreaming, kDone };

  answer_head MakeHead(int status, const http_headers& headers);
  answer_output::written_hook Written(std::size_t bytes);
  void Flush();
  /// @returns false where the piece has to go through RESTinio.
  bool SendAtOnce(std::string_view piece);
  void OnRestSent(std::size_t bytes);
  void OnWritten(std::size_t bytes);
  /// @returns the hook, which often holds this responder and must not go
  /// before the caller is through with its members.
  [[nodiscard]] std::function<void()> End();
  void TellClosed();

  asio::io_context& context_;
  std::shared_ptr<const responder_settings> settings_;
  std::shared_ptr<server_connection> connection_;
  std::size_t request_number_;
  std::unique_ptr<answer_output> output_;
  std::function<void()> closed_hook_;
  std::string waiting_;
  std::size_t in_flight_bytes_ = 0;
  bool head_written_ = false;
  /// Of the rest of a piece that is under way to the socket; filled with this
  /// responder when the answer ends before, since it must still write the end.
  std::weak_ptr<std::shared_ptr<connection_responder>> rest_;
  phase phase_ = phase::kFresh;
  bool connection_closed_ = false;
  bool told_closed_ = false;
};

}  // namespace slatestall
