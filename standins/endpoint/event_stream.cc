#include "standins/endpoint/event_stream.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "standins/endpoint/answer_text.h"

namespace slatestall {
namespace {

constexpr std::size_t kMaxPendingBytes = 65536;

/// Id and answer of a caller that does not exist: what a crossed answer holds.
constexpr const char* kCrossedAttempt = "crossed.0000000000000000.0-0/0/0";

}  // namespace

event_stream::event_stream(http_responder_ptr responder, std::string attempt,
                           std::uint32_t offset, fault_mode fault,
                           std::function<std::string()> load)
    : responder_(std::move(responder)),
      attempt_(std::move(attempt)),
      shown_attempt_(fault == fault_mode::kCross ? kCrossedAttempt : attempt_),
      sent_(offset),
      fault_(fault),
      load_(std::move(load)) {}

stream_state event_stream::Advance(const generation& source) {
  if (fault_ == fault_mode::kDropAfter) {
    if (!source.IsComplete()) {
      return stream_state::kOpen;
    }
    responder_->Abort();
    return stream_state::kCut;
  }
  const bool is_blocked = responder_->PendingBytes() > kMaxPendingBytes;
  if (is_blocked && !source.IsComplete()) {
    return stream_state::kOpen;
  }
  Start();
  SendTokens(source);
  if (fault_ == fault_mode::kTruncate && sent_ * 2 >= source.length) {
    responder_->Abort();
    return stream_state::kCut;
  }
  if (!source.IsComplete()) {
    return stream_state::kOpen;
  }
  SendEnd(source);
  return stream_state::kFinished;
}

void event_stream::Start() {
  if (started_) {
    return;
  }
  started_ = true;
  responder_->StartStream(200, {{"Content-Type", "text/event-stream"},
                                {"X-Attempt-Id", shown_attempt_},
                                {"X-Load", load_()}});
}

void event_stream::SendTokens(const generation& source) {
  if (source.produced <= sent_) {
    return;
  }
  const std::string key =
      fault_ == fault_mode::kCross ? kCrossedAttempt : source.answer_key;
  std::string text;
  for (std::uint32_t index = sent_; index < source.produced; ++index) {
    text += TokenText(key, index);
  }
  const nlohmann::json event = {{"id", shown_attempt_},
                                {"offset", sent_},
                                {"count", source.produced - sent_},
                                {"text", text}};
  SendEvent(event.dump());
  sent_ = source.produced;
}

void event_stream::SendEnd(const generation& source) {
  const nlohmann::json event = {
      {"id", shown_attempt_},
      {"offset", source.length},
      {"finish_reason", FinishReason(source.length, source.max_tokens)},
      {"usage",
       {{"prompt_tokens", source.prompt_tokens},
        {"cached_tokens", source.cached_tokens},
        {"generated_tokens", source.length},
        {"engine_ms", static_cast<std::int64_t>(source.engine_ms)}}}};
  SendEvent(event.dump());
  SendEvent("[DONE]");
  responder_->Finish();
}

void event_stream::SendEvent(const std::string& data) {
  std::string event = "data: " + data + "\n\n";
  if (fault_ == fault_mode::kDuplicate) {
    event += event;
  }
  responder_->Write(std::move(event));
}

}  // namespace slatestall
