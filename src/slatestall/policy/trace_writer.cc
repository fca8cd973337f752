#include "slatestall/policy/trace_writer.h"

#include <nlohmann/json.hpp>

#include "slatestall/policy/trace_names.h"

namespace slatestall {
namespace {

using nlohmann::json;

double Ms(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

std::string Text(const json& line) {
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

json AnswerJson(const trace_answer& answer) {
  return {{"outcome", NameIn(kTraceOutcomeNames, answer.outcome)},
          {"total_ms", Ms(answer.total)},
          {"class", NameIn(kPriorityClassNames, answer.priority)}};
}

template <typename Line>
void WriteLines(const std::vector<Line>& lines, std::ostream& out) {
  for (const Line& line : lines) {
    out << TraceLine(line) << "\n";
  }
}

}  // namespace

std::string TraceHead(const std::string& name, std::uint64_t seed) {
  return Text({{"type", "trace"},
               {"format", kTraceFormat},
               {"name", name},
               {"seed", seed}});
}

std::string TraceLine(const trace_configuration& published) {
  return Text({{"type", "configuration"},
               {"at_ms", Ms(published.at)},
               {"revision", published.revision},
               {"source", published.source}});
}

std::string TraceLine(const trace_host_list& list) {
  json hosts = json::array();
  for (const trace_host& host : list.hosts) {
    hosts.push_back({{"name", host.name},
                     {"failure_domain", host.failure_domain},
                     {"lanes", host.lanes}});
  }
  return Text({{"type", "hosts"}, {"at_ms", Ms(list.at)}, {"hosts", hosts}});
}

std::string TraceLine(const trace_network& network) {
  return Text({{"type", "network"},
               {"same_domain_ms", Ms(network.same_domain)},
               {"cross_domain_ms", Ms(network.cross_domain)}});
}

std::string TraceLine(const trace_endpoint_model& model) {
  return Text({{"type", "endpoint_model"},
               {"service", model.service},
               {"slots", model.slots},
               {"batch_slowdown", model.batch_slowdown},
               {"prefill_share", model.prefill_share},
               {"cache_prefixes", model.cache_prefixes},
               {"report_every_ms", Ms(model.report_interval)},
               {"report_lag_ms", Ms(model.report_lag)},
               {"event_loss", model.event_loss}});
}

std::string TraceLine(const trace_endpoint& endpoint) {
  return Text({{"type", "endpoint"},
               {"service", endpoint.service},
               {"address", endpoint.address},
               {"failure_domain", endpoint.failure_domain},
               {"models", endpoint.models}});
}

std::string TraceLine(const trace_fault& fault) {
  return Text({{"type", "fault"},
               {"kind", NameIn(kFaultNames, fault.kind)},
               {"from_ms", Ms(fault.from)},
               {"until_ms", Ms(fault.until)},
               {"factor", fault.factor},
               {"addresses", fault.addresses},
               {"failure_domain", fault.failure_domain}});
}

std::string TraceLine(const trace_load_report& report) {
  return Text({{"type", "load_report"},
               {"at_ms", Ms(report.at)},
               {"service", report.service},
               {"address", report.address},
               {"running", report.load.running},
               {"waiting", report.load.waiting},
               {"slots", report.load.slots},
               {"leaving", report.load.leaving},
               {"models", report.load.models},
               {"adapters", report.load.adapters}});
}

std::string TraceLine(const trace_arrival& arrival) {
  json work = json::array();
  for (const milliseconds each : arrival.work) {
    work.push_back(each.count());
  }
  json line{{"arrival", Ms(arrival.at)},    {"host", arrival.host},
            {"pipeline", arrival.pipeline}, {"workspace", arrival.workspace},
            {"prefix", arrival.prefix},     {"work", work},
            {"tokens", arrival.tokens}};
  if (arrival.deadline) {
    line["deadline_ms"] = arrival.deadline->count();
  }
  if (arrival.answer) {
    line["answer"] = AnswerJson(*arrival.answer);
  }
  return Text(line);
}

std::string TraceLine(const trace_outcome& outcome) {
  json line{{"type", "outcome"}, {"name", outcome.name}};
  if (outcome.at_least) {
    line["at_least"] = *outcome.at_least;
  }
  if (outcome.at_most) {
    line["at_most"] = *outcome.at_most;
  }
  if (outcome.equals) {
    line["equals"] = *outcome.equals;
  }
  return Text(line);
}

void WriteTrace(const trace& trace, std::ostream& out) {
  out << TraceHead(trace.name, trace.seed) << "\n";
  WriteLines(trace.configurations, out);
  WriteLines(trace.host_lists, out);
  out << TraceLine(trace.network) << "\n";
  WriteLines(trace.models, out);
  WriteLines(trace.endpoints, out);
  WriteLines(trace.faults, out);
  WriteLines(trace.load_reports, out);
  WriteLines(trace.arrivals, out);
  WriteLines(trace.outcomes, out);
}

}  // namespace slatestall
