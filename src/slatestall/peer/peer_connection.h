#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/model/time.h"
#include "slatestall/peer/frame_splitter.h"
#include "slatestall/peer/messages_generated.h"

namespace slatestall {

struct connection_limits {
  std::size_t max_frame_bytes = 0;
  std::size_t max_pending_bytes = 0;
  milliseconds hello_timeout{0};
  milliseconds stall_timeout{0};
};

/// @brief What a connection tells its owner. Nothing is called after
/// `on_closed`, or after `Abandon`.
struct connection_hooks {
  std::function<void(wire::frameT frame, std::size_t bytes)> on_frame;
  std::function<void(const std::string& reason)> on_closed;
};

/// @brief One TCP connection that carries frames. Queued frames wait until
/// `Open`, that is until the peer's hello has been checked.
/// @ingroup peer
class peer_connection : public std::enable_shared_from_this<peer_connection> {
 public:
  /// @param unsent Bytes queued by all connections of a node; this one adds
  /// its own.
  peer_connection(asio::ip::tcp::socket socket, const connection_limits& limits,
                  connection_hooks hooks, std::shared_ptr<std::size_t> unsent);
  ~peer_connection();
  peer_connection(const peer_connection&) = delete;
  peer_connection& operator=(const peer_connection&) = delete;

  /// @brief Reads from the already connected socket.
  void Start();
  /// @brief Connects, writes `hello`, and reads.
  void Connect(const asio::ip::tcp::endpoint& where, std::string hello);
  /// @brief Writes a frame ahead of the queue.
  void SendFirst(std::string frame);
  /// @brief Lets queued frames leave and frames of full size come in.
  void Open();

  /// @brief Queues a frame. False where the bound on pending bytes, or the end
  /// of the connection, forbids it.
  /// @param call Names the frame for `Withdraw`; 0 where it needs no name.
  bool Send(std::string frame, std::uint64_t call);
  /// @brief Takes back the frame of `call` where none of its bytes can have
  /// left. False: it may have been sent.
  bool Withdraw(std::uint64_t call);

  void Close(const std::string& reason);
  /// @brief Closes because the peer broke the protocol or a time limit.
  void Break(const std::string& reason);
  /// @brief Closes once everything queued has been written.
  void CloseAfterWrites(const std::string& reason);
  /// @brief Closes without a word to the owner, who is being destroyed.
  void Abandon();
  /// @brief Closes the connection where the peer is too slow.
  void CheckTimeouts(time_point now);

  bool IsOpen() const { return open_; }
  bool WasBroken() const { return broken_; }
  time_point LastUse() const { return last_use_; }
  /// @brief When bytes last arrived; before any, when it was made.
  time_point LastReceived() const { return last_received_; }

 private:
  struct outgoing {
    std::string bytes;
    std::uint64_t call = 0;
  };

  void Read();
  void TakeBytes(std::size_t count);
  void TakeFrames();
  void Write();
  void TakeBatch();
  void FinishWrite(const std::error_code& error);
  bool MayWrite() const;
  void AddPending(std::size_t bytes);
  void TakePending(std::size_t bytes);

  asio::ip::tcp::socket socket_;
  connection_limits limits_;
  connection_hooks hooks_;
  frame_splitter splitter_;
  std::array<char, 4096> read_buffer_{};
  std::deque<outgoing> queue_;
  std::vector<outgoing> writing_;  ///< Given to the socket: may have left.
  std::size_t pending_bytes_ = 0;
  std::shared_ptr<std::size_t> unsent_;
  std::string close_after_writes_;
  time_point created_;
  time_point last_use_;
  time_point last_received_;
  time_point partial_since_{};  ///< Since when a frame has been unfinished.
  time_point write_progress_{};
  bool connected_ = false;
  bool open_ = false;
  bool closed_ = false;
  bool broken_ = false;
};

}  // namespace slatestall
