#include "slatestall/report/prometheus_text.h"

#include <array>
#include <cstdio>
#include <functional>
#include <utility>
#include <vector>

namespace slatestall {
namespace {

using labels = std::vector<std::pair<std::string, std::string>>;

// Every third bound of the histogram: buckets are cumulative, so leaving some
// out loses resolution and no counts.
constexpr int kBinsPerBucket = 3;

std::string Escaped(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

std::string Number(double value) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%.9g", value);  // NOLINT
  return text.data();
}

std::string Sample(const std::string& name, const labels& all,
                   const std::string& value) {
  std::string text = name + "{";
  for (const auto& [label, content] : all) {
    text += (text.back() == '{' ? "" : ",") + label + "=\"" + Escaped(content) +
            "\"";
  }
  return text + "} " + value + "\n";
}

std::string Header(const std::string& name, const std::string& type,
                   const std::string& help) {
  return "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

labels LabelsOf(const route_key& key) {
  return {{"route", key.route},
          {"class", std::string(NameIn(kPriorityClassNames, key.priority))}};
}

std::string Requests(const report_data& report) {
  const std::string name = "slatestall_requests_by_outcome_total";
  std::string text = Header(name, "counter", "Requests by how they ended.");
  for (const auto& [key, route] : report.routes) {
    for (const auto& entry : kRequestOutcomeNames) {
      labels all = LabelsOf(key);
      all.emplace_back("outcome", entry.name);
      text +=
          Sample(name, all,
                 std::to_string(
                     route.outcomes[static_cast<std::size_t>(entry.value)]));
    }
  }
  return text;
}

std::string LatencyOf(const std::string& name, const route_key& key,
                      const route_report& route) {
  std::string text;
  std::uint64_t below = route.latency.at(-1);
  const auto& axis = route.latency.axis(0);
  for (int bin = 0; bin < axis.size(); ++bin) {
    below += route.latency.at(bin);
    if ((bin + 1) % kBinsPerBucket == 0) {
      labels all = LabelsOf(key);
      all.emplace_back("le", Number(axis.bin(bin).upper() / 1000));
      text += Sample(name + "_bucket", all, std::to_string(below));
    }
  }
  const std::string count =
      std::to_string(below + route.latency.at(axis.size()));
  labels infinite = LabelsOf(key);
  infinite.emplace_back("le", "+Inf");
  text += Sample(name + "_bucket", infinite, count);
  text +=
      Sample(name + "_sum", LabelsOf(key),
             Number(static_cast<double>(route.latency_total.count()) / 1e6));
  return text + Sample(name + "_count", LabelsOf(key), count);
}

std::string Latency(const report_data& report) {
  const std::string name = "slatestall_request_latency_seconds";
  std::string text =
      Header(name, "histogram", "Time to the last byte of whole answers.");
  for (const auto& [key, route] : report.routes) {
    text += LatencyOf(name, key, route);
  }
  return text;
}

struct cost_metric {
  std::string name;
  std::string help;
  std::function<double(const cost_counts&)> value;
};

std::vector<cost_metric> CostMetrics() {
  using counts = cost_counts;
  return {
      {"slatestall_stage_calls_total", "Attempts at a stage.",
       [](const counts& c) { return static_cast<double>(c.calls); }},
      {"slatestall_stage_prompt_tokens_total", "Prompt tokens.",
       [](const counts& c) { return static_cast<double>(c.prompt_tokens); }},
      {"slatestall_stage_cached_tokens_total",
       "Prompt tokens served from a cache.",
       [](const counts& c) { return static_cast<double>(c.cached_tokens); }},
      {"slatestall_stage_generated_tokens_total", "Generated tokens.",
       [](const counts& c) { return static_cast<double>(c.generated_tokens); }},
      {"slatestall_stage_endpoint_seconds_total", "Time that endpoints spent.",
       [](const counts& c) {
         return static_cast<double>(c.endpoint_time.count()) / 1e6;
       }}};
}

std::string Costs(const report_data& report, const cost_metric& metric) {
  std::string text = Header(metric.name, "counter", metric.help);
  for (const auto& [key, uses] : report.costs) {
    for (const auto& entry : kAttemptUseNames) {
      const cost_counts& counts = uses[static_cast<std::size_t>(entry.value)];
      if (counts.calls != 0) {
        text += Sample(metric.name,
                       {{"workspace", key.workspace},
                        {"pipeline", key.pipeline},
                        {"stage", key.stage},
                        {"use", std::string(entry.name)}},
                       Number(metric.value(counts)));
      }
    }
  }
  return text;
}

}  // namespace

std::string WritePrometheus(const report_data& report) {
  std::string text = Requests(report) + Latency(report);
  for (const cost_metric& metric : CostMetrics()) {
    text += Costs(report, metric);
  }
  return text;
}

}  // namespace slatestall
