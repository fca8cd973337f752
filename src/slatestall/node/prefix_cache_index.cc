#include "slatestall/node/prefix_cache_index.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using nlohmann::json;

/// Prefixes kept of one engine: more than its cache can hold of use.
constexpr std::size_t kMaxHeld = 4096;

struct cache_event {
  std::uint64_t sequence = 0;
  bool stored = false;
  std::uint64_t prefix = 0;
};

struct cache_answer {
  std::uint64_t next = 0;
  std::vector<cache_event> events;
};

std::uint64_t PrefixIn(const std::string& text) {
  std::uint64_t prefix = 0;
  std::from_chars(text.data(), text.data() + text.size(), prefix, 16);
  return prefix;
}

std::optional<cache_answer> Parse(const std::string& body) {
  try {
    const auto parsed = ParseJson(body);
    cache_answer answer;
    answer.next = parsed.at("next").get<std::uint64_t>();
    for (const auto& event : parsed.at("events")) {
      answer.events.push_back(
          {event.at("sequence").get<std::uint64_t>(),
           event.at("op").get<std::string>() == "stored",
           PrefixIn(event.at("prefix").get<std::string>())});
    }
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::uint64_t prefix_cache_index::NextOf(const std::string& address) const {
  const auto found = engines_.find(address);
  return found == engines_.end() ? 0 : found->second.next;
}

// A missed event may be an eviction. Once as many were missed as prefixes are
// believed to be held, the belief says nothing any more and would draw
// requests to an engine without the prefix.
bool prefix_cache_index::Take(const std::string& address,
                              const std::string& body) {
  const auto answer = Parse(body);
  if (!answer) {
    return false;
  }
  auto& engine = engines_[address];
  bool changed = false;
  if (answer->next < engine.next) {  // The engine restarted.
    engine = {};
    changed = true;
  }
  for (const auto& event : answer->events) {
    if (event.sequence < engine.next) {
      continue;
    }
    engine.missed += event.sequence - engine.next;
    engine.next = event.sequence + 1;
    changed |= event.stored ? engine.held.insert(event.prefix).second
                            : engine.held.erase(event.prefix) != 0;
  }
  engine.missed += answer->next - std::min(answer->next, engine.next);
  engine.next = answer->next;
  if (engine.missed > 0 && engine.missed >= engine.held.size()) {
    changed |= !engine.held.empty();
    engine.held.clear();
    engine.missed = 0;
  }
  while (engine.held.size() > kMaxHeld) {
    engine.held.erase(engine.held.begin());
  }
  return changed;
}

void prefix_cache_index::KeepOnly(const std::set<std::string>& addresses) {
  std::erase_if(engines_, [&addresses](const auto& entry) {
    return addresses.count(entry.first) == 0;
  });
}

std::shared_ptr<const std::vector<std::uint64_t>>
prefix_cache_index::PrefixesOf(const std::string& address) const {
  const auto found = engines_.find(address);
  if (found == engines_.end()) {
    return nullptr;
  }
  const auto& held = found->second.held;
  return std::make_shared<const std::vector<std::uint64_t>>(held.begin(),
                                                            held.end());
}

}  // namespace slatestall
