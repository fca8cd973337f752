#include "slatestall/peer/peer_connection.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/completion_condition.hpp>
#include <asio/write.hpp>
#include <stdexcept>
#include <utility>

#include "slatestall/peer/frame_codec.h"

namespace slatestall {
namespace {

// Enough for a hello with the longest host name. Before its hello a stranger
// can make this host hold no more than this.
constexpr std::size_t kMaxHelloBytes = 1024;
constexpr std::size_t kBatchBytes = std::size_t{64} << 10U;
constexpr std::size_t kBatchFrames = 16;

time_point Now() { return std::chrono::steady_clock::now(); }

}  // namespace

peer_connection::peer_connection(asio::ip::tcp::socket socket,
                                 const connection_limits& limits,
                                 connection_hooks hooks,
                                 std::shared_ptr<std::size_t> unsent)
    : socket_(std::move(socket)),
      limits_(limits),
      hooks_(std::move(hooks)),
      splitter_(std::min(kMaxHelloBytes, limits.max_frame_bytes)),
      unsent_(std::move(unsent)),
      created_(Now()),
      last_use_(created_),
      last_received_(created_) {}

peer_connection::~peer_connection() { TakePending(pending_bytes_); }

void peer_connection::AddPending(std::size_t bytes) {
  pending_bytes_ += bytes;
  *unsent_ += bytes;
}

void peer_connection::TakePending(std::size_t bytes) {
  pending_bytes_ -= bytes;
  *unsent_ -= bytes;
}

void peer_connection::Start() {
  connected_ = true;
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  Read();
}

void peer_connection::Connect(const asio::ip::tcp::endpoint& where,
                              std::string hello) {
  socket_.async_connect(
      where, [self = shared_from_this(),
              hello = std::move(hello)](const std::error_code& error) mutable {
        if (self->closed_) {
          return;
        }
        if (error) {
          self->Close("cannot connect: " + error.message());
          return;
        }
        self->Start();
        self->SendFirst(std::move(hello));
      });
}

void peer_connection::SendFirst(std::string frame) {
  if (closed_) {
    return;
  }
  AddPending(frame.size());
  queue_.push_front({std::move(frame), 0});
  if (writing_.empty()) {
    writing_.push_back(std::move(queue_.front()));
    queue_.pop_front();
    Write();
  }
}

void peer_connection::Open() {
  open_ = true;
  splitter_.SetMaxPayload(limits_.max_frame_bytes);
  if (writing_.empty()) {
    TakeBatch();
  }
}

bool peer_connection::Send(std::string frame, std::uint64_t call) {
  if (closed_ || !close_after_writes_.empty() ||
      pending_bytes_ + frame.size() > limits_.max_pending_bytes) {
    return false;
  }
  last_use_ = Now();
  AddPending(frame.size());
  queue_.push_back({std::move(frame), call});
  if (writing_.empty()) {
    TakeBatch();
  }
  return true;
}

bool peer_connection::Withdraw(std::uint64_t call) {
  const auto found = std::find_if(
      queue_.begin(), queue_.end(),
      [call](const outgoing& frame) { return frame.call == call; });
  if (found == queue_.end()) {
    return false;
  }
  TakePending(found->bytes.size());
  queue_.erase(found);
  return true;
}

void peer_connection::Close(const std::string& reason) {
  if (closed_) {
    return;
  }
  closed_ = true;
  std::error_code ignored;
  socket_.close(ignored);
  const auto on_closed = std::move(hooks_.on_closed);
  hooks_ = {};
  if (on_closed) {
    on_closed(reason);
  }
}

void peer_connection::Break(const std::string& reason) {
  broken_ = true;
  Close(reason);
}

void peer_connection::CloseAfterWrites(const std::string& reason) {
  if (queue_.empty() && writing_.empty()) {
    Close(reason);
    return;
  }
  close_after_writes_ = reason;
}

void peer_connection::Abandon() {
  hooks_ = {};
  Close("");
}

void peer_connection::CheckTimeouts(time_point now) {
  if (!open_ && now - created_ > limits_.hello_timeout) {
    Break("no hello in time");
    return;
  }
  // A peer that sends a frame byte by byte holds its memory and a connection;
  // one that does not read holds everything queued for it.
  if (splitter_.HasPartialFrame() &&
      now - partial_since_ > limits_.stall_timeout) {
    Break("frame not finished in time");
    return;
  }
  if (!writing_.empty() && now - write_progress_ > limits_.stall_timeout) {
    Break("peer does not read");
  }
}

void peer_connection::Read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const std::error_code& error,
                                  std::size_t count) {
        if (self->closed_) {
          return;
        }
        if (error) {
          self->broken_ = self->splitter_.HasPartialFrame();
          self->Close("connection ended: " + error.message());
          return;
        }
        self->TakeBytes(count);
        if (!self->closed_) {
          self->Read();
        }
      });
}

void peer_connection::TakeBytes(std::size_t count) {
  last_use_ = Now();
  last_received_ = last_use_;
  const bool was_partial = splitter_.HasPartialFrame();
  splitter_.Append({read_buffer_.data(), count});
  try {
    TakeFrames();
  } catch (const std::length_error& error) {
    Break(error.what());
    return;
  }
  if (!was_partial) {
    partial_since_ = last_use_;
  }
}

void peer_connection::TakeFrames() {
  while (!closed_ && close_after_writes_.empty()) {
    const auto payload = splitter_.Next();
    if (!payload) {
      return;
    }
    partial_since_ = last_use_;
    const auto frame = DecodeFrame(*payload);
    if (frame == nullptr) {
      Break("malformed frame");
      return;
    }
    // Copied, since the owner may close the connection from inside.
    const auto on_frame = hooks_.on_frame;
    on_frame(std::move(*frame), payload->size() + kFrameHeaderBytes);
  }
}

bool peer_connection::MayWrite() const {
  return connected_ && open_ && !closed_;
}

void peer_connection::TakeBatch() {
  if (!MayWrite()) {
    return;
  }
  std::size_t bytes = 0;
  while (!queue_.empty() && writing_.size() < kBatchFrames &&
         bytes < kBatchBytes) {
    bytes += queue_.front().bytes.size();
    writing_.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  if (!writing_.empty()) {
    Write();
  }
}

void peer_connection::Write() {
  write_progress_ = Now();
  std::vector<asio::const_buffer> buffers;
  for (const outgoing& frame : writing_) {
    buffers.push_back(asio::buffer(frame.bytes));
  }
  auto self = shared_from_this();
  const auto progress = [self](const std::error_code& error,
                               std::size_t transferred) {
    self->write_progress_ = Now();
    return asio::transfer_all()(error, transferred);
  };
  asio::async_write(
      socket_, buffers, progress,
      [self](const std::error_code& error, std::size_t /*transferred*/) {
        self->FinishWrite(error);
      });
}

void peer_connection::FinishWrite(const std::error_code& error) {
  if (closed_) {
    return;
  }
  if (error) {
    Close("cannot write: " + error.message());
    return;
  }
  for (const outgoing& frame : writing_) {
    TakePending(frame.bytes.size());
  }
  writing_.clear();
  last_use_ = Now();
  TakeBatch();
  if (writing_.empty() && queue_.empty() && !close_after_writes_.empty()) {
    Close(close_after_writes_);
  }
}

}  // namespace slatestall
