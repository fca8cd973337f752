#pragma once

#include "slatestall/policy/claim_tracker.h"
#include "slatestall/policy/claim_types.h"
#include "slatestall/serve/outcome_guard.h"

namespace slatestall {

/// @brief Between the front's types and policy's.
/// @ingroup node
claim_attempt AttemptOf(const keyed_request& request, const host_id& self);

claim_decision DecisionFrom(const tracked_decision& decided);

claim_decision Refusal(error_kind kind, const char* detail);

/// @param holder_gone The holder's incarnation is known to be gone.
key_lookup LookupFrom(const claim_answer& answer, bool holder_gone);

}  // namespace slatestall
