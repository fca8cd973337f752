#include "slatestall/node/outcome_router.h"

#include <algorithm>
#include <utility>

#include "slatestall/node/claim_messages.h"
#include "slatestall/policy/claim_partition.h"
#include "slatestall/policy/key_text.h"

namespace slatestall {
namespace {

constexpr milliseconds kAvoidSilentWriter{2000};
constexpr milliseconds kAvoidColdWriter{1000};
constexpr milliseconds kLeastSlack{50};  // For the way there and back.
constexpr milliseconds kLongestWait{5000};
constexpr milliseconds kEndTimeout{4000};  // Endings are written behind.
constexpr int kMaxHandovers = 16;          // Of one key, followed in a row.

const char* const kHomeGone =
    "the host that minted the key is gone; the request may have run";

// Requests are named after the host they came to. Only that host may speak
// for them: a release from anybody else could free a key in use.
bool BelongsTo(const std::string& request, const std::string& host) {
  return request.size() > host.size() && request.starts_with(host) &&
         request[host.size()] == '.';
}

bool IsLookup(const claim_attempt& attempt) { return attempt.request.empty(); }

}  // namespace

outcome_router::outcome_router(const host_id& self,
                               const outcome_options& options,
                               std::shared_ptr<claim_log> log,
                               std::shared_ptr<key_directory> keys,
                               outcome_peers peers, now_function now)
    : self_(self),
      options_(options),
      log_(std::move(log)),
      keys_(std::move(keys)),
      peers_(std::move(peers)),
      now_(std::move(now)) {}

void outcome_router::Listen() {
  const auto weak = weak_from_this();
  peers_.handle(wire::message::claim_request,
                [weak](const auto& request, const auto& from, auto reply) {
                  const auto self = weak.lock();
                  const auto* message = request.Asclaim_request();
                  if (self != nullptr && message != nullptr) {
                    self->TakeClaim(*message, from, std::move(reply));
                  }
                });
  peers_.handle(wire::message::claim_end,
                [weak](const auto& request, const auto& from, auto reply) {
                  const auto self = weak.lock();
                  const auto* message = request.Asclaim_end();
                  if (self != nullptr && message != nullptr) {
                    self->TakeEnd(*message, from, std::move(reply));
                  }
                });
  peers_.handle(wire::message::key_handover,
                [weak](const auto& request, const auto& from, auto reply) {
                  (void)from;
                  const auto self = weak.lock();
                  const auto* message = request.Askey_handover();
                  if (self != nullptr && message != nullptr) {
                    self->TakeKeys(*message, std::move(reply));
                  }
                });
}

bool outcome_router::IsGone(const host_id& host) const {
  if (host.name == self_.name) {
    return host != self_;
  }
  return peers_.presence(host) == host_presence::kGone;
}

outcome_router::route outcome_router::RouteOf(const claim_key& key) const {
  route to;
  if (!LooksMinted(key.key)) {
    const std::string writer = WriterFor(key);
    const bool is_here = writer.empty() || writer == self_.name;
    to.at = is_here ? place::kLog : place::kPeer;
    to.peer = writer;
    return to;
  }
  const auto parsed = ParseMintedKey(key.key);
  if (!parsed) {
    to.at = place::kMalformed;
    return to;
  }
  return HomeRoute(parsed->home);
}

// Follows the handovers of drained hosts. What a drained host published is
// the only authority: a candidate that got the keys but was not named must
// not decide, since another one may have been named instead.
outcome_router::route outcome_router::HomeRoute(const host_id& home) const {
  route to;
  to.home = home;
  host_id at = home;
  for (int handovers = 0; handovers < kMaxHandovers; ++handovers) {
    std::optional<host_id> next;
    if (at == self_) {
      next = successor_;
    } else if (const auto named = peers_.successor(at)) {
      next = ParseHostText(*named);
    }
    if (!next) {
      break;
    }
    at = *next;
  }
  if (at == self_) {
    to.at = keys_->Holds(home) ? place::kHome : place::kGone;
    return to;
  }
  to.at = IsGone(at) ? place::kGone : place::kPeer;
  to.peer = at.name;
  return to;
}

std::vector<std::string> outcome_router::UsableHosts() const {
  std::vector<std::string> hosts = peers_.live_hosts();
  const time_point now = now_();
  std::erase_if(hosts, [&](const std::string& host) {
    const auto found = avoid_.find(host);
    return found != avoid_.end() && now < found->second;
  });
  return hosts;
}

// The first host by rendezvous, or the second while the first one still reads
// the log: it may have just started, and the second has followed all along.
std::string outcome_router::WriterFor(const claim_key& key) const {
  const std::uint32_t partition =
      PartitionOf(key, std::max(options_.claim_partitions, 1U));
  std::vector<std::string> hosts = UsableHosts();
  std::string first = WriterOf(partition, hosts);
  if (first.empty() || !IsCold(first, key)) {
    return first;
  }
  std::erase(hosts, first);
  const std::string second = WriterOf(partition, hosts);
  return second.empty() || IsCold(second, key) ? first : second;
}

bool outcome_router::IsCold(const std::string& writer,
                            const claim_key& key) const {
  if (writer == self_.name) {
    return !log_->IsReady(key);
  }
  const auto found = cold_.find(writer);
  return found != cold_.end() && now_() < found->second;
}

void outcome_router::Tend() {
  const std::vector<std::string> hosts = UsableHosts();
  for (std::uint32_t at = 0; at < options_.claim_partitions; ++at) {
    std::vector<std::string> others = hosts;
    const std::string first = WriterOf(at, hosts);
    std::erase(others, first);
    if (first == self_.name) {
      log_->Tend(at);
    } else if (WriterOf(at, others) == self_.name) {
      log_->Follow(at);
    }
  }
}

void outcome_router::Claim(const claim_attempt& attempt, milliseconds wait,
                           const answer_function& done) {
  Ask(attempt, wait, done);
}

void outcome_router::Find(const claim_key& key, milliseconds wait,
                          const answer_function& done) {
  claim_attempt question;
  question.key = key;
  question.holder = self_;
  Ask(question, wait, done);
}

void outcome_router::Ask(const claim_attempt& attempt, milliseconds wait,
                         const answer_function& done) {
  // Others could decide about the key; but a host with a wrong setting is to be
  // seen, not to be carried by the rest.
  if (const std::string conflict = log_->Conflict();
      !conflict.empty() && !LooksMinted(attempt.key.key)) {
    done(RefusedClaim(error_kind::kClaimUnavailable, conflict));
    return;
  }
  const route to = RouteOf(attempt.key);
  switch (to.at) {
    case place::kHome:
    case place::kLog:
      AskHere(to, attempt, wait, done);
      return;
    case place::kPeer:
      AskPeer(to.peer, attempt, wait, done);
      return;
    case place::kGone:
      done(RefusedClaim(error_kind::kOutcomeUnknown, kHomeGone));
      return;
    case place::kMalformed:
      done(RefusedClaim(error_kind::kInvalidRequest,
                        "keys that begin with \"h1.\" are minted by hosts; "
                        "this one is malformed"));
      return;
  }
}

void outcome_router::AskHere(const route& to, const claim_attempt& attempt,
                             milliseconds wait, const answer_function& done) {
  const bool only_looks = IsLookup(attempt);
  if (to.at == place::kLog && only_looks) {
    log_->Find(attempt, wait, done);
  } else if (to.at == place::kLog) {
    log_->Claim(attempt, wait, done);
  } else if (only_looks) {
    done(keys_->Find(to.home, attempt, now_()));
  } else {
    done(keys_->Claim(to.home, attempt, now_()));
  }
}

void outcome_router::AskPeer(const std::string& peer,
                             const claim_attempt& attempt, milliseconds wait,
                             const answer_function& done) {
  ++peer_claims_;
  const bool is_minted = LooksMinted(attempt.key.key);
  // A silent writer has to be noticed while there is time for another one.
  const milliseconds slack =
      std::min(options_.peer_timeout, std::max(wait, kLeastSlack));
  peers_.call(
      peer, AsUnion(ToMessage(attempt, wait)), wait + slack,
      [weak = weak_from_this(), peer, is_minted, done](const auto& reply) {
        const auto* message = reply.end == peer_call_end::kReplied
                                  ? reply.body.Asclaim_reply()
                                  : nullptr;
        const auto self = weak.lock();
        if (message != nullptr) {
          claim_answer told = FromMessage(*message);
          const bool is_cold = told.result == claim_result::kRefused &&
                               told.refusal == error_kind::kOverloaded;
          if (is_cold && self != nullptr) {
            told.refusal = error_kind::kClaimUnavailable;
            self->cold_[peer] = self->now_() + kAvoidColdWriter;
          }
          done(told);
          return;
        }
        // Any host may write a partition, so a silent writer is passed over
        // for a while; a home cannot be replaced.
        if (self != nullptr && !is_minted) {
          self->avoid_[peer] = self->now_() + kAvoidSilentWriter;
        }
        claim_answer answer = RefusedClaim(
            error_kind::kClaimUnavailable,
            "host " + peer + ", which decides about the key, did not answer");
        answer.may_be_claimed = reply.end != peer_call_end::kNotSent;
        done(answer);
      });
}

void outcome_router::End(const claim_ending& ending,
                         const stored_function& done) {
  const route to = RouteOf(ending.key);
  switch (to.at) {
    case place::kHome:
      done(keys_->End(to.home, ending));
      return;
    case place::kLog:
      log_->End(ending, [done] { done(true); });
      return;
    case place::kPeer:
      EndAtPeer(to.peer, ending, done);
      return;
    // The list of hosts may be wrong about the home. A release given up then
    // would leave its key held for good, so it is tried again later.
    case place::kGone:
      done(false);
      return;
    case place::kMalformed:
      done(true);
      return;
  }
}

void outcome_router::EndAtPeer(const std::string& peer,
                               const claim_ending& ending,
                               const stored_function& done) {
  peers_.call(peer, AsUnion(ToMessage(ending)), kEndTimeout,
              [weak = weak_from_this(), peer, done](const auto& reply) {
                const auto self = weak.lock();
                if (self != nullptr && reply.end == peer_call_end::kNotSent) {
                  self->avoid_[peer] = self->now_() + kAvoidSilentWriter;
                }
                const auto* message = reply.end == peer_call_end::kReplied
                                          ? reply.body.Asclaim_end_reply()
                                          : nullptr;
                done(message != nullptr && message->stored);
              });
}

void outcome_router::TakeClaim(const wire::claim_requestT& request,
                               const std::string& from,
                               const reply_function& reply) {
  const claim_attempt attempt = FromMessage(request);
  const auto answer = [reply](const claim_answer& told) {
    reply(AsUnion(ToMessage(told)));
  };
  const bool is_theirs =
      IsLookup(attempt) ||
      (BelongsTo(attempt.request, from) && attempt.holder.name == from);
  if (!is_theirs) {
    answer(RefusedClaim(error_kind::kInvalidRequest,
                        "the request does not belong to the asking host"));
    return;
  }
  const milliseconds wait =
      std::min(milliseconds{request.wait_ms}, kLongestWait);
  const auto minted = ParseMintedKey(attempt.key.key);
  if (!minted && LooksMinted(attempt.key.key)) {
    answer(RefusedClaim(error_kind::kInvalidRequest, "malformed key"));
    return;
  }
  if (!minted && !IsLookup(attempt) && !log_->IsReady(attempt.key)) {
    answer(RefusedClaim(error_kind::kOverloaded, "still reading the log"));
    return;
  }
  if (!minted) {
    AskHere({place::kLog, {}, {}}, attempt, wait, answer);
    return;
  }
  if (!keys_->Holds(minted->home)) {
    answer(RefusedClaim(error_kind::kClaimUnavailable,
                        "host " + self_.name + " does not hold the key"));
    return;
  }
  // Once the keys were handed over `Claim` refuses; the asking host learns
  // the successor from the digest and goes there.
  AskHere({place::kHome, minted->home, {}}, attempt, wait, answer);
}

void outcome_router::TakeEnd(const wire::claim_endT& message,
                             const std::string& from,
                             const reply_function& reply) {
  const auto answer = [reply](bool stored) {
    wire::claim_end_replyT told;
    told.stored = stored;
    reply(AsUnion(told));
  };
  const claim_ending ending = FromMessage(message);
  const auto minted = ParseMintedKey(ending.key.key);
  if (!BelongsTo(ending.request, from)) {
    answer(false);
    return;
  }
  if (minted) {
    answer(keys_->End(minted->home, ending));
    return;
  }
  log_->End(ending, [answer] { answer(true); });
}

void outcome_router::TakeKeys(const wire::key_handoverT& part,
                              const reply_function& reply) {
  wire::key_handover_replyT told;
  told.accepted = keys_->TakeOver(part, now_());
  told.incarnation = self_.incarnation;
  reply(AsUnion(told));
}

}  // namespace slatestall
