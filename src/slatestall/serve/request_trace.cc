#include "slatestall/serve/request_trace.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "slatestall/report/report_data.h"
#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using nlohmann::json;

double Milliseconds(microseconds value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

json NotesAsJson(const request_trace& trace) {
  json notes = json::array();
  for (const decision_note& each : trace.notes) {
    notes.push_back({{"at_ms", Milliseconds(each.at)},
                     {"stage", each.stage},
                     {"attempt", each.attempt},
                     {"endpoint", each.endpoint},
                     {"what", each.what},
                     {"reason", each.reason}});
  }
  return notes;
}

json UsagesAsJson(const request_trace& trace) {
  json usages = json::array();
  for (const stage_usage& each : trace.usages) {
    usages.push_back({{"stage", each.stage},
                      {"use", NameIn(kAttemptUseNames, each.use)},
                      {"prompt_tokens", each.prompt_tokens},
                      {"cached_tokens", each.cached_tokens},
                      {"generated_tokens", each.generated_tokens},
                      {"endpoint_ms", Milliseconds(each.endpoint_time)}});
  }
  return usages;
}

}  // namespace

std::string TraceAsJson(const request_trace& trace) {
  json object = {{"request_id", trace.id},
                 {"workspace", trace.workspace},
                 {"pipeline", trace.pipeline},
                 {"priority", NameIn(kPriorityClassNames, trace.priority)},
                 {"deadline_ms", trace.deadline.count()},
                 {"total_ms", Milliseconds(trace.total)},
                 {"answered_in_full", trace.answered_in_full},
                 {"replayed", trace.replayed},
                 {"ran", NameOf(trace.may_have_run)},
                 {"usages", UsagesAsJson(trace)},
                 {"decisions", NotesAsJson(trace)}};
  if (trace.first_byte) {
    object["first_byte_ms"] = Milliseconds(*trace.first_byte);
  }
  if (trace.error) {
    object["error"] = AnswerFor(*trace.error).name;
  }
  return DumpJson(object);
}

}  // namespace slatestall
