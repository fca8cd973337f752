#pragma once

#include <memory>

#include "slatestall/model/time.h"
#include "slatestall/peer/messages_generated.h"
#include "slatestall/policy/claim_table.h"
#include "slatestall/policy/claim_types.h"

namespace slatestall {

/// @brief The messages of claims between hosts, to and from policy's types.
/// @ingroup node
wire::claim_requestT ToMessage(const claim_attempt& attempt, milliseconds wait);
claim_attempt FromMessage(const wire::claim_requestT& message);

wire::claim_replyT ToMessage(const claim_answer& answer);
claim_answer FromMessage(const wire::claim_replyT& message);

wire::claim_endT ToMessage(const claim_ending& ending);
claim_ending FromMessage(const wire::claim_endT& message);

wire::key_entryT ToMessage(const claim_table::row& row);
claim_table::row FromMessage(const wire::key_entryT& message);

/// @brief A message as the peer layer takes it.
template <typename Message>
wire::messageUnion AsUnion(Message message) {
  wire::messageUnion body;
  body.Set(std::move(message));
  return body;
}

}  // namespace slatestall
