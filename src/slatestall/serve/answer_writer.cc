#include "slatestall/serve/answer_writer.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/http/sse_parser.h"
#include "slatestall/serve/json_read.h"
#include "slatestall/serve/json_text.h"

namespace slatestall {
namespace {

constexpr milliseconds kPollInterval{10};
/// Of an event beside its text, and some escapes.
constexpr std::size_t kTextEventBytes = 64;

}  // namespace

answer_writer::answer_writer(const lane_environment& environment,
                             std::string request, http_responder_ptr responder,
                             bool stream)
    : environment_(environment),
      request_(std::move(request)),
      responder_(std::move(responder)),
      stream_(stream),
      poll_timer_(environment.context) {}

void answer_writer::OnClosed(std::function<void()> hook) {
  responder_->OnClosed(std::move(hook));
}

void answer_writer::StartStream() {
  if (started_) {
    return;
  }
  started_ = true;
  responder_->StartStream(200, {{"Content-Type", "text/event-stream"},
                                {"Cache-Control", "no-store"},
                                {"X-Request-Id", request_}});
}

// A caller that reads slower than the engine writes would otherwise fill this
// host's memory with one small event a token; held text is merged into one.
void answer_writer::Text(std::uint64_t offset, std::string_view text) {
  if (!responder_ || !stream_) {
    return;
  }
  StartStream();
  if (held_.empty()) {
    held_offset_ = offset;
  }
  held_ += text;
  if (responder_->PendingBytes() > environment_.options.max_pending_bytes) {
    environment_.counters.Count(lane_event::kHeldBack);
    return PollLater();
  }
  WriteHeld();
}

void answer_writer::WriteHeld() {
  if (held_.empty()) {
    return;
  }
  std::string json;
  json.reserve(held_.size() + kTextEventBytes);
  json += "{\"offset\":";
  json += std::to_string(held_offset_);
  json += ",\"text\":";
  if (AppendJsonString(json, held_)) {
    json += '}';
  } else {
    json = DumpJson({{"offset", held_offset_}, {"text", held_}});
  }
  WriteEvent("", json);
  held_.clear();
}

void answer_writer::WriteEvent(std::string_view type, const std::string& json) {
  std::string event;
  if (!type.empty()) {
    event = "event: " + std::string(type) + "\n";
  }
  responder_->Write(event + SseEvent(json));
}

void answer_writer::PollLater() {
  if (polls_) {
    return;
  }
  polls_ = true;
  poll_timer_.expires_after(kPollInterval);
  poll_timer_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (error || self == nullptr) {
      return;
    }
    self->polls_ = false;
    if (!self->responder_ || self->held_.empty()) {
      return;
    }
    if (self->responder_->PendingBytes() >
        self->environment_.options.max_pending_bytes) {
      return self->PollLater();
    }
    self->WriteHeld();
  });
}

http_responder_ptr answer_writer::TakeResponder() {
  poll_timer_.cancel();
  return std::move(responder_);
}

void answer_writer::EndStream(const std::string& json) {
  if (!responder_) {
    return;
  }
  StartStream();
  WriteHeld();
  WriteEvent("done", json);
  TakeResponder()->Finish();
}

void answer_writer::Send(int status, const std::string& content_type,
                         std::string body, bool replay) {
  if (!responder_) {
    return;
  }
  http_headers headers = {{"Content-Type", content_type},
                          {"Cache-Control", "no-store"},
                          {"X-Request-Id", request_}};
  if (replay) {
    headers.push_back({"Idempotent-Replay", "true"});
  }
  TakeResponder()->Send(status, headers, std::move(body));
}

void answer_writer::Fail(const problem& failure) {
  if (!responder_) {
    return;
  }
  if (!started_) {
    return TakeResponder()->Send(StatusOf(failure), ProblemHeaders(failure),
                                 ProblemAsJson(failure));
  }
  WriteHeld();
  WriteEvent("error", ProblemAsJson(failure));
  TakeResponder()->Finish();
}

void answer_writer::Detach() { TakeResponder().reset(); }

}  // namespace slatestall
