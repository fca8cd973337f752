#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/model/test_loopback.h"
#include "slatestall/peer/frame_codec.h"
#include "slatestall/peer/frame_splitter.h"
#include "slatestall/peer/peer_node.h"

namespace slatestall {

/// @brief Runs `context` until `done`; false after a bound no run reaches.
inline bool RunUntil(asio::io_context& context,
                     const std::function<bool()>& done) {
  const auto give_up = std::chrono::steady_clock::now() + milliseconds(20'000);
  // Asked once after each step: reading a frame takes it off the stream.
  bool reached = done();
  while (!reached && std::chrono::steady_clock::now() < give_up) {
    context.restart();
    context.run_one_for(milliseconds(20));
    reached = done();
  }
  return reached;
}

inline std::string AddressOf(std::uint16_t port) { return LoopbackAt(port); }

inline asio::ip::tcp::endpoint LocalEndpoint(std::uint16_t port) {
  return {asio::ip::make_address(LoopbackOfThisProcess()), port};
}

inline peer_node_options LocalOptions() {
  peer_node_options options;
  options.listen_address = LoopbackOfThisProcess();
  return options;
}

inline std::string HelloFrame(const std::string& host,
                              std::uint64_t incarnation,
                              std::uint16_t version = kPeerProtocolVersion) {
  wire::helloT hello;
  hello.host = host;
  hello.incarnation = incarnation;
  hello.version = version;
  wire::frameT frame;
  frame.body = MakeMessage(std::move(hello));
  return EncodeFrame(frame);
}

inline std::string StatusReplyFrame(std::uint64_t call,
                                    const std::string& json) {
  wire::status_replyT reply;
  reply.json = json;
  wire::frameT frame;
  frame.call = call;
  frame.is_reply = true;
  frame.body = MakeMessage(std::move(reply));
  return EncodeFrame(frame);
}

/// @brief A peer played by the test byte by byte.
class raw_peer {
 public:
  raw_peer(asio::io_context& context, asio::ip::tcp::socket socket)
      : context_(context), socket_(std::move(socket)) {
    socket_.non_blocking(true);
  }
  raw_peer(asio::io_context& context, std::uint16_t port)
      : raw_peer(context, Connected(context, port)) {}

  void Write(const std::string& bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }
  void Close() { socket_.close(); }

  /// @brief The next frame; null at the end of the connection.
  std::unique_ptr<wire::frameT> ReadFrame() {
    std::unique_ptr<wire::frameT> frame;
    RunUntil(context_, [&] {
      if (const auto payload = splitter_.Next()) {
        frame = DecodeFrame(*payload);
        return true;
      }
      return !ReadSome();
    });
    return frame;
  }

  bool SeesEnd() { return ReadFrame() == nullptr && ended_; }

 private:
  static asio::ip::tcp::socket Connected(asio::io_context& context,
                                         std::uint16_t port) {
    asio::ip::tcp::socket socket(context);
    socket.connect(LocalEndpoint(port));
    return socket;
  }

  /// @brief False at the end of the connection.
  bool ReadSome() {
    std::array<char, 4096> buffer{};
    std::error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
    splitter_.Append({buffer.data(), count});
    ended_ = error && error != asio::error::would_block;
    return !ended_;
  }

  asio::io_context& context_;
  asio::ip::tcp::socket socket_;
  frame_splitter splitter_{std::size_t{1} << 24U};
  bool ended_ = false;
};

/// @brief Listens as a peer whose connections the test plays.
class raw_listener {
 public:
  explicit raw_listener(asio::io_context& context)
      : context_(context), acceptor_(context, LocalEndpoint(0)) {}

  std::string Address() const {
    return AddressOf(acceptor_.local_endpoint().port());
  }
  raw_peer Accept() {
    acceptor_.non_blocking(true);
    asio::ip::tcp::socket socket(context_);
    RunUntil(context_, [&] {
      std::error_code error;
      acceptor_.accept(socket, error);
      return !error;
    });
    return raw_peer(context_, std::move(socket));
  }

 private:
  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace slatestall
