#include "slatestall/node/claim_messages.h"

#include <array>
#include <utility>

#include "slatestall/policy/key_text.h"

namespace slatestall {
namespace {

using outcome_pointer = decltype(std::declval<wire::claim_replyT>().outcome);

outcome_pointer ToMessage(const claim_outcome_ptr& outcome) {
  if (outcome == nullptr) {
    return {};
  }
  outcome_pointer message(new wire::request_outcomeT());
  message->status = static_cast<std::uint16_t>(outcome->status);
  message->content_type = outcome->content_type;
  message->body = outcome->body;
  return message;
}

claim_outcome_ptr FromMessage(const outcome_pointer& message) {
  if (!message) {
    return nullptr;
  }
  return std::make_shared<const claim_outcome>(
      claim_outcome{message->status, message->content_type, message->body});
}

struct state_row {
  claim_result result;
  wire::claim_state state;
};

constexpr std::array<state_row, 4> kStates{{
    {claim_result::kWon, wire::claim_state::won},
    {claim_result::kHeld, wire::claim_state::running},
    {claim_result::kEnded, wire::claim_state::ended},
    {claim_result::kRefused, wire::claim_state::refused},
}};

wire::claim_state StateOf(claim_result result) {
  for (const auto& row : kStates) {
    if (row.result == result) {
      return row.state;
    }
  }
  return wire::claim_state::refused;
}

claim_result ResultOf(wire::claim_state state) {
  for (const auto& row : kStates) {
    if (row.state == state) {
      return row.result;
    }
  }
  return claim_result::kRefused;
}

}  // namespace

wire::claim_requestT ToMessage(const claim_attempt& attempt,
                               milliseconds wait) {
  wire::claim_requestT message;
  message.workspace = attempt.key.workspace;
  message.key = attempt.key.key;
  message.body_hash = attempt.body_hash;
  message.request_id = attempt.request;
  message.host = attempt.holder.name;
  message.incarnation = attempt.holder.incarnation;
  message.wait_ms = static_cast<std::uint32_t>(wait.count());
  return message;
}

claim_attempt FromMessage(const wire::claim_requestT& message) {
  return {{message.workspace, message.key},
          message.body_hash,
          message.request_id,
          {message.host, message.incarnation}};
}

wire::claim_replyT ToMessage(const claim_answer& answer) {
  wire::claim_replyT message;
  message.state = StateOf(answer.result);
  message.holder_host = answer.holder.name;
  message.holder_incarnation = answer.holder.incarnation;
  message.outcome = ToMessage(answer.outcome);
  message.error_kind = std::string(AnswerFor(answer.refusal).name);
  message.detail = answer.detail;
  return message;
}

claim_answer FromMessage(const wire::claim_replyT& message) {
  claim_answer answer;
  answer.result = ResultOf(message.state);
  answer.holder = {message.holder_host, message.holder_incarnation};
  answer.outcome = FromMessage(message.outcome);
  answer.refusal = ErrorKindNamed(message.error_kind)
                       .value_or(error_kind::kClaimUnavailable);
  answer.detail = message.detail;
  // The other host may have sent the claim to the log all the same.
  answer.may_be_claimed = answer.result == claim_result::kHeld ||
                          (answer.result == claim_result::kRefused &&
                           answer.refusal == error_kind::kClaimUnavailable);
  return answer;
}

wire::claim_endT ToMessage(const claim_ending& ending) {
  wire::claim_endT message;
  message.workspace = ending.key.workspace;
  message.key = ending.key.key;
  message.request_id = ending.request;
  message.released = ending.released;
  message.outcome = ToMessage(ending.outcome);
  return message;
}

claim_ending FromMessage(const wire::claim_endT& message) {
  claim_ending ending;
  ending.key = {message.workspace, message.key};
  ending.request = message.request_id;
  ending.released = message.released;
  ending.outcome = FromMessage(message.outcome);
  return ending;
}

wire::key_entryT ToMessage(const claim_table::row& row) {
  wire::key_entryT message;
  message.workspace = row.attempt.key.workspace;
  message.key = row.attempt.key.key;
  message.body_hash = row.attempt.body_hash;
  message.request_id = row.attempt.request;
  message.holder_host = row.attempt.holder.name;
  message.holder_incarnation = row.attempt.holder.incarnation;
  message.ended = row.ended;
  message.outcome = ToMessage(row.outcome);
  return message;
}

claim_table::row FromMessage(const wire::key_entryT& message) {
  claim_table::row row;
  row.attempt = {{message.workspace, message.key},
                 message.body_hash,
                 message.request_id,
                 {message.holder_host, message.holder_incarnation}};
  row.ended = message.ended;
  row.outcome = FromMessage(message.outcome);
  const auto key = ParseMintedKey(message.key);
  row.position = key ? key->number : 0;
  return row;
}

}  // namespace slatestall
