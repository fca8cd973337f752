#include "slatestall/relay/caller_connection.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <cstdio>
#include <utility>

#include "slatestall/http/ascii_case.h"
#include "slatestall/relay/message_text.h"
#include "slatestall/relay/socket_options.h"

namespace slatestall {
namespace {

/// Bytes of later requests held while one is served. Reading stops above it,
/// and with it the sight of a close: no client in practice sends that far
/// ahead.
constexpr std::size_t kMaxBacklog = std::size_t{64} << 10U;

/// How long a closed side is read on, so that the last answer is not thrown
/// away by a reset: a socket closed with unread bytes resets the connection.
constexpr milliseconds kLingerTime{1000};

/// Callers may be slow for a while; longer than that without an acknowledged
/// byte they are gone.
constexpr milliseconds kCallerSilence{5000};

/// A caller that has connected sends its request at once; half a round trip and
/// a busy caller's delay.
constexpr milliseconds kFirstRequestTime{200};

constexpr int kUnavailable = 503;
/// A host that starts knows its configuration within it as a rule.
constexpr const char* kRetryAfterSeconds = "1";

constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr const char* kLastChunk = "0\r\n\r\n";

/// Assigning an empty string would keep the memory.
void FreeBytes(std::string& bytes) { std::string().swap(bytes); }

int StatusFor(read_fault fault) {
  switch (fault) {
    case read_fault::kHeadTooLarge:
      return 431;
    case read_fault::kBodyTooLarge:
      return 413;
    case read_fault::kNone:
    case read_fault::kMalformed:
    case read_fault::kCutShort:
      break;
  }
  return 400;
}

std::string ChunkText(std::string_view bytes) {
  std::array<char, 24> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string text(size.data(), static_cast<std::size_t>(length));
  text += bytes;
  text += "\r\n";
  return text;
}

/// The answer of one request, tied to its number on the connection.
class connection_answer : public answer_channel {
 public:
  connection_answer(std::shared_ptr<caller_connection> connection,
                    std::uint64_t number)
      : connection_(std::move(connection)), number_(number) {}
  ~connection_answer() override { connection_->AbortAnswer(number_); }
  connection_answer(const connection_answer&) = delete;
  connection_answer& operator=(const connection_answer&) = delete;

  void Send(int status, const http_headers& headers,
            std::string body) override {
    connection_->Send(number_, status, headers, std::move(body));
  }
  void Start(int status, const http_headers& headers) override {
    connection_->StartAnswer(number_, status, headers);
  }
  void Write(std::string bytes) override { connection_->Write(number_, bytes); }
  void Finish() override { connection_->Finish(number_); }
  void Abort() override { connection_->AbortAnswer(number_); }
  void OnCallerGone(std::function<void()> hook) override {
    connection_->OnGone(number_, std::move(hook));
  }

 private:
  std::shared_ptr<caller_connection> connection_;
  std::uint64_t number_;
};

}  // namespace

caller_connection::caller_connection(
    asio::ip::tcp::socket socket,
    std::shared_ptr<caller_environment> environment)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      environment_(std::move(environment)),
      reader_(message_kind::kRequest),
      taken_at_(environment_->options.now()),
      unread_id_(environment_->options.unread
                     ? environment_->options.unread->NewConnection()
                     : 0) {
  LimitSilence(socket_, kCallerSilence);
}

void caller_connection::Start() {
  ArmTimer();
  Read();
}

void caller_connection::CloseIfIdle() {
  // A caller that has just connected has its first request on the way, maybe
  // in the socket: closed now, it would see a reset in place of an answer.
  const bool has_been_answered = number_ > 0;
  if (phase_ == phase::kReading && !reader_.Started() && has_been_answered) {
    Close();
  }
}

bool caller_connection::IsBusy(time_point now) const {
  const bool awaits_first = number_ == 0 && now - taken_at_ < kFirstRequestTime;
  return phase_ == phase::kServing ||
         (phase_ == phase::kReading && (reader_.Started() || awaits_first));
}

void caller_connection::Abort() { PeerGone(); }

void caller_connection::CutOff() { Close(); }

void caller_connection::TellGone() {
  if (const auto hook = std::exchange(gone_hook_, nullptr)) {
    hook();
  }
}

bool caller_connection::Serves(std::uint64_t number) const {
  return phase_ == phase::kServing && number == number_ && !answer_ended_;
}

void caller_connection::Send(std::uint64_t number, int status,
                             const http_headers& headers, std::string body) {
  if (!Serves(number) || answer_started_) {
    return;
  }
  answer_ended_ = true;
  gone_hook_ = nullptr;
  auto framed = WithConnection(headers);
  framed.push_back({"Content-Length", std::to_string(body.size())});
  const bool is_head = reader_.Head().method == "HEAD";
  Enqueue(AnswerHeadText(status, framed) + (is_head ? "" : std::move(body)));
}

void caller_connection::StartAnswer(std::uint64_t number, int status,
                                    const http_headers& headers) {
  if (!Serves(number) || answer_started_) {
    return;
  }
  answer_started_ = true;
  auto framed = WithConnection(headers);
  framed.push_back({"Transfer-Encoding", "chunked"});
  Enqueue(AnswerHeadText(status, framed));
}

void caller_connection::Write(std::uint64_t number, const std::string& bytes) {
  if (Serves(number) && answer_started_ && !bytes.empty()) {
    Enqueue(ChunkText(bytes));
  }
}

void caller_connection::Finish(std::uint64_t number) {
  if (Serves(number) && answer_started_) {
    answer_ended_ = true;
    gone_hook_ = nullptr;
    Enqueue(kLastChunk);
  }
}

void caller_connection::AbortAnswer(std::uint64_t number) {
  if (Serves(number)) {
    gone_hook_ = nullptr;
    Close();
  }
}

void caller_connection::OnGone(std::uint64_t number,
                               std::function<void()> hook) {
  if (Serves(number)) {
    gone_hook_ = std::move(hook);
  } else if (hook) {
    hook();
  }
}

void caller_connection::Read() {
  if (reading_ || phase_ == phase::kClosed || backlog_.size() > kMaxBacklog) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(asio::buffer(input_),
                          [this, self = shared_from_this()](
                              const asio::error_code& error, std::size_t size) {
                            reading_ = false;
                            if (phase_ == phase::kClosed) {
                              return;
                            }
                            if (error) {
                              PeerGone();
                              return;
                            }
                            OnRead({input_.data(), size});
                            Read();
                          });
}

void caller_connection::OnRead(std::string_view bytes) {
  if (phase_ == phase::kReading) {
    Process(bytes);
  } else if (phase_ == phase::kServing) {
    backlog_.append(bytes);
  }
}

void caller_connection::Process(std::string_view bytes) {
  const bool had_started = reader_.Started();
  const bool had_head = reader_.HeadComplete();
  bytes.remove_prefix(reader_.Feed(bytes, RequestLimits()));
  if (reader_.Fault() != read_fault::kNone) {
    Refuse(reader_.Fault());
    return;
  }
  if (!had_started && reader_.Started()) {
    ArmTimer();
  }
  if (reader_.Complete()) {
    backlog_.assign(bytes);
    Dispatch();
  } else if (!had_head && reader_.HeadComplete() &&
             reader_.Head().expects_continue) {
    Enqueue(kContinue);
  }
}

/// Where the limits change while a request arrives, it is refused only if both
/// forbid it: its caller may have followed either.
const message_limits& caller_connection::RequestLimits() {
  const auto& now = environment_->limits.message;
  request_limits_ =
      reader_.Started()
          ? message_limits{std::max(request_limits_.max_head_bytes,
                                    now.max_head_bytes),
                           std::max(request_limits_.max_body_bytes,
                                    now.max_body_bytes)}
          : now;
  return request_limits_;
}

void caller_connection::Dispatch() {
  timer_.cancel();
  phase_ = phase::kServing;
  ++number_;
  answer_started_ = false;
  answer_ended_ = false;
  close_after_ = !reader_.Head().keep_alive;
  inbound_request request;
  request.head = reader_.Head();
  request.body = reader_.TakeBody();
  request.arrived = environment_->options.now();
  request.earlier = number_ - 1;
  environment_->hook(std::move(request), std::make_shared<connection_answer>(
                                             shared_from_this(), number_));
}

void caller_connection::Refuse(read_fault fault) {
  const bool is_size =
      fault == read_fault::kHeadTooLarge || fault == read_fault::kBodyTooLarge;
  if (is_size && !environment_->knows_limits) {
    // Callers do not come back after 413 and 431, and the configuration that
    // is not known yet may allow the request.
    SendLast(kUnavailable, {{"Retry-After", kRetryAfterSeconds}}, "");
    return;
  }
  SendLast(StatusFor(fault), {}, "");
}

void caller_connection::SendLast(int status, const http_headers& headers,
                                 std::string body) {
  phase_ = phase::kServing;
  ++number_;
  answer_started_ = false;
  answer_ended_ = false;
  close_after_ = true;
  backlog_.clear();
  Send(number_, status, headers, std::move(body));
}

http_headers caller_connection::WithConnection(http_headers headers) {
  // What the head says is kept to: a caller that was not told sends its next
  // request here, and would find the connection closed. Where that request has
  // been read already, it is answered first.
  close_after_ =
      close_after_ || (environment_->last_answers && backlog_.empty());
  if (close_after_) {
    headers.push_back({"Connection", "close"});
  }
  return headers;
}

void caller_connection::Enqueue(std::string bytes) {
  if (queued_.size() + writing_.size() >
      environment_->options.max_unread_bytes) {
    PeerGone();
    return;
  }
  if (queued_.empty()) {
    queued_ = std::move(bytes);
  } else {
    queued_ += bytes;
  }
  if (writing_.empty()) {
    Flush();
  }
  NoteUnread();
  if (environment_->on_unread) {
    environment_->on_unread();
  }
}

void caller_connection::NoteUnread() {
  if (const auto& budget = environment_->options.unread) {
    budget->Set(unread_id_, queued_.size() + writing_.size());
  }
}

void caller_connection::Flush() {
  writing_ = std::exchange(queued_, {});
  asio::async_write(socket_, asio::buffer(writing_),
                    [this, self = shared_from_this()](
                        const asio::error_code& error, std::size_t) {
                      // An idle connection would keep the memory of its last
                      // answer.
                      FreeBytes(writing_);
                      if (phase_ == phase::kClosed) {
                        return;
                      }
                      if (error) {
                        PeerGone();
                        return;
                      }
                      NoteUnread();
                      OnFlushed();
                    });
}

void caller_connection::OnFlushed() {
  if (!queued_.empty()) {
    Flush();
    return;
  }
  if (phase_ != phase::kServing || !answer_ended_) {
    return;
  }
  if (close_after_) {
    Linger();
  } else {
    NextRequest();
  }
}

void caller_connection::NextRequest() {
  phase_ = phase::kReading;
  reader_.Reset();
  ArmTimer();
  const std::string early = std::exchange(backlog_, {});
  if (!early.empty()) {
    Process(early);
  }
  Read();
}

void caller_connection::Linger() {
  phase_ = phase::kLingering;
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  ArmTimer();
  Read();
}

void caller_connection::ArmTimer() {
  wait_began_ = asio::steady_timer::clock_type::now();
  wait_limit_ = WaitLimit();
  StartTimer(wait_limit_);
}

milliseconds caller_connection::WaitLimit() const {
  if (phase_ == phase::kLingering) {
    return kLingerTime;
  }
  return reader_.Started() ? environment_->limits.head_timeout
                           : environment_->limits.idle_timeout;
}

void caller_connection::StartTimer(duration left) {
  timer_.expires_after(left);
  timer_.async_wait(
      [this, self = shared_from_this()](const asio::error_code& error) {
        if (!error && phase_ != phase::kClosed) {
          OnTimer();
        }
      });
}

/// Where the limits change during a wait, the longer one holds: the caller may
/// count on it, and sends its next request as the connection is closed.
void caller_connection::OnTimer() {
  if (phase_ == phase::kServing) {
    return;
  }
  wait_limit_ = std::max(wait_limit_, WaitLimit());
  const duration left =
      wait_began_ + wait_limit_ - asio::steady_timer::clock_type::now();
  if (left > duration(0)) {
    StartTimer(left);
    return;
  }
  if (phase_ == phase::kReading && reader_.Started()) {
    constexpr int kRequestTimeout = 408;
    SendLast(kRequestTimeout, {}, "");
  } else {
    Close();
  }
}

void caller_connection::PeerGone() {
  Close();
  TellGone();
}

void caller_connection::Close() {
  if (phase_ == phase::kClosed) {
    return;
  }
  phase_ = phase::kClosed;
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
  // What is being written is freed when the system has let go of it.
  FreeBytes(queued_);
  if (const auto& budget = environment_->options.unread) {
    budget->Set(unread_id_, 0);
  }
  if (environment_->on_closed) {
    environment_->on_closed(shared_from_this());
  }
}

}  // namespace slatestall
