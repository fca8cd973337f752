#include "slatestall/http/connection_responder.h"

#include <asio/post.hpp>
#include <utility>

#include "slatestall/http/header_check.h"

namespace slatestall {
namespace {

constexpr int kInternalServerError = 500;

}  // namespace

connection_responder::connection_responder(
    asio::io_context& context,
    std::shared_ptr<const responder_settings> settings,
    std::shared_ptr<server_connection> connection,
    std::unique_ptr<answer_output> output)
    : context_(context),
      settings_(std::move(settings)),
      connection_(std::move(connection)),
      request_number_(connection_->Add(*this)),
      output_(std::move(output)) {}

connection_responder::~connection_responder() {
  if (phase_ == phase::kFresh) {
    connection_responder::Send(kInternalServerError, {}, {});
  }
  connection_responder::Abort();
}

answer_head connection_responder::MakeHead(int status,
                                           const http_headers& headers) {
  answer_head head{status, headers};
  if (!HeadersAreSafe(headers)) {
    head = {kInternalServerError, {}};
  }
  head.end_connection =
      settings_->draining && connection_->EndAfter(request_number_);
  return head;
}

std::function<void()> connection_responder::End() {
  phase_ = phase::kDone;
  connection_->Remove(*this);
  return std::exchange(closed_hook_, nullptr);
}

void connection_responder::Send(int status, const http_headers& headers,
                                std::string body) {
  if (phase_ != phase::kFresh) {
    return;
  }
  const answer_head head = MakeHead(status, headers);
  const auto released = End();
  if (!connection_closed_) {
    output_->Send(head, head.status == status ? std::move(body) : "");
  }
}

void connection_responder::StartStream(int status,
                                       const http_headers& headers) {
  if (phase_ != phase::kFresh) {
    return;
  }
  if (!HeadersAreSafe(headers)) {
    Send(kInternalServerError, {}, {});
    return;
  }
  phase_ = phase::kStreaming;
  if (!connection_closed_) {
    output_->Start(MakeHead(status, headers),
                   [weak = weak_from_this()](const std::error_code& error) {
                     const auto self = weak.lock();
                     if (self && !error) {
                       self->head_written_ = true;
                     }
                   });
  }
}

answer_output::written_hook connection_responder::Written(std::size_t bytes) {
  in_flight_bytes_ += bytes;
  return [weak = weak_from_this(), bytes](const std::error_code& error) {
    const auto self = weak.lock();
    if (self && !error) {
      self->OnWritten(bytes);
    }
  };
}

void connection_responder::Write(std::string chunk) {
  if (phase_ != phase::kStreaming || connection_closed_ || chunk.empty()) {
    return;
  }
  if (waiting_.empty()) {
    waiting_ = std::move(chunk);
  } else {
    waiting_.append(chunk);
  }
  if (in_flight_bytes_ == 0) {
    Flush();
    return;
  }
  // A handler that writes on without looking at PendingBytes would fill the
  // host's memory for one caller that does not read.
  if (PendingBytes() > settings_->max_pending_bytes) {
    connection_->Close();
  }
}

void connection_responder::Flush() {
  std::string piece = std::exchange(waiting_, {});
  if (SendAtOnce(piece)) {
    return;
  }
  const std::size_t bytes = piece.size();
  output_->Write(std::move(piece), Written(bytes));
}

// RESTinio has nothing to write when the head and every piece that it was
// given have been written: it takes the answers of a connection in order, so
// this one is the current one, and of later ones it writes nothing before this
// one's end. Bytes put on the socket here cannot land inside another answer.
bool connection_responder::SendAtOnce(std::string_view piece) {
  if (!head_written_ || in_flight_bytes_ != 0) {
    return false;
  }
  auto rest = connection_->SendChunk(piece);
  if (!rest) {
    return false;
  }
  if (rest->empty()) {
    return true;
  }
  in_flight_bytes_ = piece.size();
  auto keeper = std::make_shared<std::shared_ptr<connection_responder>>();
  rest_ = keeper;
  connection_->SendRest(std::move(*rest), [weak = weak_from_this(), keeper,
                                           bytes = piece.size()](bool written) {
    const auto self = weak.lock();
    if (self && written) {
      self->OnRestSent(bytes);
    }
  });
  return true;
}

void connection_responder::OnRestSent(std::size_t bytes) {
  rest_.reset();
  if (phase_ != phase::kDone) {
    OnWritten(bytes);
    return;
  }
  if (!connection_closed_) {
    in_flight_bytes_ = 0;
    const std::size_t last = waiting_.size();
    output_->Finish(std::exchange(waiting_, {}), Written(last));
  }
}

void connection_responder::OnWritten(std::size_t bytes) {
  if (connection_closed_) {
    return;
  }
  in_flight_bytes_ -= bytes;
  if (phase_ == phase::kStreaming && !waiting_.empty()) {
    Flush();
  }
}

void connection_responder::Finish() {
  if (phase_ != phase::kStreaming) {
    return;
  }
  const auto released = End();
  if (connection_closed_) {
    return;
  }
  if (const auto keeper = rest_.lock()) {
    // The end follows the piece that is under way, see OnRestSent.
    *keeper = shared_from_this();
    return;
  }
  const std::size_t bytes = waiting_.size();
  output_->Finish(std::exchange(waiting_, {}), Written(bytes));
}

void connection_responder::Abort() {
  if (phase_ == phase::kDone) {
    return;
  }
  const auto released = End();
  connection_->Close();
}

void connection_responder::OnClosed(std::function<void()> hook) {
  if (phase_ == phase::kDone || told_closed_) {
    return;
  }
  closed_hook_ = std::move(hook);
  TellClosed();
}

void connection_responder::OnConnectionClosed() {
  connection_closed_ = true;
  in_flight_bytes_ = 0;
  waiting_.clear();
  TellClosed();
}

void connection_responder::TellClosed() {
  if (connection_closed_ && closed_hook_) {
    told_closed_ = true;
    // Posted: RESTinio or the handler may be on the stack.
    asio::post(context_, std::exchange(closed_hook_, nullptr));
  }
}

}  // namespace slatestall
