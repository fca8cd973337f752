#include "slatestall/serve/answer_json.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "slatestall/serve/json_read.h"
#include "slatestall/serve/usage_json.h"

namespace slatestall {
namespace {

using nlohmann::json;
using floating_milliseconds = std::chrono::duration<double, std::milli>;

json StagesAsJson(const std::vector<stage_summary>& stages) {
  json list = json::array();
  for (const stage_summary& each : stages) {
    list.push_back({{"stage", each.stage},
                    {"service", each.service},
                    {"endpoint", each.endpoint},
                    {"attempts", each.attempts},
                    {"ms", floating_milliseconds(each.took).count()},
                    {"usage", UsageAsJson(each.usage)}});
  }
  return list;
}

json CostAsJson(const std::vector<stage_usage>& usages) {
  call_usage sum;
  microseconds wasted{0};
  for (const stage_usage& each : usages) {
    sum.prompt_tokens += each.prompt_tokens;
    sum.cached_tokens += each.cached_tokens;
    sum.generated_tokens += each.generated_tokens;
    sum.endpoint_time += each.endpoint_time;
    if (each.use != attempt_use::kUsed) {
      wasted += each.endpoint_time;
    }
  }
  json cost = UsageAsJson(sum);
  cost["attempts"] = usages.size();
  cost["wasted_endpoint_ms"] = floating_milliseconds(wasted).count();
  return cost;
}

json WithoutText(const answer_report& report) {
  json documents = json::array();
  for (const document& each : report.answer->documents) {
    documents.push_back({{"id", each.id}, {"text", each.text}});
  }
  return {{"request_id", report.request},
          {"documents", std::move(documents)},
          {"stages", StagesAsJson(report.answer->stages)},
          {"cost", CostAsJson(*report.usages)}};
}

}  // namespace

std::string WholeAnswerAsJson(const answer_report& report) {
  json whole = WithoutText(report);
  whole["answer"] = report.answer->text;
  return DumpJson(whole);
}

std::string EndOfStreamAsJson(const answer_report& report) {
  return DumpJson(WithoutText(report));
}

}  // namespace slatestall
