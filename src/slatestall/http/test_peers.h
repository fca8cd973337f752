#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "slatestall/http/http_client.h"
#include "slatestall/model/test_loopback.h"

namespace slatestall {

/// @brief Runs the event loop until `reached`; throws where it never is.
inline void RunUntil(asio::io_context& context,
                     const std::function<bool()>& reached) {
  const auto gave_up = std::make_shared<bool>(false);
  asio::steady_timer guard(context, std::chrono::seconds(20));
  guard.async_wait([gave_up](std::error_code error) { *gave_up = !error; });
  context.restart();
  while (!reached()) {
    if (*gave_up) {
      throw std::runtime_error("the awaited state was not reached");
    }
    context.run_one();
  }
  guard.cancel();
  context.poll();
}

/// @brief Lets everything run that is ready or becomes so in a short while.
inline void Settle(asio::io_context& context) {
  context.restart();
  context.run_for(milliseconds(60));
}

/// @brief One raw connection: what arrived on it, and whether it has ended.
class raw_peer : public std::enable_shared_from_this<raw_peer> {
 public:
  explicit raw_peer(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  static std::shared_ptr<raw_peer> Connect(asio::io_context& context,
                                           std::uint16_t port,
                                           std::string_view request,
                                           bool read = true) {
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(LoopbackOfThisProcess()), port});
    auto peer = std::make_shared<raw_peer>(std::move(socket));
    peer->Send(request);
    if (read) {
      peer->Read();
    }
    return peer;
  }

  /// @brief Sends in the background what the other side does not take at once.
  void Send(std::string_view text) {
    auto kept = std::make_shared<std::string>(text);
    asio::async_write(
        socket_, asio::buffer(*kept),
        [self = shared_from_this(), kept](std::error_code, std::size_t) {});
  }
  void Close() { socket_.close(); }
  const std::string& Received() const { return received_; }
  bool Ended() const { return ended_; }
  bool Has(std::string_view text) const {
    return received_.find(text) != std::string::npos;
  }

  /// @brief Starts reading; a peer that never does is a slow reader.
  void Read() {
    socket_.async_read_some(
        asio::buffer(piece_),
        [self = shared_from_this()](std::error_code error, std::size_t bytes) {
          self->received_.append(self->piece_.data(), bytes);
          if (error) {
            self->ended_ = true;
            return;
          }
          if (self->on_input) {
            self->on_input(*self);
          }
          if (self->socket_.is_open()) {
            self->Read();
          }
        });
  }

  std::function<void(raw_peer&)> on_input;

 private:
  asio::ip::tcp::socket socket_;
  std::array<char, 4096> piece_{};
  std::string received_;
  bool ended_ = false;
};

/// @brief An endpoint that does to each request what the test tells it.
class fake_endpoint {
 public:
  /// @param on_request gets the connection and the number of the request,
  /// counted over all connections.
  using request_hook = std::function<void(raw_peer&, int number)>;

  fake_endpoint(asio::io_context& context, request_hook on_request)
      : acceptor_(context,
                  {asio::ip::make_address(LoopbackOfThisProcess()), 0}),
        on_request_(std::move(on_request)) {
    Accept();
  }

  std::string Url() const {
    return "http://" + LoopbackAt(acceptor_.local_endpoint().port()) + "/";
  }
  int Requests() const { return requests_; }
  const std::vector<std::shared_ptr<raw_peer>>& Peers() const { return peers_; }

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](std::error_code error, asio::ip::tcp::socket socket) {
          if (error) {
            return;
          }
          auto peer = std::make_shared<raw_peer>(std::move(socket));
          peer->on_input = [this](raw_peer& from) {
            // Requests of these tests come in one piece.
            on_request_(from, ++requests_);
          };
          peer->Read();
          peers_.push_back(std::move(peer));
          Accept();
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  request_hook on_request_;
  std::vector<std::shared_ptr<raw_peer>> peers_;
  int requests_ = 0;
};

/// @brief Runs one call to its end.
inline http_result Run(asio::io_context& context, http_client& client,
                       http_call call) {
  std::optional<http_result> result;
  client.Start(std::move(call),
               [&](http_result ended) { result = std::move(ended); });
  RunUntil(context, [&] { return result.has_value(); });
  return *result;
}

}  // namespace slatestall
