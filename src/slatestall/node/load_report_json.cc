#include "slatestall/node/load_report_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using nlohmann::json;

constexpr std::int64_t kOldestMs = 60'000;

}  // namespace

std::optional<polled_load> PolledLoadOf(const std::string& body,
                                        time_point asked) {
  try {
    const auto answer = ParseJson(body);
    polled_load polled;
    polled.load.running = answer.value("running", 0U);
    polled.load.waiting = answer.value("waiting", 0U);
    polled.load.slots = answer.value("slots", 0U);
    polled.load.leaving = answer.value("leaving", false);
    polled.load.models = answer.value("models", std::vector<std::string>{});
    polled.load.adapters = answer.value("adapters", std::vector<std::string>{});
    const auto age = answer.value("age_ms", std::int64_t{0});
    polled.load.received =
        asked - milliseconds{std::clamp<std::int64_t>(age, 0, kOldestMs)};
    polled.version = answer.value("version", std::string{});
    if (const auto cache = answer.find("cache"); cache != answer.end()) {
      polled.cache = cache->dump();
    }
    return polled;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace slatestall
