#include "slatestall/serve/usage_json.h"

#include <algorithm>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr double kMaxEngineMs = 24.0 * 3600 * 1000;

}  // namespace

call_usage UsageMember(const nlohmann::json& answer) {
  call_usage usage;
  if (!answer.is_object()) {
    return usage;
  }
  const auto found = answer.find("usage");
  if (found == answer.end()) {
    return usage;
  }
  usage.prompt_tokens = UnsignedMember(*found, "prompt_tokens").value_or(0);
  usage.cached_tokens = UnsignedMember(*found, "cached_tokens").value_or(0);
  usage.generated_tokens =
      UnsignedMember(*found, "generated_tokens").value_or(0);
  const double engine_ms =
      std::clamp(NumberMember(*found, "engine_ms", 0), 0.0, kMaxEngineMs);
  usage.endpoint_time = microseconds(
      static_cast<std::int64_t>(engine_ms * kMicrosecondsPerMillisecond));
  return usage;
}

nlohmann::json UsageAsJson(const call_usage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"cached_tokens", usage.cached_tokens},
          {"generated_tokens", usage.generated_tokens},
          {"endpoint_ms", static_cast<double>(usage.endpoint_time.count()) /
                              kMicrosecondsPerMillisecond}};
}

}  // namespace slatestall
