#include "slatestall/node/load_report_json.h"

#include <nlohmann/json.hpp>

namespace slatestall {

using nlohmann::json;

std::optional<load_report> LoadReportOf(const std::string& body,
                                        time_point received) {
  try {
    const auto answer = json::parse(body);
    load_report load;
    load.running = answer.value("running", 0U);
    load.waiting = answer.value("waiting", 0U);
    load.slots = answer.value("slots", 0U);
    load.leaving = answer.value("leaving", false);
    load.models = answer.value("models", std::vector<std::string>{});
    load.adapters = answer.value("adapters", std::vector<std::string>{});
    load.received = received;
    return load;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace slatestall
