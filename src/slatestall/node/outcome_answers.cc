#include "slatestall/node/outcome_answers.h"

namespace slatestall {
namespace {

stored_outcome StoredFrom(const claim_outcome& outcome) {
  return {outcome.status, outcome.content_type, outcome.body};
}

}  // namespace

claim_attempt AttemptOf(const keyed_request& request, const host_id& self) {
  return {{request.workspace, request.key},
          request.body_hash,
          request.id.text,
          self};
}

claim_decision DecisionFrom(const tracked_decision& decided) {
  claim_decision decision;
  decision.refusal = decided.refusal;
  decision.detail = decided.detail;
  decision.retry_after = decided.retry_after;
  switch (decided.verdict) {
    case tracked_verdict::kRun:
      decision.verdict = claim_verdict::kRun;
      break;
    case tracked_verdict::kAnswered:
      decision.verdict = claim_verdict::kAnswered;
      decision.outcome = StoredFrom(*decided.outcome);
      break;
    case tracked_verdict::kRefused:
      decision.verdict = claim_verdict::kRefused;
      break;
  }
  return decision;
}

claim_decision Refusal(error_kind kind, const char* detail) {
  claim_decision decision;
  decision.refusal = kind;
  decision.detail = detail;
  return decision;
}

key_lookup LookupFrom(const claim_answer& answer, bool holder_gone) {
  key_lookup told;
  told.detail = answer.detail;
  const bool unused = answer.result == claim_result::kRefused &&
                      (answer.refusal == error_kind::kNotFound ||
                       answer.refusal == error_kind::kInvalidRequest);
  if (unused) {
    told.state = key_state::kNone;
  } else if (answer.result == claim_result::kEnded && answer.outcome) {
    told.state = key_state::kEnded;
    told.outcome = StoredFrom(*answer.outcome);
  } else if (answer.result == claim_result::kEnded) {
    told.detail = "the request has ended; its answer is not kept any more";
  } else if (answer.result == claim_result::kHeld && holder_gone) {
    told.detail = "the host that held the key is gone; it may have run";
  } else if (answer.result == claim_result::kHeld) {
    told.state = key_state::kRunning;
  }
  return told;
}

}  // namespace slatestall
