#include "slatestall/serve/attempt_accounts.h"

#include <chrono>
#include <utility>

#include "slatestall/serve/call_scheduler.h"

namespace slatestall {

attempt_accounts::attempt_accounts(
    const lane_environment& environment, const stage_spec& spec,
    std::function<void(const stage_usage&)> on_usage)
    : environment_(environment), spec_(spec), on_usage_(std::move(on_usage)) {}

attempt_report attempt_accounts::ReportOf(stage_ticket ticket,
                                          const std::string& address,
                                          attempt_end end) const {
  attempt_report report;
  report.ticket = ticket;
  report.service = spec_.pipeline->stages[spec_.stage].service;
  report.address = address;
  report.pipeline = spec_.pipeline->name;
  report.stage = spec_.stage;
  report.end = end;
  report.at_most_once = spec_.at_most_once;
  return report;
}

void attempt_accounts::Unsent(const stage_decision& decision) const {
  environment_.scheduler.Ended(
      ReportOf(decision.ticket, decision.address, attempt_end::kCancelled));
}

void attempt_accounts::Ended(const stage_attempt& attempt,
                             const attempt_result& result) const {
  attempt_report report =
      ReportOf(attempt.Ticket(), attempt.Address(), result.end);
  report.said_leaving = result.said_leaving;
  report.first_byte = attempt.FirstByte();
  report.total = attempt.Elapsed();
  report.generated_tokens = attempt.Tokens();
  environment_.scheduler.Ended(report);
  if (result.said_leaving && environment_.hooks.on_endpoint_leaving) {
    environment_.hooks.on_endpoint_leaving(attempt.Address());
  }
}

// An attempt that did not end by itself never told its usage: its tokens are
// those that came, and its time is how long it was let run.
void attempt_accounts::Use(const stage_attempt& attempt, attempt_use use,
                           const call_usage* told) const {
  stage_usage usage;
  usage.workspace = spec_.workspace;
  usage.pipeline = spec_.pipeline->name;
  usage.stage = spec_.pipeline->stages[spec_.stage].name;
  usage.use = use;
  if (told != nullptr) {
    usage.prompt_tokens = told->prompt_tokens;
    usage.cached_tokens = told->cached_tokens;
    usage.generated_tokens = told->generated_tokens;
    usage.endpoint_time = told->endpoint_time;
  } else {
    usage.generated_tokens = attempt.Tokens();
    usage.endpoint_time =
        std::chrono::duration_cast<microseconds>(attempt.Elapsed());
  }
  on_usage_(usage);
}

}  // namespace slatestall
