#include "slatestall/node/key_handover.h"

#include <utility>

#include "slatestall/node/claim_messages.h"

namespace slatestall {
namespace {

constexpr std::size_t kPartBytes = std::size_t{256}
                                   << 10U;  // Frames hold 1 MB.
constexpr std::size_t kEntryBytes = 200;
constexpr int kAttemptsPerPart = 3;

std::size_t BytesOf(const claim_table::row& row) {
  const std::size_t body =
      row.outcome == nullptr ? 0 : row.outcome->body.size();
  return kEntryBytes + row.attempt.key.key.size() + body;
}

wire::key_handoverT EmptyPart(const key_home_state& state,
                              std::uint32_t number) {
  wire::key_handoverT part;
  part.host = state.home.name;
  part.incarnation = state.home.incarnation;
  part.secret = state.secret;
  part.minted = state.minted;
  part.expired = state.expired;
  part.part = number;
  return part;
}

void AddParts(const key_home_state& state,
              std::vector<wire::key_handoverT>& parts) {
  std::uint32_t number = 0;
  std::size_t bytes = 0;
  parts.push_back(EmptyPart(state, number));
  for (const auto& row : state.rows) {
    if (bytes > kPartBytes) {
      ++number;
      bytes = 0;
      parts.push_back(EmptyPart(state, number));
    }
    bytes += BytesOf(row);
    auto& entries = parts.back().entries;
    entries.emplace_back(new wire::key_entryT(ToMessage(row)));
  }
  parts.back().last = true;
}

}  // namespace

key_handover::key_handover(outcome_peers peers, milliseconds timeout,
                           const std::vector<key_home_state>& states,
                           std::vector<std::string> candidates,
                           done_function done)
    : peers_(std::move(peers)),
      timeout_(timeout),
      candidates_(std::move(candidates)),
      done_(std::move(done)) {
  for (const auto& state : states) {
    AddParts(state, parts_);
  }
}

void key_handover::Start() {
  if (parts_.empty() || candidates_.empty()) {
    Finish(std::nullopt);
    return;
  }
  SendPart();
}

void key_handover::SendPart() {
  ++attempts_;
  peers_.call(candidates_[candidate_], AsUnion(parts_[part_]), timeout_,
              [self = shared_from_this()](const peer_reply& reply) {
                self->TakeReply(reply);
              });
}

void key_handover::TakeReply(const peer_reply& reply) {
  const auto* answer = reply.end == peer_call_end::kReplied
                           ? reply.body.Askey_handover_reply()
                           : nullptr;
  if (answer == nullptr && attempts_ < kAttemptsPerPart) {
    SendPart();
    return;
  }
  // A candidate that restarted meanwhile has lost the parts sent before.
  const bool restarted = answer != nullptr && incarnation_ != 0 &&
                         answer->incarnation != incarnation_;
  if (answer == nullptr || !answer->accepted || restarted) {
    TryNextCandidate();
    return;
  }
  incarnation_ = answer->incarnation;
  attempts_ = 0;
  ++part_;
  if (part_ == parts_.size()) {
    Finish(host_id{candidates_[candidate_], answer->incarnation});
    return;
  }
  SendPart();
}

void key_handover::TryNextCandidate() {
  attempts_ = 0;
  part_ = 0;
  incarnation_ = 0;
  ++candidate_;
  if (candidate_ == candidates_.size()) {
    Finish(std::nullopt);
    return;
  }
  SendPart();
}

void key_handover::Finish(std::optional<host_id> successor) {
  const done_function done = std::exchange(done_, nullptr);
  done(std::move(successor));
}

}  // namespace slatestall
