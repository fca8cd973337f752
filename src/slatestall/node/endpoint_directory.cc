#include "slatestall/node/endpoint_directory.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

using std::chrono::seconds;

/// How long an endpoint's word that it leaves stands against its own load
/// report, which lags: a report built before the word would undo it.
constexpr seconds kLeavingStands{30};
/// An endpoint that answered this lately is there, whatever the list says.
/// Longer than the slowest polls are apart.
constexpr seconds kAnswersLately{45};

/// A report that an endpoint still does nothing changes no decision, however
/// new it is; any other counts the more the newer it is.
bool ChangesRouting(const load_report& before, const load_report& after) {
  const bool idle =
      before.running + before.waiting + after.running + after.waiting == 0;
  return !idle || before.received == time_point{} ||
         before.slots != after.slots || before.leaving != after.leaving ||
         before.models != after.models || before.adapters != after.adapters;
}

}  // namespace

void endpoint_directory::UseConfiguration(
    accepted_configuration_ptr configuration) {
  configuration_ = std::move(configuration);
  Rebuild();
}

void endpoint_directory::UseHostList(const std::vector<listed_host>& hosts,
                                     time_point now) {
  listed_ = hosts;
  listed_at_ = now;
  Rebuild();
}

bool endpoint_directory::TakeLoad(const std::string& address,
                                  load_report load) {
  const bool was_leaving = IsLeaving(address);
  if (load.leaving) {
    said_leaving_[address] = load.received;
  } else if (const auto said = said_leaving_.find(address);
             said != said_leaving_.end() &&
             load.received - said->second > kLeavingStands) {
    back_[address] = load.received;
    said_leaving_.erase(said);
  }
  auto& known = loads_[address];
  // A report lags and may have been on its way while an answer told newer
  // counts. Obeyed, it would send calls to where they queue.
  if (load.received < known.received) {
    load.running = known.running;
    load.waiting = known.waiting;
    load.received = known.received;
  }
  changes_ += ChangesRouting(known, load) ? 1 : 0;
  known = std::move(load);
  return IsLeaving(address) != was_leaving;
}

bool endpoint_directory::TakeSameLoad(const std::string& address,
                                      time_point asked) {
  const auto known = loads_.find(address);
  if (known == loads_.end()) {
    return false;
  }
  load_report same = known->second;
  same.received = std::max(same.received, asked);
  return TakeLoad(address, std::move(same));
}

bool endpoint_directory::TakeTold(const std::string& address,
                                  const told_load& load) {
  const auto known = loads_.find(address);
  if (known == loads_.end() || load.at < known->second.received) {
    return false;
  }
  load_report told = known->second;
  told.running = load.running;
  told.waiting = load.waiting;
  told.slots = load.slots != 0 ? load.slots : told.slots;
  told.received = load.at;
  changes_ += ChangesRouting(known->second, told) ? 1 : 0;
  known->second = std::move(told);
  return false;
}

bool endpoint_directory::MarkLeaving(const std::string& address,
                                     time_point said) {
  const bool was_leaving = IsLeaving(address);
  // Peers pass a notice on for two minutes; what the endpoint has taken back
  // since must not come up again with it.
  const auto back = back_.find(address);
  if (back != back_.end() && said <= back->second) {
    return false;
  }
  auto& latest = said_leaving_[address];
  latest = std::max(latest, said);
  return !was_leaving;
}

void endpoint_directory::TakeCachedPrefixes(
    const std::string& address,
    std::shared_ptr<const std::vector<std::uint64_t>> prefixes) {
  prefixes_[address] = std::move(prefixes);
  ++changes_;
}

// The earliest of the three counts: the list lags by seconds, the endpoint's
// own word reaches only the hosts that call it, and a peer's word fills in.
bool endpoint_directory::IsLeaving(const std::string& address) const {
  if (said_leaving_.count(address) != 0) {
    return true;
  }
  return std::any_of(listed_.begin(), listed_.end(), [&](const auto& host) {
    return host.leaving && host.where.address == address;
  });
}

std::map<std::string, service_view> endpoint_directory::Views(
    const std::optional<std::set<std::string>>& used) const {
  std::map<std::string, service_view> views;
  if (!configuration_) {
    return views;
  }
  std::set<std::string> list_leaving;
  for (const auto& host : listed_) {
    if (host.leaving) {
      list_leaving.insert(host.where.address);
    }
  }
  for (const auto& [name, config] : configuration_->content.services) {
    service_view& view = views[name];
    view.config = config;
    for (const auto& where : endpoints_.at(name)) {
      if (used && used->count(where.address) == 0) {
        continue;
      }
      endpoint_view seen;
      seen.where = where;
      if (const auto load = loads_.find(where.address); load != loads_.end()) {
        seen.load = load->second;
      }
      seen.leaving = said_leaving_.count(where.address) != 0 ||
                     list_leaving.count(where.address) != 0;
      if (const auto held = prefixes_.find(where.address);
          held != prefixes_.end()) {
        seen.cached_prefixes = held->second;
      }
      view.endpoints.push_back(std::move(seen));
    }
  }
  return views;
}

std::vector<endpoint> endpoint_directory::EndpointsOf(
    const service_config& service) const {
  if (!service.from_host_list) {
    return service.endpoints;
  }
  auto listed = ListedOf(service.name);
  const auto before = endpoints_.find(service.name);
  if (!listed.empty() || before == endpoints_.end()) {
    return listed;
  }
  // A list service that restarted answers an empty list for a while. Obeyed,
  // it would leave the service without endpoints while all of them run, so
  // those that still answer stay until others are listed.
  std::copy_if(
      before->second.begin(), before->second.end(), std::back_inserter(listed),
      [this](const auto& where) { return AnswersLately(where.address); });
  return listed;
}

std::vector<endpoint> endpoint_directory::ListedOf(
    const std::string& service) const {
  std::vector<endpoint> found;
  for (const auto& host : listed_) {
    if (host.service == service) {
      found.push_back(host.where);
    }
  }
  return found;
}

bool endpoint_directory::AnswersLately(const std::string& address) const {
  const auto load = loads_.find(address);
  return load != loads_.end() &&
         listed_at_ - load->second.received < kAnswersLately;
}

void endpoint_directory::Rebuild() {
  std::map<std::string, std::vector<endpoint>> next;
  std::set<std::string> known;
  if (configuration_) {
    for (const auto& [name, service] : configuration_->content.services) {
      next[name] = EndpointsOf(service);
      for (const auto& where : next[name]) {
        known.insert(where.address);
      }
    }
  }
  endpoints_ = std::move(next);
  const auto forget = [&known](auto& by_address) {
    std::erase_if(by_address, [&known](const auto& entry) {
      return known.count(entry.first) == 0;
    });
  };
  forget(loads_);
  forget(said_leaving_);
  forget(back_);
  forget(prefixes_);
}

}  // namespace slatestall
