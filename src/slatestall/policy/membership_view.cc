#include "slatestall/policy/membership_view.h"

#include <algorithm>

namespace slatestall {
namespace {

// A host that fails to reach this many others, and reaches none, is more
// likely cut off itself than surrounded by dead hosts.
constexpr std::size_t kFailuresToDoubtOneself = 4;

bool MayAdmit(const member& known) {
  return known.state != member_state::kGone && !known.digest.drained;
}

}  // namespace

membership_view::membership_view(member_digest self, membership_options options,
                                 time_point now)
    : self_(self.host), options_(options) {
  member& own = members_[self_];
  own.digest = std::move(self);
  own.name_hash = static_cast<std::uint32_t>(StableHash(self_));
  own.heard_at = now;
  own.run_since = now;
  own.unlisted_at = now;
  Say(now);
}

const member& membership_view::Self() const { return members_.at(self_); }

member& membership_view::Own() { return members_.at(self_); }

void membership_view::Say(time_point now) {
  ++Own().digest.version.sequence;
  Own().heard_at = now;
  said_at_ = now;
}

void membership_view::UseList(const std::vector<listed_member>& list,
                              time_point now) {
  // The system's hosts are never all gone, for this one runs. An empty list is
  // a fault of the platform; taking it would give this host the whole of every
  // limit.
  if (list.empty()) {
    return;
  }
  std::set<std::string> names;
  for (const listed_member& line : list) {
    names.insert(line.host);
    const bool is_new = !members_.contains(line.host);
    member& known = members_[line.host];
    if (is_new) {
      known.digest.host = line.host;
      known.name_hash = static_cast<std::uint32_t>(StableHash(line.host));
      known.heard_at = now;
    }
    known.listed = true;
    known.list_says_leaving = line.leaving;
    if (line.host != self_ && (known.digest.peer_address.empty() ||
                               known.listed_address != line.peer_address)) {
      known.digest.peer_address = line.peer_address;
    }
    if (known.digest.failure_domain.empty()) {
      known.digest.failure_domain = line.failure_domain;
    }
    known.listed_address = line.peer_address;
  }
  for (auto& [host, known] : members_) {
    if (known.listed && !names.contains(host)) {
      known.listed = false;
      known.list_says_leaving = false;
      known.unlisted_at = now;
    }
  }
  Rejudge(now);
}

bool membership_view::TakeDigest(const member_digest& digest, time_point now) {
  if (digest.host.empty() || digest.version.sequence == 0) {
    return false;
  }
  if (digest.host == self_) {
    Outrun(digest.version, now);
    return false;
  }
  auto found = members_.find(digest.host);
  if (found == members_.end()) {
    if (members_.size() >= options_.max_remembered) {
      return false;
    }
    found = members_.try_emplace(digest.host).first;
    found->second.name_hash =
        static_cast<std::uint32_t>(StableHash(digest.host));
    found->second.unlisted_at = now;
  }
  member& known = found->second;
  if (digest.version <= known.digest.version) {
    return false;
  }
  Adopt(known, digest, now);
  known.state = Judge(known, now);
  return true;
}

void membership_view::Adopt(member& known, const member_digest& digest,
                            time_point now) {
  const bool new_run =
      known.digest.version.incarnation != digest.version.incarnation;
  member_digest adopted = digest;
  if (adopted.peer_address.empty()) {
    adopted.peer_address = known.digest.peer_address;
  }
  if (adopted.failure_domain.empty()) {
    adopted.failure_domain = known.digest.failure_domain;
  }
  if (!new_run && adopted.successor.empty()) {
    adopted.successor = known.digest.successor;
  }
  known.digest = std::move(adopted);
  known.suspected = false;
  known.heard_at = now;
  if (new_run) {
    known.run_since = now;
    known.contact_failures = 0;
    known.reachable = true;
  }
  if (known.digest.drained) {
    const host_id run{known.digest.host, known.digest.version.incarnation};
    drained_[run] = {known.digest.successor, now};
  }
}

// Someone holds a version of this host that is at least as new as its own: a
// former run whose clock was ahead. Unless this run passes it, nobody would
// take its word.
void membership_view::Outrun(const member_version& version, time_point now) {
  member_version& own = Own().digest.version;
  if (version <= own) {
    return;
  }
  own.generation = std::max(own.generation, version.generation);
  if (version.incarnation != own.incarnation) {
    own.generation = version.generation + 1;
  }
  own.sequence = std::max(own.sequence, version.sequence);
  Say(now);
}

bool membership_view::TakeSuspicion(const std::string& host,
                                    const member_version& version,
                                    time_point now) {
  const auto found = members_.find(host);
  if (found == members_.end()) {
    return false;
  }
  member& known = found->second;
  if (host == self_) {
    const bool stale = version < known.digest.version;
    if (!stale) {
      Outrun(version, now);
      Say(now);
    }
    return !stale;
  }
  if (known.suspected || version < known.digest.version) {
    return false;
  }
  known.suspected = true;
  known.state = Judge(known, now);
  return true;
}

void membership_view::HeardFrom(const std::string& host, time_point now) {
  const auto found = members_.find(host);
  if (found == members_.end()) {
    return;
  }
  member& known = found->second;
  known.suspected = false;
  known.heard_at = now;
  known.state = Judge(known, now);
}

void membership_view::ContactSucceeded(const std::string& host,
                                       time_point now) {
  failed_in_a_row_.clear();
  const auto found = members_.find(host);
  if (found != members_.end()) {
    found->second.contact_failures = 0;
    found->second.reachable = true;
    HeardFrom(host, now);
  }
}

bool membership_view::ContactFailed(const std::string& host, time_point now) {
  const auto found = members_.find(host);
  if (found == members_.end() || host == self_) {
    return false;
  }
  failed_in_a_row_.insert(host);
  member& known = found->second;
  ++known.contact_failures;
  if (known.contact_failures < options_.failures_to_suspect) {
    return false;
  }
  // Reported once for each stretch of failures: where only the way from here
  // is cut, the host refutes, and reporting it again and again would make it
  // flap for everyone.
  const bool report = known.reachable && !known.suspected && !DoubtsItself();
  known.reachable = false;
  known.retry_contact_at = now + options_.unreachable_pause;
  if (report) {
    known.suspected = true;
    known.state = Judge(known, now);
  }
  return report;
}

// A host that cannot get out, but still answers others, would otherwise call
// the whole fleet dead, one by one, and be believed.
bool membership_view::DoubtsItself() const {
  return failed_in_a_row_.size() >= kFailuresToDoubtOneself;
}

void membership_view::SetRevision(config_revision revision, time_point now) {
  if (Own().digest.revision != revision) {
    Own().digest.revision = revision;
    Say(now);
  }
}

void membership_view::SetDraining(time_point now) {
  if (!Own().digest.draining) {
    Own().digest.draining = true;
    Own().state = Judge(Own(), now);
    Say(now);
  }
}

void membership_view::SetDrained(const std::string& successor, time_point now) {
  Own().digest.draining = true;
  Own().digest.drained = true;
  Own().digest.successor = successor;
  Own().state = Judge(Own(), now);
  drained_[{self_, Own().digest.version.incarnation}] = {successor, now};
  Say(now);
}

void membership_view::Tick(time_point now) {
  if (now - said_at_ >= options_.heartbeat) {
    Say(now);
  }
  Rejudge(now);
  Forget(now);
}

void membership_view::Rejudge(time_point now) {
  for (auto& [host, known] : members_) {
    known.state = Judge(known, now);
  }
}

member_state membership_view::Judge(const member& known, time_point now) const {
  const bool draining = known.digest.draining || known.list_says_leaving;
  if (known.digest.host == self_) {
    return draining ? member_state::kDraining : member_state::kLive;
  }
  if (!known.listed) {
    const duration unlisted = now - known.unlisted_at;
    const duration unheard = now - known.heard_at;
    const bool in_doubt = known.suspected || !known.reachable || draining;
    if (known.digest.drained ||
        (in_doubt && unlisted > options_.unlisted_suspect_gone) ||
        (unlisted > options_.unlisted_unheard_gone &&
         unheard > options_.unlisted_unheard_gone)) {
      return member_state::kGone;
    }
  }
  if (draining) {
    return member_state::kDraining;
  }
  return known.suspected ? member_state::kSuspect : member_state::kLive;
}

void membership_view::Forget(time_point now) {
  std::erase_if(members_, [&](const auto& entry) {
    const member& known = entry.second;
    return known.state == member_state::kGone &&
           now - known.heard_at > options_.memory;
  });
  std::erase_if(drained_, [&](const auto& entry) {
    return now - entry.second.learned_at > options_.memory;
  });
}

const member* membership_view::Find(const std::string& host) const {
  const auto found = members_.find(host);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<std::string> membership_view::LiveHosts() const {
  std::vector<std::string> hosts;
  for (const auto& [host, known] : members_) {
    if (known.state == member_state::kLive) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::uint32_t membership_view::KnownHosts() const {
  const auto count =
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& entry) { return MayAdmit(entry.second); });
  return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(count, 1));
}

std::uint32_t membership_view::ReachableHosts() const {
  const auto count =
      std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
        return MayAdmit(entry.second) &&
               entry.second.state != member_state::kSuspect &&
               entry.second.reachable;
      });
  return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(count, 1));
}

bool membership_view::HasEnded(const host_id& host, time_point now) const {
  const member* known = Find(host.name);
  if (known == nullptr || known->digest.version.incarnation == 0) {
    return false;
  }
  if (known->digest.version.incarnation == host.incarnation) {
    return known->state == member_state::kGone;
  }
  // The run asked about may also be a later one that has not been heard of
  // yet; its word would arrive long before this time is over.
  return now - known->run_since > options_.run_settled;
}

std::optional<std::string> membership_view::SuccessorOf(
    const host_id& host) const {
  const auto found = drained_.find(host);
  if (found == drained_.end()) {
    return std::nullopt;
  }
  return found->second.successor;
}

}  // namespace slatestall
