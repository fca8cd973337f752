#include "slatestall/policy/trace.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "slatestall/policy/trace_names.h"

namespace slatestall {
namespace {

using json = nlohmann::json;

// Rounded, so that what a writer made of a duration is read back as it was.
duration Span(const json& milliseconds_value) {
  return std::chrono::round<duration>(std::chrono::duration<double, std::milli>(
      milliseconds_value.get<double>()));
}

duration SpanOr(const json& line, const char* key, duration otherwise) {
  return line.contains(key) ? Span(line.at(key)) : otherwise;
}

template <typename Enum, std::size_t N>
Enum Named(const name_table<Enum, N>& table, const std::string& name,
           const std::string& what) {
  const auto known = ValueIn(table, name);
  if (!known) {
    throw std::invalid_argument("unknown " + what + " \"" + name + "\"");
  }
  return *known;
}

trace_answer ReadAnswer(const json& line) {
  trace_answer answer;
  answer.outcome = Named(kTraceOutcomeNames, line.at("outcome"), "outcome");
  answer.total = Span(line.at("total_ms"));
  answer.priority = Named(kPriorityClassNames, line.at("class"), "class");
  return answer;
}

trace_arrival ReadArrival(const json& line) {
  trace_arrival arrival;
  arrival.at = Span(line.at("arrival"));
  arrival.host = line.at("host");
  arrival.pipeline = line.at("pipeline");
  arrival.workspace = line.at("workspace");
  if (line.contains("deadline_ms")) {
    arrival.deadline = milliseconds(line.at("deadline_ms"));
  }
  arrival.prefix = line.value("prefix", std::uint64_t{0});
  for (const json& work : line.at("work")) {
    arrival.work.emplace_back(work.get<std::int64_t>());
  }
  arrival.tokens = line.value("tokens", std::uint64_t{0});
  if (line.contains("answer")) {
    arrival.answer = ReadAnswer(line.at("answer"));
  }
  return arrival;
}

trace_host_list ReadHosts(const json& line) {
  trace_host_list list;
  list.at = SpanOr(line, "at_ms", {});
  for (const json& host : line.at("hosts")) {
    list.hosts.push_back(
        {host.at("name"), host.at("failure_domain"), host.value("lanes", 1U)});
  }
  return list;
}

trace_endpoint_model ReadModel(const json& line) {
  trace_endpoint_model model;
  model.service = line.at("service");
  model.slots = line.at("slots");
  model.batch_slowdown = line.value("batch_slowdown", 0.0);
  model.prefill_share = line.value("prefill_share", 0.0);
  model.cache_prefixes = line.value("cache_prefixes", std::size_t{0});
  model.report_interval =
      SpanOr(line, "report_every_ms", model.report_interval);
  model.report_lag = SpanOr(line, "report_lag_ms", model.report_lag);
  model.event_loss = line.value("event_loss", 0.0);
  return model;
}

trace_fault ReadFault(const json& line) {
  trace_fault fault;
  fault.from = Span(line.at("from_ms"));
  fault.until = Span(line.at("until_ms"));
  fault.kind = Named(kFaultNames, line.at("kind"), "fault");
  fault.factor = line.value("factor", 1.0);
  fault.addresses = line.value("addresses", std::vector<std::string>{});
  fault.failure_domain = line.value("failure_domain", std::string());
  return fault;
}

trace_load_report ReadLoadReport(const json& line) {
  trace_load_report report;
  report.at = Span(line.at("at_ms"));
  report.service = line.at("service");
  report.address = line.at("address");
  report.load.running = line.at("running");
  report.load.waiting = line.at("waiting");
  report.load.slots = line.value("slots", 0U);
  report.load.leaving = line.value("leaving", false);
  report.load.models = line.value("models", std::vector<std::string>{});
  report.load.adapters = line.value("adapters", std::vector<std::string>{});
  return report;
}

trace_outcome ReadOutcome(const json& line, std::size_t number) {
  trace_outcome outcome;
  outcome.line = number;
  outcome.name = line.at("name");
  if (line.contains("at_least")) {
    outcome.at_least = line.at("at_least");
  }
  if (line.contains("at_most")) {
    outcome.at_most = line.at("at_most");
  }
  if (line.contains("equals")) {
    outcome.equals = line.at("equals");
  }
  return outcome;
}

void ReadHead(const json& line, trace& into) {
  if (line.at("format") != kTraceFormat) {
    throw std::invalid_argument("unknown format of trace");
  }
  into.name = line.at("name");
  into.seed = line.value("seed", std::uint64_t{1});
}

void ReadLine(const json& line, std::size_t number, trace& into) {
  if (line.contains("arrival")) {
    into.arrivals.push_back(ReadArrival(line));
    return;
  }
  const std::string type = line.at("type");
  if (type == "trace") {
    ReadHead(line, into);
  } else if (type == "configuration") {
    into.configurations.push_back(
        {SpanOr(line, "at_ms", {}), line.at("revision"), line.at("source")});
  } else if (type == "hosts") {
    into.host_lists.push_back(ReadHosts(line));
  } else if (type == "network") {
    into.network = {Span(line.at("same_domain_ms")),
                    Span(line.at("cross_domain_ms"))};
  } else if (type == "endpoint_model") {
    into.models.push_back(ReadModel(line));
  } else if (type == "endpoint") {
    into.endpoints.push_back(
        {line.at("service"), line.at("address"), line.at("failure_domain"),
         line.value("models", std::vector<std::string>{})});
  } else if (type == "fault") {
    into.faults.push_back(ReadFault(line));
  } else if (type == "load_report") {
    into.load_reports.push_back(ReadLoadReport(line));
  } else if (type == "outcome") {
    into.outcomes.push_back(ReadOutcome(line, number));
  } else {
    throw std::invalid_argument("unknown type \"" + type + "\"");
  }
}

// Without the library's own name of the error, "[json.exception...] ".
std::string Plain(const std::string& message) {
  const std::size_t end = message.find("] ");
  return message.rfind("[json.", 0) == 0 && end != std::string::npos
             ? message.substr(end + 2)
             : message;
}

void CheckWhole(const trace& read, std::size_t lines) {
  if (read.name.empty() || read.configurations.empty() ||
      read.host_lists.empty() || read.host_lists.front().hosts.empty()) {
    throw trace_error(lines, "a trace needs a head, a configuration and hosts");
  }
}

}  // namespace

trace ReadTrace(std::istream& in) {
  trace result;
  std::string text;
  std::size_t number = 0;
  while (std::getline(in, text)) {
    ++number;
    if (text.empty()) {
      continue;
    }
    try {
      ReadLine(json::parse(text), number, result);
    } catch (const json::parse_error&) {
      throw trace_error(number, "not a line of JSON");
    } catch (const std::exception& problem) {
      throw trace_error(number, Plain(problem.what()));
    }
  }
  CheckWhole(result, number);
  // A host writes an arrival when the request has ended.
  std::stable_sort(result.arrivals.begin(), result.arrivals.end(),
                   [](const trace_arrival& first, const trace_arrival& second) {
                     return first.at < second.at;
                   });
  return result;
}

}  // namespace slatestall
