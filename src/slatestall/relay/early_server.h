#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What an endpoint does after its answer to a request of which it has
/// read only the first bytes.
enum class early_end {
  kReset,     ///< Of the connection, a little later.
  kReadsAll,  ///< It ends its own side and reads the request to its end.
};

/// @brief An endpoint that answers each request before it has read it.
class early_server {
 public:
  using answer_hook = std::function<std::string(const std::string& first)>;

  early_server(asio::io_context& context, early_end end, answer_hook answer)
      : acceptor_(context), end_(end), answer_(std::move(answer)) {
    const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any.protocol());
    // So that long requests wait in the caller.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
    acceptor_.bind(any);
    acceptor_.listen();
    Accept();
  }

  asio::ip::tcp::endpoint Where() const { return acceptor_.local_endpoint(); }

  int requests = 0;

 private:
  static constexpr int kReceiveBytes = 4096;
  static constexpr milliseconds kUntilReset{20};

  struct connection {
    explicit connection(asio::ip::tcp::socket taken)
        : socket(std::move(taken)), timer(socket.get_executor()) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, kReceiveBytes> input{};
    std::string output;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (!error) {
            Answer(std::make_shared<connection>(std::move(socket)));
            Accept();
          }
        });
  }

  void Answer(const std::shared_ptr<connection>& one) {
    one->socket.async_read_some(
        asio::buffer(one->input),
        [this, one](const asio::error_code& error, std::size_t size) {
          if (error) {
            return;
          }
          ++requests;
          one->output = answer_({one->input.data(), size});
          asio::async_write(
              one->socket, asio::buffer(one->output),
              [this, one](const asio::error_code&, std::size_t) { End(one); });
        });
  }

  void End(const std::shared_ptr<connection>& one) {
    if (end_ == early_end::kReadsAll) {
      asio::error_code ignored;
      one->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      ReadOn(one);
      return;
    }
    one->timer.expires_after(kUntilReset);
    one->timer.async_wait([one](const asio::error_code&) {
      asio::error_code ignored;
      one->socket.set_option(asio::socket_base::linger(true, 0), ignored);
      one->socket.close(ignored);
    });
  }

  void ReadOn(const std::shared_ptr<connection>& one) {
    one->socket.async_read_some(
        asio::buffer(one->input),
        [this, one](const asio::error_code& error, std::size_t) {
          if (!error) {
            ReadOn(one);
          }
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  early_end end_;
  answer_hook answer_;
};

}  // namespace slatestall
