#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace slatestall {

/// @brief Listens on a port and hands over the connections it accepts, a
/// bounded number at a time.
class connection_acceptor
    : public std::enable_shared_from_this<connection_acceptor> {
 public:
  struct hooks {
    /// Whether there is room for one more connection.
    std::function<bool()> has_room;
    std::function<void(asio::ip::tcp::socket)> on_accepted;
  };

  connection_acceptor(asio::io_context& context, hooks hooks);

  /// @throws std::system_error where the address cannot be bound.
  void Listen(const std::string& address, std::uint16_t port, bool share_port);
  std::uint16_t Port() const { return port_; }

  /// @brief There is room again.
  void Resume();

  /// @brief Takes what the kernel has accepted already, then stops listening.
  void Stop();

  /// @brief Stops listening, for a server that goes away.
  void Abandon();

 private:
  void Wait();
  void OnReady(std::error_code error);
  /// @returns whether the backlog may hold more.
  bool AcceptOne(std::error_code& error);
  void WaitForDescriptors();

  hooks hooks_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::uint16_t port_ = 0;
  bool waiting_ = false;
  bool stopped_ = false;
};

}  // namespace slatestall
