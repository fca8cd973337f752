// How a gossip_exchange builds its messages.
#include <algorithm>
#include <bit>
#include <memory>

#include "slatestall/peer/gossip_exchange.h"

namespace slatestall {
namespace {

// A difference in one bucket costs about this many entries; smaller buckets
// take more requests to go through.
constexpr std::uint32_t kEntriesPerBucket = 6;
constexpr std::chrono::seconds kListLag{30};
constexpr std::uint32_t kMaxBuckets = 4096;
constexpr std::uint32_t kBucketsPerMessage = 16;

std::uint64_t Mix(std::uint64_t hash, std::uint64_t value) {
  hash ^= value;
  hash *= 0x9e3779b97f4a7c15U;
  return hash ^ (hash >> 32U);
}

std::uint64_t SumOf(const member& known) {
  const member_version& version = known.digest.version;
  std::uint64_t hash = Mix(known.name_hash, version.incarnation);
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

bool IsReadable(const wire::bucket_sumsT* sums) {
  return sums != nullptr && sums->count > 0 && sums->first < sums->count &&
         sums->sums.size() <= sums->count;
}

/// The sum that is over the bucket of `hash`; null where none is.
std::uint32_t* SumFor(wire::bucket_sumsT& sums, std::uint64_t hash) {
  const std::uint64_t bucket = hash % sums.count;
  const std::uint64_t offset = (bucket + sums.count - sums.first) % sums.count;
  return offset < sums.sums.size() ? &sums.sums[offset] : nullptr;
}

void AddToSum(wire::bucket_sumsT& sums, std::uint64_t hash,
              std::uint64_t value) {
  if (std::uint32_t* sum = SumFor(sums, hash)) {
    *sum += static_cast<std::uint32_t>(value);
  }
}

void Negate(wire::bucket_sumsT& sums) {
  for (std::uint32_t& sum : sums.sums) {
    sum = 0 - sum;
  }
}

/// Whether the bucket of `hash` has a sum that is not 0.
bool Covers(wire::bucket_sumsT& sums, std::uint64_t hash) {
  const std::uint32_t* sum = SumFor(sums, hash);
  return sum != nullptr && *sum != 0;
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

void gossip_exchange::LearnNames() {
  if (names_known_ == view_.Members().size()) {
    return;
  }
  names_known_ = view_.Members().size();
  names_.clear();
  for (const auto& [host, known] : view_.Members()) {
    const auto [entry, is_new] = names_.try_emplace(known.name_hash, host);
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

// A mark is understood only by who has the host's texts from the list, which a
// new run may not be on yet everywhere, and says nothing of draining.
bool gossip_exchange::NeedsTexts(const member& known, time_point now) const {
  const bool is_self = known.digest.host == announced_.host;
  if (is_self && now - known.run_since < kListLag) {
    return true;
  }
  if (!known.listed || known.digest.draining ||
      known.digest.peer_address != known.listed_address) {
    return true;
  }
  const auto name = names_.find(known.name_hash);
  return name == names_.end() || name->second.empty();
}

wire::gossipT gossip_exchange::NewMessage(time_point now) {
  NoteOwnChanges(now);
  LearnNames();
  wire::gossipT message;
  message.config_head = head_;

  AddMember(message, announced_.host, now);
  return message;
}

wire::gossipT gossip_exchange::MakeRequest(time_point now) {
  wire::gossipT message = NewMessage(now);
  AddRumors(message, nullptr, now);
  message.host_sums = NewSums(view_.Members().size());
  AddHostSums(*message.host_sums);
  message.notice_sums = NewSums(notices_.size());
  AddNoticeSums(*message.notice_sums);
  return message;
}

std::unique_ptr<wire::bucket_sumsT> gossip_exchange::NewSums(
    std::size_t entries) {
  const std::uint32_t count = std::bit_ceil(
      std::clamp(static_cast<std::uint32_t>(entries) / kEntriesPerBucket, 1U,
                 kMaxBuckets));
  auto sums = std::make_unique<wire::bucket_sumsT>();
  sums->count = static_cast<std::uint16_t>(count);
  sums->first = static_cast<std::uint16_t>(Random() % count);
  sums->sums.resize(std::min(count, kBucketsPerMessage));
  return sums;
}

// What the request has just told is not told back: the asker would take it for
// a sign that the news has spread, and stop too early.
void gossip_exchange::AddRumors(wire::gossipT& message,
                                const wire::gossipT* request, time_point now) {
  for (const std::string& host : FreshestFirst(host_rumors_)) {
    rumor& sent = host_rumors_.at(host);
    if (request != nullptr && Tells(*request, host)) {
      continue;
    }
    if (message.marks.size() >= options_.max_marks ||
        message.digests.size() >= options_.max_digests) {
      if (sent.urgent) {
        HurryUp(now);
      }
      continue;
    }
    AddMember(message, host, now);
    sent.urgent = false;
    if (--sent.sends_left <= 0) {
      host_rumors_.erase(host);
    }
  }
  for (const notice_key& key : FreshestFirst(notice_rumors_)) {
    if (request != nullptr && Tells(*request, key)) {
      continue;
    }
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

bool gossip_exchange::Tells(const wire::gossipT& message,
                            const std::string& host) const {
  const member* known = view_.Find(host);
  if (known == nullptr) {
    return false;
  }
  const member_version& version = known->digest.version;
  const auto same_mark = [&](const wire::host_mark& mark) {
    return mark.host() == known->name_hash &&
           mark.suspected() == known->suspected &&
           mark.sequence() == version.sequence &&
           mark.incarnation() == version.incarnation;
  };
  const auto same_digest = [&](const auto& digest) {
    return digest->host == host && digest->sequence == version.sequence &&
           digest->incarnation == version.incarnation && !known->suspected;
  };
  return std::any_of(message.marks.begin(), message.marks.end(), same_mark) ||
         std::any_of(message.digests.begin(), message.digests.end(),
                     same_digest);
}

bool gossip_exchange::Tells(const wire::gossipT& message,
                            const notice_key& key) {
  return std::any_of(message.notices.begin(), message.notices.end(),
                     [&key](const auto& notice) {
                       return notice->address == key.first &&
                              notice->kind == key.second;
                     });
}

void gossip_exchange::AddMember(wire::gossipT& message, const std::string& host,
                                time_point now) const {
  const member* known = view_.Find(host);
  if (known == nullptr || known->digest.version.sequence == 0) {
    return;
  }
  const std::uint32_t hash = known->name_hash;
  for (const wire::host_mark& mark : message.marks) {
    if (mark.host() == hash) {
      return;
    }
  }
  const bool texts = NeedsTexts(*known, now);
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

void gossip_exchange::AddHostSums(wire::bucket_sumsT& sums) const {
  for (const auto& [host, known] : view_.Members()) {
    if (IsCompared(known)) {
      AddToSum(sums, known.name_hash, SumOf(known));
    }
  }
}

void gossip_exchange::AddNoticeSums(wire::bucket_sumsT& sums) const {
  for (const auto& [key, seen_at] : notices_) {
    AddToSum(sums, HashOf(key), HashOf(key));
  }
}

void gossip_exchange::AddMissing(wire::gossipT& reply,
                                 const wire::gossipT& request,
                                 time_point now) const {
  if (IsReadable(request.host_sums.get())) {
    wire::bucket_sumsT differs = *request.host_sums;
    Negate(differs);
    AddHostSums(differs);
    for (const auto& [host, known] : view_.Members()) {
      if (IsCompared(known) && Covers(differs, known.name_hash) &&
          reply.marks.size() < options_.max_marks &&
          reply.digests.size() < options_.max_digests) {
        AddMember(reply, host, now);
      }
    }
  }
  if (IsReadable(request.notice_sums.get())) {
    wire::bucket_sumsT differs = *request.notice_sums;
    Negate(differs);
    AddNoticeSums(differs);
    for (const auto& [key, seen_at] : notices_) {
      if (Covers(differs, HashOf(key)) && !Tells(reply, key) &&
          reply.notices.size() < options_.max_notices) {
        AddNotice(reply, key, now);
      }
    }
  }
}

std::uint64_t gossip_exchange::HashOf(const notice_key& key) {
  return StableHash(key.first, static_cast<std::uint64_t>(key.second) + 1);
}

}  // namespace slatestall
