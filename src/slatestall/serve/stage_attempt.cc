#include "slatestall/serve/stage_attempt.h"

#include <algorithm>
#include <asio/post.hpp>
#include <chrono>
#include <utility>

#include "slatestall/serve/load_header.h"

namespace slatestall {
namespace {

constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20U;

constexpr int kBadRequest = 400;
constexpr int kGone = 410;  // The engine no longer has the stream.
constexpr int kPayloadTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

/// A request that one endpoint calls malformed is malformed for all.
bool IsAboutTheRequest(int status) {
  return status == kBadRequest || status == kPayloadTooLarge ||
         status == kUnprocessable;
}

bool IsRefusal(int status) {
  return status == kTooManyRequests || status == kUnavailable;
}

}  // namespace

stage_attempt::stage_attempt(const lane_environment& environment,
                             attempt_spec spec)
    : environment_(environment),
      spec_(std::move(spec)),
      timeout_(environment.context),
      first_byte_timeout_(environment.context),
      resume_timer_(environment.context),
      stall_timer_(environment.context),
      stream_([this](std::uint64_t offset, std::string_view text) {
        OnText(offset, text);
      }) {
  if (spec_.goes_on_after != nullptr) {
    stream_.Repeat(spec_.goes_on_after->stream_);
    spec_.goes_on_after.reset();
  }
}

stage_attempt::~stage_attempt() { Cancel(); }

void stage_attempt::Start(attempt_hooks hooks) {
  hooks_ = std::move(hooks);
  started_ = environment_.now();
  call_id_ = spec_.id;
  environment_.counters.Count(lane_event::kAttempt);
  StartTimeout();
  StartFirstByteTimeout();
  StartExchange(std::nullopt);
}

// A timeout is in whole milliseconds: one of all the time that is left runs out
// up to one before the deadline, and the caller would be told that the stage
// failed, where the request's time was over. That is left to the deadline.
void stage_attempt::StartTimeout() {
  if (!spec_.timeout ||
      started_ + *spec_.timeout + milliseconds(1) > spec_.deadline) {
    return;
  }
  timeout_.expires_after(*spec_.timeout);
  timeout_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && !self->ended_) {
      self->TimeOut("no answer within its timeout");
    }
  });
}

void stage_attempt::StartFirstByteTimeout() {
  if (!spec_.first_byte_timeout) {
    return;
  }
  first_byte_timeout_.expires_after(*spec_.first_byte_timeout);
  first_byte_timeout_.async_wait(
      [weak = weak_from_this()](asio::error_code error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && !self->ended_ && !self->HasText()) {
          self->TimeOut("not begun when the rest would no longer be in time");
        }
      });
}

void stage_attempt::TimeOut(const char* detail) {
  DropExchange();
  attempt_result result = Failure(detail);
  result.end = attempt_end::kTimedOut;
  Finish(std::move(result));
}

void stage_attempt::Cancel() {
  ended_ = true;
  DropExchange();
  timeout_.cancel();
  first_byte_timeout_.cancel();
  resume_timer_.cancel();
  stall_timer_.cancel();
}

void stage_attempt::LiftTimeout() { timeout_.cancel(); }

duration stage_attempt::Elapsed() const {
  return started_ == time_point{} ? duration{} : environment_.now() - started_;
}

milliseconds stage_attempt::TimeLeft() const {
  const auto left = std::chrono::duration_cast<milliseconds>(
      spec_.deadline - environment_.now());
  return std::max(left, milliseconds(1));
}

void stage_attempt::StartExchange(const std::optional<resume_point>& resume) {
  spec_.message.time_left = TimeLeft();
  http_call call =
      BuildStageCall(spec_.message, spec_.address, call_id_, resume);
  call.at_most_once = spec_.at_most_once;
  call.accept = [&environment = environment_, address = spec_.address,
                 id = call_id_](const http_headers& headers) {
    if (!EchoesAttempt(headers, id).value_or(true)) {
      return false;
    }
    TellLoad(environment, address, headers);
    return true;
  };
  call.max_answer_bytes = environment_.options.max_stage_answer_bytes;
  const std::uint64_t exchange = ++exchange_;
  const auto weak = weak_from_this();
  if (spec_.message.kind == service_kind::kEngine) {
    answer_ = std::make_unique<engine_answer>(call_id_.Text(), stream_);
    parser_ = std::make_unique<sse_parser>(
        kMaxEventBytes,
        [this](const sse_event& event) { OnEvent(event.data); });
    call.on_data = [weak, exchange](std::string_view data) {
      if (const auto self = weak.lock()) {
        self->OnData(exchange, data);
      }
    };
    call.on_read = [weak] {
      if (const auto self = weak.lock(); self && !self->ended_) {
        self->PassOnText();
      }
    };
  }
  exchange_live_ = true;
  call_ = environment_.client->Start(
      std::move(call), [weak, exchange](http_result result) {
        if (const auto self = weak.lock()) {
          self->OnResult(exchange, std::move(result));
        }
      });
}

void stage_attempt::OnData(std::uint64_t exchange, std::string_view data) {
  if (exchange != exchange_ || !exchange_live_) {
    CountLate();
    return;
  }
  if (!parser_->Feed(data) && exchange_live_) {
    DropStream(lane_event::kMalformedAnswer, "an event is too large");
  }
}

void stage_attempt::OnEvent(const std::string& data) {
  if (!exchange_live_) {
    return;
  }
  switch (answer_->Take(data)) {
    case stream_verdict::kGoesOn:
      // Words that only repeat what the caller has are a first byte, too.
      if (first_byte_ == duration{}) {
        first_byte_ = Elapsed();
      }
      WatchForStall();
      return;
    case stream_verdict::kWhole:
      return FinishWholeLater();
    case stream_verdict::kDoubled:
      environment_.counters.Count(lane_event::kDoubledEvent);
      return;
    case stream_verdict::kCrossed:
      return DropStream(lane_event::kCrossedAnswer,
                        "an event of another attempt");
    case stream_verdict::kGap:
      return DropStream(lane_event::kGapInStream, "tokens are missing");
    case stream_verdict::kDiverged:
      if (stream_.IsRepeating()) {
        return EndDiverged();
      }
      return DropStream(lane_event::kMalformedAnswer,
                        "the stream repeats tokens with other text");
    case stream_verdict::kMalformed:
      return DropStream(lane_event::kMalformedAnswer,
                        "not an event of the protocol");
  }
}

void stage_attempt::OnText(std::uint64_t offset, std::string_view text) {
  if (first_byte_ == duration{}) {
    first_byte_ = Elapsed();
  }
  if (unpassed_text_.empty()) {
    unpassed_offset_ = offset;
  }
  unpassed_text_ += text;
}

// Tokens that came in one read go on as one piece, before anything else is done
// about them: what ends or resumes a stream is put off to a later turn. A host
// that falls behind finds more in each read, and would otherwise spend a write
// on each token just when it has no time for them.
void stage_attempt::PassOnText() {
  if (unpassed_text_.empty()) {
    return;
  }
  const std::string text = std::exchange(unpassed_text_, {});
  hooks_.on_text(unpassed_offset_, text);
}

// From the event loop: what follows a whole answer starts the next call,
// which libcurl refuses from inside its own data callback. The end of the
// answer's connection is not waited for.
void stage_attempt::FinishWholeLater() {
  asio::post(environment_.context,
             [weak = weak_from_this(), exchange = exchange_] {
               const auto self = weak.lock();
               if (self != nullptr && self->exchange_live_ &&
                   self->exchange_ == exchange) {
                 self->OnEngineResult({});
               }
             });
}

// The end of an answer that is already whole is not late.
void stage_attempt::CountLate() const {
  if (answer_ == nullptr || !answer_->Whole()) {
    environment_.counters.Count(lane_event::kLateAnswer);
  }
}

// A dropped stream's connection is closed: whatever else it would bring
// belongs to nobody.
void stage_attempt::DropStream(lane_event count, std::string_view what) {
  environment_.counters.Count(count);
  hooks_.note(NameIn(kLaneEventNames, count), what);
  DropExchange();
  asio::post(environment_.context,
             [weak = weak_from_this(), detail = std::string(what)] {
               const auto self = weak.lock();
               if (self != nullptr && !self->ended_) {
                 self->ResumeOrFail(self->Failure(detail));
               }
             });
}

void stage_attempt::DropExchange() {
  if (exchange_live_) {
    exchange_live_ = false;
    CancelLater(environment_, call_);
  }
}

void stage_attempt::OnResult(std::uint64_t exchange, http_result result) {
  if (exchange != exchange_ || !exchange_live_) {
    CountLate();
    return;
  }
  if (result.end == call_end::kTruncated) {
    environment_.counters.Count(lane_event::kTruncatedAnswer);
  }
  if (result.end == call_end::kRejected) {
    exchange_live_ = false;
    return ResumeOrFail(Crossed());
  }
  const bool direct = spec_.message.data->raw.has_value();
  const bool has_answer =
      result.end == call_end::kComplete &&
      (IsSuccess(result.status) ||
       (direct && result.status < kServerError && !IsRefusal(result.status)));
  if (spec_.message.kind == service_kind::kEngine &&
      (has_answer || answer_->Whole() || Tokens() > 0)) {
    return OnEngineResult(result);
  }
  exchange_live_ = false;
  if (!has_answer) {
    return ResumeOrFail(Refusal(result));
  }
  first_byte_ = Elapsed();
  checked_answer answer =
      ReadStageAnswer(spec_.message.kind, call_id_, std::move(result), direct);
  if (answer.check == answer_check::kMatches) {
    attempt_result whole;
    whole.end = attempt_end::kAnswered;
    whole.output = std::move(answer.output);
    return Finish(std::move(whole));
  }
  if (answer.check == answer_check::kCrossed) {
    return Finish(Crossed());
  }
  environment_.counters.Count(lane_event::kMalformedAnswer);
  Finish(Failure("the answer is not whole"));
}

attempt_result stage_attempt::Crossed() {
  environment_.counters.Count(lane_event::kCrossedAnswer);
  hooks_.note(NameIn(kLaneEventNames, lane_event::kCrossedAnswer), "");
  return Failure("the answer belongs to another attempt");
}

void stage_attempt::OnEngineResult(const http_result& result) {
  PassOnText();
  exchange_live_ = false;
  if (!answer_->Whole()) {
    if (result.end == call_end::kComplete && IsSuccess(result.status)) {
      environment_.counters.Count(lane_event::kTruncatedAnswer);
    }
    return ResumeOrFail(Refusal(result));
  }
  attempt_result whole;
  whole.end = attempt_end::kAnswered;
  whole.output.text = stream_.Text();
  whole.output.usage = answer_->Usage();
  Finish(std::move(whole));
}

attempt_result stage_attempt::Failure(std::string detail) const {
  attempt_result result;
  result.detail = std::move(detail);
  return result;
}

attempt_result stage_attempt::Refusal(const http_result& result) const {
  attempt_result refusal;
  refusal.detail = result.detail;
  if (result.end != call_end::kComplete) {
    refusal.may_have_run = result.may_have_been_sent;
    if (!result.may_have_been_sent) {
      refusal.end = attempt_end::kUnreached;
    } else if (result.end == call_end::kTimedOut) {
      refusal.end = attempt_end::kTimedOut;
    }
    return refusal;
  }
  refusal.detail = "status " + std::to_string(result.status);
  refusal.worth_retrying = !IsAboutTheRequest(result.status);
  refusal.stream_is_lost = result.status == kGone;
  if (!IsRefusal(result.status)) {
    return refusal;
  }
  refusal.said_leaving = FindHeader(result.headers, "X-Leaving") == "1";
  if (FindHeader(result.headers, "X-Not-Run") == "1") {
    refusal.may_have_run = false;
    refusal.end = attempt_end::kRefusedByEndpoint;
  }
  return refusal;
}

void stage_attempt::Finish(attempt_result result) {
  if (ended_) {
    return;
  }
  ended_ = true;
  timeout_.cancel();
  resume_timer_.cancel();
  stall_timer_.cancel();
  hooks_.on_done(std::move(result));
}

}  // namespace slatestall
