#include "standins/endpoint/prefix_cache.h"

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

constexpr std::size_t kShortestPrefix = 256;
constexpr std::size_t kMaxEventsKept = 4096;

}  // namespace

std::vector<prompt_prefix> PrefixesOf(std::string_view prompt) {
  std::vector<prompt_prefix> prefixes;
  for (std::size_t size = kShortestPrefix; size <= prompt.size(); size *= 2) {
    prefixes.push_back({size, StableHashText(prompt.substr(0, size))});
  }
  return prefixes;
}

prefix_cache::prefix_cache(const prefix_cache_options& options)
    : options_(options), random_(options.seed) {}

std::size_t prefix_cache::Use(std::string_view prompt, time_point now) {
  std::size_t cached = 0;
  for (const auto& prefix : PrefixesOf(prompt)) {
    if (Holds(prefix.hash)) {
      cached = prefix.bytes;
    }
    Store(prefix.hash, now);
  }
  return cached;
}

void prefix_cache::Store(const std::string& hash, time_point now) {
  const auto found = index_.find(hash);
  if (found != index_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
    return;
  }
  recent_.push_front(hash);
  index_[hash] = recent_.begin();
  Publish(true, hash, now);
  while (recent_.size() > options_.capacity) {
    Publish(false, recent_.back(), now);
    index_.erase(recent_.back());
    recent_.pop_back();
  }
}

bool prefix_cache::Holds(const std::string& hash) const {
  return index_.contains(hash);
}

void prefix_cache::Publish(bool is_stored, const std::string& hash,
                           time_point now) {
  const std::uint64_t sequence = next_sequence_++;
  std::uniform_real_distribution<double> draw(0, 1);
  if (draw(random_) < options_.event_loss) {
    return;
  }
  events_.push_back({sequence, now + options_.event_lag, is_stored, hash});
  if (events_.size() > kMaxEventsKept) {
    events_.pop_front();
  }
}

nlohmann::json prefix_cache::EventsFrom(std::uint64_t from,
                                        time_point now) const {
  nlohmann::json events = nlohmann::json::array();
  std::uint64_t next = from;
  for (const auto& event : events_) {
    if (event.visible > now) {
      break;
    }
    if (event.sequence < from) {
      continue;
    }
    next = event.sequence + 1;
    events.push_back({{"sequence", event.sequence},
                      {"op", event.is_stored ? "stored" : "evicted"},
                      {"prefix", event.prefix}});
  }
  return {{"next", next}, {"events", events}};
}

}  // namespace slatestall
