// Merging of messages and choice of targets; see gossip_messages.cc for how
// messages are built.
#include "slatestall/peer/gossip_exchange.h"

#include <algorithm>

namespace slatestall {
namespace {

constexpr std::size_t kMaxNameBytes = 255;
// One round in this many also tries a host held for unreachable, so that a
// healed partition is found by those who are in it.
constexpr std::uint64_t kRoundsToProbeSuspects = 4;

bool IsSane(const wire::host_digestT& digest) {
  return !digest.host.empty() && digest.host.size() <= kMaxNameBytes &&
         digest.peer_address.size() <= kMaxNameBytes &&
         digest.failure_domain.size() <= kMaxNameBytes &&
         digest.successor.size() <= kMaxNameBytes && digest.incarnation != 0;
}

member_digest FromWire(const wire::host_digestT& wire) {
  member_digest digest;
  digest.host = wire.host;
  digest.version = {wire.generation, wire.incarnation, wire.sequence};
  digest.peer_address = wire.peer_address;
  digest.failure_domain = wire.failure_domain;
  digest.revision = wire.config_revision;
  digest.draining = wire.draining;
  digest.drained = wire.drained;
  digest.successor = wire.successor;
  return digest;
}

bool CanBeTried(const member& known, time_point now) {
  return known.state != member_state::kGone &&
         !known.digest.peer_address.empty() &&
         (known.reachable || now >= known.retry_contact_at);
}

}  // namespace

gossip_exchange::gossip_exchange(membership_view& view, gossip_options options,
                                 time_point now)
    : view_(view),
      options_(options),
      next_round_(now),
      random_state_(options.seed) {}

time_point gossip_exchange::DueAt() const {
  return std::min(next_round_, urgent_at_);
}

void gossip_exchange::HurryUp(time_point now) {
  urgent_at_ = std::min(urgent_at_, now + options_.urgent_delay);
}

void gossip_exchange::StartRumor(const std::string& host, bool urgent,
                                 time_point now) {
  host_rumors_[host] = {options_.rumor_sends, urgent};
  ++changes_;
  if (urgent) {
    HurryUp(now);
  }
}

// Hearing news again shows that it has spread; passing it on as often as at
// first would mostly reach hosts that know it.
void gossip_exchange::HeardAgain(const std::string& host) {
  const auto found = host_rumors_.find(host);
  if (found != host_rumors_.end() && --found->second.sends_left <= 0) {
    host_rumors_.erase(found);
  }
}

void gossip_exchange::UseRevision(config_revision revision, time_point now) {
  in_force_ = revision;
  NoteHead(revision, now);
  NoteOwnChanges(now);
}

// A word of each of 390 hosts on each revision is 71 KB a host; at a change
// every 36 s, as much as all else that hosts tell each other. Nobody waits for
// it (who must know asks the host), and each host says something every two
// minutes in any case.
void gossip_exchange::SayRevision(time_point now) {
  const member_digest& own = view_.Self().digest;
  const bool speaks_anyway = own.version != announced_.version;
  if (in_force_ != 0 && (speaks_anyway || own.revision == 0)) {
    view_.SetRevision(in_force_, now);
  }
}

void gossip_exchange::NoteOwnChanges(time_point now) {
  SayRevision(now);
  const member_digest& own = view_.Self().digest;
  if (own.version == announced_.version) {
    return;
  }
  const bool urgent =
      own.draining != announced_.draining || own.drained != announced_.drained;
  announced_ = own;
  head_ = std::max(head_, own.revision);
  StartRumor(own.host, urgent, now);
}

void gossip_exchange::NoteHead(config_revision revision, time_point now) {
  if (revision > head_) {
    head_ = revision;
    ++changes_;
    HurryUp(now);
  }
}

void gossip_exchange::NoteEndpoint(const std::string& address,
                                   wire::notice_kind kind, time_point now) {
  const notice_key key{address, kind};
  const auto found = notices_.find(key);
  // An endpoint that leaves is seen leaving by every host that calls it, again
  // and again; only the first of these is news.
  const bool news = found == notices_.end() ||
                    now - found->second > options_.notice_lifetime / 2;
  if (found == notices_.end() &&
      notices_.size() >= options_.max_known_notices) {
    return;
  }
  notices_[key] = now;
  if (news) {
    notice_rumors_[key] = {options_.rumor_sends, true};
    ++changes_;
    HurryUp(now);
  }
}

void gossip_exchange::TakeNotices(const wire::gossipT& message,
                                  time_point now) {
  for (const auto& wire : message.notices) {
    const milliseconds age(wire->age_ms);
    if (wire->address.empty() || wire->address.size() > kMaxNameBytes ||
        age >= options_.notice_lifetime) {
      continue;
    }
    const notice_key key{wire->address, wire->kind};
    const time_point seen_at = now - age;
    const auto found = notices_.find(key);
    if (found == notices_.end()) {
      NoteEndpoint(wire->address, wire->kind, seen_at);
      HurryUp(now);
      continue;
    }
    found->second = std::max(found->second, seen_at);
    const auto rumor = notice_rumors_.find(key);
    if (rumor != notice_rumors_.end() && --rumor->second.sends_left <= 0) {
      notice_rumors_.erase(rumor);
    }
  }
}

void gossip_exchange::TakeWord(const member_digest& digest, time_point now,
                               std::vector<std::string>* stale) {
  const member* known = view_.Find(digest.host);
  const bool was_suspected = known != nullptr && known->suspected;
  if (view_.TakeDigest(digest, now)) {
    const bool urgent = was_suspected || digest.draining;
    StartRumor(digest.host, urgent, now);
    NoteHead(digest.revision, now);
    return;
  }
  known = view_.Find(digest.host);
  if (known == nullptr) {
    return;
  }
  if (digest.version < known->digest.version) {
    stale->push_back(digest.host);
  } else {
    HeardAgain(digest.host);
  }
}

void gossip_exchange::TakeSuspicion(const std::string& host,
                                    const member_version& version,
                                    time_point now,
                                    std::vector<std::string>* stale) {
  const member* known = view_.Find(host);
  if (known == nullptr) {
    return;
  }
  if (view_.TakeSuspicion(host, version, now)) {
    StartRumor(host, true, now);
    announced_ = view_.Self().digest;
  } else if (version < known->digest.version) {
    stale->push_back(host);
  } else {
    HeardAgain(host);
  }
}

void gossip_exchange::TakeDigests(const wire::gossipT& message, time_point now,
                                  std::vector<std::string>* stale) {
  for (const auto& wire : message.digests) {
    if (IsSane(*wire)) {
      TakeWord(FromWire(*wire), now, stale);
    }
  }
}

void gossip_exchange::TakeMarks(const wire::gossipT& message, time_point now,
                                std::vector<std::string>* stale) {
  LearnNames();
  for (const wire::host_mark& mark : message.marks) {
    const std::string* name = NameOf(mark.host());
    if (name == nullptr || mark.incarnation() == 0) {
      continue;
    }
    member_digest digest;
    digest.host = *name;
    digest.version = {mark.generation(), mark.incarnation(), mark.sequence()};
    digest.revision = mark.config_revision();
    if (!mark.suspected()) {
      TakeWord(digest, now, stale);
      continue;
    }
    // A suspicion is not a word of the host itself, yet it carries one.
    if (view_.TakeDigest(digest, now)) {
      StartRumor(digest.host, true, now);
    }
    TakeSuspicion(digest.host, digest.version, now, stale);
  }
}

wire::gossipT gossip_exchange::TakeRequest(const wire::gossipT& request,
                                           const std::string& from,
                                           time_point now) {
  const member* sender = view_.Find(from);
  const bool sender_was_suspected = sender != nullptr && sender->suspected;
  std::vector<std::string> stale;
  TakeDigests(request, now, &stale);
  TakeMarks(request, now, &stale);
  TakeNotices(request, now);
  NoteHead(request.config_head, now);

  wire::gossipT reply = NewMessage(now);
  if (sender_was_suspected) {
    // Told so that it can refute; the suspicion may have reached many others.
    AddMember(reply, from, now);
  }
  view_.HeardFrom(from, now);
  for (const std::string& host : stale) {
    AddMember(reply, host, now);
  }
  AddRumors(reply, &request, now);
  AddMissing(reply, request, now);
  return reply;
}

void gossip_exchange::TakeReply(const wire::gossipT& reply,
                                const std::string& from, time_point now) {
  view_.ContactSucceeded(from, now);
  std::vector<std::string> stale;
  TakeDigests(reply, now, &stale);
  TakeMarks(reply, now, &stale);
  TakeNotices(reply, now);
  NoteHead(reply.config_head, now);
  for (const std::string& host : stale) {
    host_rumors_.try_emplace(host, rumor{1, false});
  }
}

void gossip_exchange::ExchangeFailed(const std::string& target,
                                     time_point now) {
  if (view_.ContactFailed(target, now)) {
    StartRumor(target, true, now);
  }
}

void gossip_exchange::Tick(time_point now) {
  names_known_ = 0;  // Hosts may have come and gone in equal number.
  std::erase_if(notices_, [&](const auto& entry) {
    return now - entry.second > options_.notice_lifetime;
  });
  std::erase_if(notice_rumors_, [&](const auto& entry) {
    return !notices_.contains(entry.first);
  });
  std::erase_if(host_rumors_, [&](const auto& entry) {
    return view_.Find(entry.first) == nullptr;
  });
}

std::vector<endpoint_observation> gossip_exchange::Notices() const {
  std::vector<endpoint_observation> observations;
  observations.reserve(notices_.size());
  for (const auto& [key, seen_at] : notices_) {
    observations.push_back({key.first, key.second, seen_at});
  }
  return observations;
}

// splitmix64: the same seed gives the same choices on every platform.
std::uint64_t gossip_exchange::Random() {
  random_state_ += 0x9e3779b97f4a7c15U;
  std::uint64_t mixed = random_state_;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31U);
}

void gossip_exchange::AddTarget(std::vector<std::string>& targets,
                                std::vector<std::string>& candidates) {
  while (!candidates.empty()) {
    std::swap(candidates[Random() % candidates.size()], candidates.back());
    const std::string chosen = std::move(candidates.back());
    candidates.pop_back();
    if (std::find(targets.begin(), targets.end(), chosen) == targets.end()) {
      targets.push_back(chosen);
      return;
    }
  }
}

std::vector<std::string> gossip_exchange::TakeTargets(time_point now) {
  NoteOwnChanges(now);
  if (now < DueAt()) {
    return {};
  }
  if (now >= next_round_) {
    next_round_ = now + options_.round;
    ++rounds_;
    urgent_at_ = time_point::max();
    return RoundTargets(now);
  }
  urgent_at_ = time_point::max();
  std::vector<std::string> candidates;
  for (const auto& [host, known] : view_.Members()) {
    if (host != announced_.host && CanBeTried(known, now) && !known.suspected) {
      candidates.push_back(host);
    }
  }
  std::vector<std::string> targets;
  for (std::size_t i = 0; i < options_.urgent_fanout; ++i) {
    AddTarget(targets, candidates);
  }
  return targets;
}

std::vector<std::string> gossip_exchange::RoundTargets(time_point now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  std::vector<std::string> suspects;
  std::vector<std::string> targets;
  for (const auto& [host, known] : view_.Members()) {
    if (host == announced_.host || !CanBeTried(known, now)) {
      continue;
    }
    if (known.suspected || !known.reachable) {
      suspects.push_back(host);
    } else if (known.contact_failures > 0) {
      targets.push_back(host);  // One failure proves little; ask again.
    } else if (known.digest.failure_domain == announced_.failure_domain) {
      near.push_back(host);
    } else {
      far.push_back(host);
    }
  }
  AddTarget(targets, near);
  for (std::size_t i = 1; i < options_.fanout; ++i) {
    AddTarget(targets, far.empty() ? near : far);
  }
  if (rounds_ % kRoundsToProbeSuspects == 0) {
    AddTarget(targets, suspects);
  }
  return targets;
}

}  // namespace slatestall
