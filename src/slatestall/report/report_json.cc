#include "slatestall/report/report_json.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace slatestall {
namespace {

using nlohmann::json;

// Bins as [index, count] pairs of the filled ones: most routes fill few.
json LatencyToJson(const latency_histogram& latency) {
  json bins = json::array();
  for (int bin = -1; bin <= latency.axis(0).size(); ++bin) {
    if (latency.at(bin) != 0) {
      bins.push_back({bin, latency.at(bin)});
    }
  }
  return bins;
}

latency_histogram LatencyFromJson(const json& bins) {
  latency_histogram latency = MakeLatencyHistogram();
  for (const json& pair : bins) {
    const int bin = pair.at(0).get<int>();
    if (bin < -1 || bin > latency.axis(0).size()) {
      throw std::invalid_argument("no such latency bin");
    }
    latency.at(bin) += pair.at(1).get<std::uint64_t>();
  }
  return latency;
}

json RouteToJson(const route_key& key, const route_report& route) {
  json outcomes;
  for (const auto& entry : kRequestOutcomeNames) {
    outcomes[std::string(entry.name)] =
        route.outcomes[static_cast<std::size_t>(entry.value)];
  }
  json windows = json::array();
  for (std::size_t i = 0; i < kBurnWindows; ++i) {
    windows.push_back({{"seconds", kBurnWindowLengths[i].count()},
                       {"attained", route.windows[i].attained},
                       {"missed", route.windows[i].missed}});
  }
  return {{"route", key.route},
          {"class", std::string(NameIn(kPriorityClassNames, key.priority))},
          {"objective", route.objective},
          {"outcomes", outcomes},
          {"windows", windows},
          {"latency_total_us", route.latency_total.count()},
          {"latency", LatencyToJson(route.latency)}};
}

route_key RouteKeyFromJson(const json& route) {
  const auto priority =
      ValueIn(kPriorityClassNames, route.at("class").get<std::string>());
  if (!priority) {
    throw std::invalid_argument("no such class");
  }
  return {route.at("route").get<std::string>(), *priority};
}

route_report RouteFromJson(const json& route) {
  route_report report;
  report.objective = route.at("objective").get<double>();
  for (const auto& entry : kRequestOutcomeNames) {
    report.outcomes[static_cast<std::size_t>(entry.value)] =
        route.at("outcomes").at(std::string(entry.name)).get<std::uint64_t>();
  }
  for (std::size_t i = 0; i < kBurnWindows; ++i) {
    const json& window = route.at("windows").at(i);
    if (window.at("seconds").get<std::int64_t>() !=
        kBurnWindowLengths[i].count()) {
      throw std::invalid_argument("windows of another release");
    }
    report.windows[i] = {window.at("attained").get<std::uint64_t>(),
                         window.at("missed").get<std::uint64_t>()};
  }
  report.latency_total =
      microseconds(route.at("latency_total_us").get<std::int64_t>());
  report.latency = LatencyFromJson(route.at("latency"));
  return report;
}

json CountsToJson(const cost_counts& counts) {
  return {{"calls", counts.calls},
          {"prompt_tokens", counts.prompt_tokens},
          {"cached_tokens", counts.cached_tokens},
          {"generated_tokens", counts.generated_tokens},
          {"endpoint_us", counts.endpoint_time.count()}};
}

cost_counts CountsFromJson(const json& counts) {
  return {counts.at("calls").get<std::uint64_t>(),
          counts.at("prompt_tokens").get<std::uint64_t>(),
          counts.at("cached_tokens").get<std::uint64_t>(),
          counts.at("generated_tokens").get<std::uint64_t>(),
          microseconds(counts.at("endpoint_us").get<std::int64_t>())};
}

json CostToJson(const cost_key& key, const cost_by_use& cost) {
  json uses = json::object();
  for (const auto& entry : kAttemptUseNames) {
    const cost_counts& counts = cost[static_cast<std::size_t>(entry.value)];
    if (counts.calls != 0) {
      uses[std::string(entry.name)] = CountsToJson(counts);
    }
  }
  return {{"workspace", key.workspace},
          {"pipeline", key.pipeline},
          {"stage", key.stage},
          {"uses", uses}};
}

cost_by_use CostFromJson(const json& cost) {
  cost_by_use result{};
  for (const auto& [name, counts] : cost.at("uses").items()) {
    const auto use = ValueIn(kAttemptUseNames, name);
    if (!use) {
      throw std::invalid_argument("no such use: " + name);
    }
    result[static_cast<std::size_t>(*use)] = CountsFromJson(counts);
  }
  return result;
}

report_data ReadReport(const json& object) {
  report_data report;
  report.collectors = object.at("collectors").get<std::uint32_t>();
  report.shortest_run =
      milliseconds(object.at("shortest_run_ms").get<std::int64_t>());
  report.longest_run =
      milliseconds(object.at("longest_run_ms").get<std::int64_t>());
  for (const json& route : object.at("routes")) {
    report.routes[RouteKeyFromJson(route)] = RouteFromJson(route);
  }
  for (const json& cost : object.at("costs")) {
    const cost_key key{cost.at("workspace").get<std::string>(),
                       cost.at("pipeline").get<std::string>(),
                       cost.at("stage").get<std::string>()};
    report.costs[key] = CostFromJson(cost);
  }
  return report;
}

}  // namespace

json ReportToJson(const report_data& report) {
  json routes = json::array();
  for (const auto& [key, route] : report.routes) {
    routes.push_back(RouteToJson(key, route));
  }
  json costs = json::array();
  for (const auto& [key, cost] : report.costs) {
    costs.push_back(CostToJson(key, cost));
  }
  return {{"collectors", report.collectors},
          {"shortest_run_ms", report.shortest_run.count()},
          {"longest_run_ms", report.longest_run.count()},
          {"routes", routes},
          {"costs", costs}};
}

report_data ReportFromJson(const json& object) {
  try {
    return ReadReport(object);
  } catch (const json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

}  // namespace slatestall
