#include "slatestall/serve/engine_answer.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/serve/json_read.h"
#include "slatestall/serve/usage_json.h"

namespace slatestall {
namespace {

constexpr std::string_view kDone = "[DONE]";
/// Offsets past this are nonsense; bounding them keeps sums from wrapping.
constexpr std::uint64_t kMaxOffset = std::uint64_t{1} << 40U;

stream_verdict VerdictOf(splice result) {
  switch (result) {
    case splice::kAppended:
      return stream_verdict::kGoesOn;
    case splice::kDoubled:
      return stream_verdict::kDoubled;
    case splice::kGap:
      return stream_verdict::kGap;
    case splice::kDiverged:
      break;
  }
  return stream_verdict::kDiverged;
}

bool IsFinishReason(const std::string& reason) {
  return reason == "stop" || reason == "length";
}

}  // namespace

engine_answer::engine_answer(std::string id, token_stream& stream)
    : id_(std::move(id)), stream_(stream) {}

stream_verdict engine_answer::Take(std::string_view data) {
  if (done_) {
    return stream_verdict::kDoubled;
  }
  if (data == kDone) {
    return TakeDone();
  }
  if (auto scanned = ScanTokenEvent(data)) {
    return TakeScanned(std::move(*scanned));
  }
  return TakeParsed(data);
}

stream_verdict engine_answer::TakeScanned(scanned_event event) {
  if (event.id != id_) {
    return stream_verdict::kCrossed;
  }
  if (event.offset > kMaxOffset || event.count > kMaxOffset) {
    return stream_verdict::kMalformed;
  }
  return TakeTokens({event.offset, event.count, std::move(event.text)});
}

stream_verdict engine_answer::TakeParsed(std::string_view data) {
  const nlohmann::json event = ParseJson(data);
  if (!event.is_object()) {
    return stream_verdict::kMalformed;
  }
  if (StringMember(event, "id") != id_) {
    return stream_verdict::kCrossed;
  }
  const auto offset = UnsignedMember(event, "offset");
  if (!offset || *offset > kMaxOffset) {
    return stream_verdict::kMalformed;
  }
  if (const auto reason = StringMember(event, "finish_reason")) {
    usage_ = UsageMember(event);
    return IsFinishReason(*reason) ? TakeFinish(*offset)
                                   : stream_verdict::kMalformed;
  }
  const auto count = UnsignedMember(event, "count");
  auto text = StringMember(event, "text");
  if (!count || *count > kMaxOffset || !text) {
    return stream_verdict::kMalformed;
  }
  return TakeTokens({*offset, *count, std::move(*text)});
}

stream_verdict engine_answer::TakeDone() {
  if (!finished_) {
    return stream_verdict::kMalformed;
  }
  done_ = true;
  return stream_verdict::kWhole;
}

stream_verdict engine_answer::TakeTokens(const token_event& event) {
  if (finished_ && event.offset + event.count > stream_.NextOffset()) {
    return stream_verdict::kMalformed;
  }
  return VerdictOf(stream_.Take(event));
}

stream_verdict engine_answer::TakeFinish(std::uint64_t offset) {
  if (offset > stream_.Generated()) {
    return stream_verdict::kGap;
  }
  if (offset < stream_.Generated() || stream_.IsRepeating()) {
    return stream_verdict::kDiverged;
  }
  finished_ = true;
  return stream_verdict::kGoesOn;
}

}  // namespace slatestall
