// How a gossip_exchange builds its messages.
#include <algorithm>
#include <bit>
#include <memory>

#include "slatestall/peer/gossip_exchange.h"

namespace slatestall {
namespace {

// Hosts in one part that a sum is over. A mismatch costs that many marks; with
// more parts, going once through all of them takes more rounds.
constexpr std::uint32_t kHostsPerBucket = 6;
constexpr std::uint32_t kMaxBuckets = 4096;

std::uint64_t Mix(std::uint64_t hash, std::uint64_t value) {
  hash ^= value;
  hash *= 0x9e3779b97f4a7c15U;
  return hash ^ (hash >> 32U);
}

std::uint64_t SumOf(std::uint32_t host, const member& known) {
  const member_version& version = known.digest.version;
  std::uint64_t hash = Mix(host, version.incarnation);
  hash = Mix(hash, version.generation);
  hash = Mix(hash, version.sequence);
  return Mix(hash, known.suspected ? 1 : 0);
}

// Hosts judge a host gone at different moments, so gone ones would make the
// sums differ without end. Drained ones stay: a newcomer has to learn who has
// their keys.
bool IsCompared(const member& known) {
  return known.digest.version.sequence != 0 &&
         (known.state != member_state::kGone || known.digest.drained);
}

std::unique_ptr<wire::host_digestT> ToWire(const member_digest& digest) {
  auto wire = std::make_unique<wire::host_digestT>();
  wire->host = digest.host;
  wire->incarnation = digest.version.incarnation;
  wire->generation = digest.version.generation;
  wire->sequence = digest.version.sequence;
  wire->peer_address = digest.peer_address;
  wire->failure_domain = digest.failure_domain;
  wire->config_revision = digest.revision;
  wire->draining = digest.draining;
  wire->drained = digest.drained;
  wire->successor = digest.successor;
  return wire;
}

template <typename Key, typename Rumor>
std::vector<Key> FreshestFirst(const std::map<Key, Rumor>& rumors) {
  std::vector<std::pair<int, Key>> order;
  order.reserve(rumors.size());
  for (const auto& [key, rumor] : rumors) {
    order.emplace_back(-rumor.sends_left, key);
  }
  std::sort(order.begin(), order.end());
  std::vector<Key> keys;
  keys.reserve(order.size());
  for (auto& [sends, key] : order) {
    keys.push_back(std::move(key));
  }
  return keys;
}

}  // namespace

std::uint32_t gossip_exchange::ShortHash(const std::string& host) {
  return static_cast<std::uint32_t>(StableHash(host));
}

void gossip_exchange::LearnNames() {
  if (names_known_ == view_.Members().size()) {
    return;
  }
  names_known_ = view_.Members().size();
  names_.clear();
  for (const auto& [host, known] : view_.Members()) {
    const auto [entry, is_new] = names_.try_emplace(ShortHash(host), host);
    if (!is_new) {
      entry->second.clear();
    }
  }
}

const std::string* gossip_exchange::NameOf(std::uint32_t hash) {
  const auto found = names_.find(hash);
  const bool known = found != names_.end() && !found->second.empty();
  return known ? &found->second : nullptr;
}

// A mark is understood only by who has the host's texts from the list, and
// says nothing of draining.
bool gossip_exchange::NeedsTexts(const member& known) const {
  if (!known.listed || known.digest.draining ||
      known.digest.peer_address != known.listed_address) {
    return true;
  }
  const auto name = names_.find(ShortHash(known.digest.host));
  return name == names_.end() || name->second.empty();
}

wire::gossipT gossip_exchange::NewMessage(time_point now) {
  NoteOwnChanges(now);
  LearnNames();
  wire::gossipT message;
  message.config_head = head_;
  message.notice_sum = NoticeSum();
  AddMember(message, announced_.host);
  return message;
}

wire::gossipT gossip_exchange::MakeRequest(time_point now) {
  wire::gossipT message = NewMessage(now);
  AddRumors(message, now);
  const auto hosts = static_cast<std::uint32_t>(view_.Members().size());
  const std::uint32_t count =
      std::clamp(std::bit_ceil(hosts / kHostsPerBucket), 1U, kMaxBuckets);
  const auto bucket = static_cast<std::uint32_t>(Random() % count);
  message.bucket = static_cast<std::uint16_t>(bucket);
  message.bucket_count = static_cast<std::uint16_t>(count);
  message.bucket_sum = BucketSum(bucket, count);
  return message;
}

void gossip_exchange::AddRumors(wire::gossipT& message, time_point now) {
  for (const std::string& host : FreshestFirst(host_rumors_)) {
    rumor& sent = host_rumors_.at(host);
    if (message.marks.size() >= options_.max_marks ||
        message.digests.size() >= options_.max_digests) {
      if (sent.urgent) {
        HurryUp(now);
      }
      continue;
    }
    AddMember(message, host);
    sent.urgent = false;
    if (--sent.sends_left <= 0) {
      host_rumors_.erase(host);
    }
  }
  for (const notice_key& key : FreshestFirst(notice_rumors_)) {
    if (message.notices.size() >= options_.max_notices) {
      HurryUp(now);
      break;
    }
    AddNotice(message, key, now);
    rumor& sent = notice_rumors_.at(key);
    sent.urgent = false;
    if (--sent.sends_left <= 0) {
      notice_rumors_.erase(key);
    }
  }
}

void gossip_exchange::AddMember(wire::gossipT& message,
                                const std::string& host) const {
  const member* known = view_.Find(host);
  if (known == nullptr || known->digest.version.sequence == 0) {
    return;
  }
  const std::uint32_t hash = ShortHash(host);
  for (const wire::host_mark& mark : message.marks) {
    if (mark.host() == hash) {
      return;
    }
  }
  const bool texts = NeedsTexts(*known);
  for (const auto& digest : message.digests) {
    if (digest->host == host) {
      return;
    }
  }
  if (texts) {
    message.digests.push_back(ToWire(known->digest));
  }
  if (!texts || known->suspected) {
    const member_version& version = known->digest.version;
    message.marks.emplace_back(version.incarnation, known->digest.revision,
                               hash, version.generation, version.sequence,
                               known->suspected);
  }
}

void gossip_exchange::AddNotice(wire::gossipT& message, const notice_key& key,
                                time_point now) const {
  const auto found = notices_.find(key);
  if (found == notices_.end()) {
    return;
  }
  auto wire = std::make_unique<wire::endpoint_noticeT>();
  wire->address = key.first;
  wire->kind = key.second;
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - found->second);
  wire->age_ms =
      static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0));
  message.notices.push_back(std::move(wire));
}

void gossip_exchange::AddBucket(wire::gossipT& message,
                                const wire::gossipT& request) const {
  const std::uint32_t count = request.bucket_count;
  if (count == 0 || request.bucket >= count ||
      BucketSum(request.bucket, count) == request.bucket_sum) {
    return;
  }
  for (const auto& [host, known] : view_.Members()) {
    if (message.marks.size() >= options_.max_marks ||
        message.digests.size() >= options_.max_digests) {
      return;
    }
    if (IsCompared(known) && ShortHash(host) % count == request.bucket) {
      AddMember(message, host);
    }
  }
}

void gossip_exchange::AddAllNotices(wire::gossipT& message,
                                    time_point now) const {
  message.notices.clear();
  for (const auto& [key, seen_at] : notices_) {
    if (message.notices.size() >= options_.max_notices) {
      return;
    }
    AddNotice(message, key, now);
  }
}

std::uint64_t gossip_exchange::BucketSum(std::uint32_t bucket,
                                         std::uint32_t count) const {
  std::uint64_t sum = 0;
  for (const auto& [host, known] : view_.Members()) {
    const std::uint32_t hash = ShortHash(host);
    if (hash % count == bucket && IsCompared(known)) {
      sum += SumOf(hash, known);
    }
  }
  return sum;
}

std::uint64_t gossip_exchange::NoticeSum() const {
  std::uint64_t sum = 0;
  for (const auto& [key, seen_at] : notices_) {
    sum += StableHash(key.first, static_cast<std::uint64_t>(key.second) + 1);
  }
  return sum;
}

}  // namespace slatestall
