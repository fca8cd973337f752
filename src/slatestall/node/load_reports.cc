#include "slatestall/node/load_reports.h"

#include <algorithm>
#include <utility>

#include "slatestall/http/uri.h"
#include "slatestall/node/endpoint_subset.h"
#include "slatestall/node/endpoint_watch.h"
#include "slatestall/node/load_report_json.h"

namespace slatestall {
namespace {

constexpr int kNoContent = 204;
/// Cache events of an engine grow with all hosts' calls, and a host's control
/// traffic may not: in a larger fleet a host does without them.
constexpr std::size_t kMostHostsForCacheEvents = 64;

}  // namespace

load_reports::load_reports(asio::io_context& context, http_client& client,
                           now_function now, endpoint_directory& directory,
                           load_reports_hooks hooks)
    : now_(std::move(now)),
      directory_(directory),
      hooks_(std::move(hooks)),
      poller_(context, client, now_,
              {[this](const std::string& address) { return PathFor(address); },
               [this](const std::string& address, time_point asked,
                      const http_result& answer) {
                 OnPolled(address, asked, answer);
               }}) {}

void load_reports::Choose(const load_reports_scope& scope) {
  used_.clear();
  engines_.clear();
  std::size_t most_users = 0;
  std::map<std::string, poll_reason> targets;
  for (const auto& [name, endpoints] : directory_.Services()) {
    auto chosen = SubsetOf(endpoints, scope.host, scope.failure_domain,
                           SubsetSize(endpoints.size(), scope.known_hosts));
    const auto& service = directory_.Configuration()->content.services.at(name);
    if (service.kind == service_kind::kEngine &&
        scope.known_hosts <= kMostHostsForCacheEvents) {
      engines_.insert(chosen.begin(), chosen.end());
    }
    for (const auto& address : chosen) {
      targets[address].service = name;
    }
    used_.merge(chosen);
    most_users =
        std::max(most_users, UsersOf(endpoints.size(), scope.known_hosts));
  }
  for (const auto& address :
       WatchedBy(scope.host, scope.live_hosts, AllEndpoints())) {
    targets[address].watched = true;
  }
  for (const auto& service : scope.ordered_services) {
    // Who gives orders needs the reports of all engines it gives them to.
    if (const auto found = directory_.Services().find(service);
        found != directory_.Services().end()) {
      for (const auto& where : found->second) {
        targets[where.address].ordered = true;
      }
    }
  }
  std::erase_if(versions_, [&targets](const auto& entry) {
    return targets.count(entry.first) == 0;
  });
  caches_.KeepOnly(engines_);
  poller_.SetTargets(targets,
                     PollPace(used_.size(), scope.known_hosts, most_users));
}

std::set<std::string> load_reports::AllEndpoints() const {
  std::set<std::string> all;
  for (const auto& [name, endpoints] : directory_.Services()) {
    for (const auto& where : endpoints) {
      all.insert(where.address);
    }
  }
  return all;
}

// What an answer told since may be newer than the last report; "as in your
// last report" would then be taken for what the answer told.
void load_reports::TakeTold(const std::map<std::string, told_load>& loads) {
  for (const auto& [address, load] : loads) {
    poller_.NoteTold(address, load.at);
    versions_.erase(address);
    const auto before = directory_.Changes();
    Tell(address, directory_.TakeTold(address, load), before);
  }
}

std::string load_reports::PathFor(const std::string& address) const {
  query_fields fields;
  if (const auto version = versions_.find(address);
      version != versions_.end()) {
    fields.emplace_back("have", version->second);
  }
  if (engines_.count(address) != 0) {
    fields.emplace_back("events_from", std::to_string(caches_.NextOf(address)));
  }
  return UrlWithQuery("/load", fields);
}

void load_reports::OnPolled(const std::string& address, time_point asked,
                            const http_result& answer) {
  const auto before = directory_.Changes();
  if (answer.status == kNoContent) {
    Tell(address, directory_.TakeSameLoad(address, asked), before);
    return;
  }
  auto polled = PolledLoadOf(answer.body, asked);
  if (!polled) {
    return;
  }
  if (polled->version.empty()) {
    versions_.erase(address);
  } else {
    versions_[address] = polled->version;
  }
  if (!polled->cache.empty() && engines_.count(address) != 0 &&
      caches_.Take(address, polled->cache)) {
    directory_.TakeCachedPrefixes(address, caches_.PrefixesOf(address));
  }
  Tell(address, directory_.TakeLoad(address, std::move(polled->load)), before);
}

void load_reports::Tell(const std::string& address, bool leaving_changed,
                        std::uint64_t changes_before) {
  if (leaving_changed) {
    hooks_.on_leaving(address, directory_.IsLeaving(address));
  } else if (directory_.Changes() != changes_before &&
             used_.count(address) != 0) {
    hooks_.on_change();
  }
}

}  // namespace slatestall
