#include "slatestall/gateway/gateway_control.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace slatestall {
namespace {

/// The store answers as soon as the configuration changes. A connection that
/// has fallen silent shows only when the wait is over, so that it is short
/// against the time in which a change must be in force.
constexpr milliseconds kConfigurationWait{1000};
constexpr milliseconds kConfigurationPause{20};
/// Part of the time in which a leaving endpoint must get no more work: the
/// rest is for the read itself and what is under way.
constexpr double kEndpointPart = 0.35;
/// Living endpoints are listed again within about two seconds of an outage.
constexpr milliseconds kReturnTime{2200};

follow_pace EndpointPace(const gateway_options& options) {
  const double interval =
      kEndpointPart * static_cast<double>(options.leave_limit.count());
  return {milliseconds(0), milliseconds(static_cast<std::int64_t>(interval)),
          options.restore_time};
}

/// Ids that one line of the log names; it counts the others.
constexpr std::size_t kMostIdsInLine = 32;

void AddIds(nlohmann::json& fields, const std::string& name,
            const std::vector<std::string>& ids) {
  for (const auto& id : ids) {
    if (fields[name].size() == kMostIdsInLine) {
      fields[name + "_more"] = ids.size() - kMostIdsInLine;
      return;
    }
    fields[name].push_back(id);
  }
}

}  // namespace

gateway_control::gateway_control(asio::io_context& context,
                                 const gateway_options& options,
                                 platform_link link, decision_log& log,
                                 now_function now, control_news news)
    : link_(std::move(link)),
      log_(log),
      now_(std::move(now)),
      news_(std::move(news)),
      listing_(kReturnTime),
      configuration_(
          context, link_.configuration,
          {kConfigurationWait, kConfigurationPause, options.restore_time},
          {.on_all =
               [this](const auto& records) {
                 TakeOfOperator(records, evacuations_.ReplaceAll(
                                             DecodeEvacuations(records)));
               },
           .on_changes =
               [this](const auto& records) {
                 TakeOfOperator(
                     records, evacuations_.Change(DecodeEvacuations(records)));
               },
           .on_read =
               [this](const keyed_read& read) {
                 OnRead("configuration", configuration_reachable_, read);
               },
           .on_restored =
               [this](const auto& records) {
                 TakeOfOperator(records, evacuations_.AddRestored(
                                             DecodeEvacuations(records)));
               }}),
      endpoints_(
          context, link_.endpoints, EndpointPace(options),
          {.on_all = [this](const auto& records) { TakeAllEndpoints(records); },
           .on_changes =
               [this](const auto& records) { TakeEndpointChanges(records); },
           .on_read =
               [this](const keyed_read& read) {
                 OnRead("endpoints", endpoints_reachable_, read);
                 const bool succeeded = read.outcome == store_outcome::kDone;
                 listing_.NoteRead(succeeded, now_());
                 if (succeeded && listing_.DropOverdue(now_())) {
                   PublishEndpoints();
                 }
               },
           .on_restored =
               [this](const auto& records) {
                 TakeRestoredEndpoints(records);
               }}),
      hosts_(
          context, options, link_, log_, now_,
          [this](std::vector<listed_gateway> hosts) {
            news_.on_hosts(std::move(hosts));
          },
          [this](const host_census& census) { news_.on_census(census); },
          {.note_listed = [this] { NoteListedVersions(); },
           .on_recorded = [this] { PassOnRecorded(); }}),
      crashes_(context, options, link_, log_, now_, news_.crashes) {}

void gateway_control::Start() {
  configuration_.Start();
  endpoints_.Start();
  hosts_.Start();
  crashes_.Start();
}

void gateway_control::FindOnlyVersion(
    const std::string& service, milliseconds time,
    std::function<void(const std::optional<std::string>&)> done) {
  endpoints_.ReadNow(
      [this, service, time, done = std::move(done)](bool is_current) {
        NoteListedVersions();
        const auto only =
            is_current ? versions_.Only(service, time, now_()) : std::nullopt;
        if (is_current && !only) {
          hosts_.FindOnlyVersion(service, time, done);
        } else {
          done(only);
        }
      });
}

void gateway_control::OnRead(const char* what, bool& reachable,
                             const keyed_read& read) {
  if (read.unreadable > 0) {
    log_.Write("records_unreadable", {{"reads", what},
                                      {"records", read.unreadable},
                                      {"detail", read.detail}});
    news_.on_unreadable("record");
  }
  if (read.pages > 1) {
    log_.Write("pages_read", {{"reads", what},
                              {"pages", read.pages},
                              {"records", read.records.size()}});
  }
  const bool answered =
      read.outcome == store_outcome::kDone && !read.second_hand;
  if (answered == reachable) {
    return;
  }
  reachable = answered;
  log_.Write(
      answered ? "store_regained" : "store_lost",
      {{"reads", what}, {"detail", read.detail}, {"age_ms", read.age.count()}});
}

std::vector<evacuation_record> gateway_control::DecodeEvacuations(
    const std::vector<keyed_record>& records) const {
  std::vector<evacuation_record> evacuations;
  for (const auto& record : records) {
    if (auto domain = link_.read_evacuation(record)) {
      evacuations.push_back({std::move(*domain), record.value.has_value()});
    }
  }
  return evacuations;
}

void gateway_control::TakeOfOperator(const std::vector<keyed_record>& records,
                                     bool evacuations_changed) {
  if (evacuations_changed) {
    log_.Write("evacuations_changed",
               {{"failure_domains", evacuations_.Domains()}});
    if (has_published_) {
      PublishEndpoints();
    }
  }
  TakeConfiguration(records);
}

void gateway_control::TakeConfiguration(
    const std::vector<keyed_record>& records) {
  for (const auto& record : records) {
    routing_table_ptr table;
    try {
      table = link_.read_configuration(record);
    } catch (const std::exception& problem) {
      log_.Write("configuration_unreadable",
                 {{"detail", problem.what()}, {"in_force", version_}});
      continue;
    }
    if (!table || table->version <= version_) {
      continue;
    }
    version_ = table->version;
    log_.Write("configuration_in_force", {{"version", version_},
                                          {"routes", table->routes.size()},
                                          {"keys", table->holders.size()}});
    news_.on_configuration(std::move(table));
  }
}

std::optional<known_endpoint> gateway_control::Decode(
    const keyed_record& record) {
  try {
    auto read = link_.read_endpoint(record);
    if (!read) {
      return std::nullopt;
    }
    if (read->cold_left > milliseconds(0)) {
      // Counted from now, however old the entry: rather too long.
      read->endpoint.cold_until = now_() + read->cold_left;
    }
    versions_.Note(read->endpoint, now_());
    hosts_.NoteListed(read->endpoint.service, read->endpoint.version);
    return std::move(read->endpoint);
  } catch (const std::exception& problem) {
    log_.Write("endpoint_unreadable",
               {{"endpoint", record.key}, {"detail", problem.what()}});
    news_.on_unreadable("endpoint");
    listing_.Withdraw(record.key);
    return std::nullopt;
  }
}

std::vector<known_endpoint> gateway_control::DecodeAll(
    const std::vector<keyed_record>& records) {
  std::vector<known_endpoint> listed;
  for (const auto& record : records) {
    if (auto endpoint = Decode(record)) {
      listed.push_back(std::move(*endpoint));
    }
  }
  return listed;
}

void gateway_control::TakeAllEndpoints(
    const std::vector<keyed_record>& records) {
  versions_.Begin(now_());
  listing_.ReplaceAll(DecodeAll(records), now_());
  PublishEndpoints();
}

void gateway_control::TakeRestoredEndpoints(
    const std::vector<keyed_record>& records) {
  versions_.Begin(now_());
  listing_.AddRestored(DecodeAll(records));
  PublishEndpoints();
}

/// An endpoint may have come and gone within one read: of each that has
/// changed, only what the list holds in the end is passed on.
void gateway_control::TakeEndpointChanges(
    const std::vector<keyed_record>& records) {
  passed_listing::endpoint_states states;
  for (const auto& record : records) {
    if (!record.value) {
      listing_.Drop(record.key, now_());
    } else if (const auto endpoint = Decode(record)) {
      listing_.Put(*endpoint);
    }
    NoteListedUntilNow(record.key);
    states.try_emplace(record.key);
  }
  for (auto& [id, endpoint] : states) {
    endpoint = FindUsable(id);
  }
  PassOn(passed_.Change(states));
}

std::optional<known_endpoint> gateway_control::FindUsable(
    const std::string& id) {
  auto endpoint = listing_.Find(id);
  if (!endpoint) {
    return std::nullopt;
  }
  if (!IsUsable(*endpoint)) {
    held_ = true;
    return std::nullopt;
  }
  endpoint->evacuated = evacuations_.Contains(endpoint->failure_domain);
  return endpoint;
}

/// A stream that began at a version of which no record tells could not be taken
/// up once all hosts were lost, or would go on at another version.
bool gateway_control::IsUsable(const known_endpoint& endpoint) const {
  return hosts_.IsRecorded(endpoint.service, endpoint.version);
}

void gateway_control::PassOnRecorded() {
  if (held_) {
    PublishEndpoints();
  }
}

void gateway_control::PublishEndpoints() {
  NoteListedVersions();
  auto listed = listing_.Listed();
  const auto all = listed.size();
  std::erase_if(listed, [this](const auto& one) { return !IsUsable(one); });
  held_ = listed.size() < all;
  for (auto& endpoint : listed) {
    endpoint.evacuated = evacuations_.Contains(endpoint.failure_domain);
  }
  PassOn(passed_.Replace(listed));
}

void gateway_control::PassOn(listing_changes changes) {
  // While all that is listed is held, the host is not ready: it cannot serve.
  if (changes.IsEmpty() && (has_published_ || held_)) {
    return;
  }
  has_published_ = true;
  LogChanges(changes);
  news_.on_endpoints(std::move(changes));
}

/// What is listed has been until now.
void gateway_control::NoteListedVersions() {
  for (const auto& [id, endpoint] : passed_.All()) {
    versions_.Note(endpoint, now_());
    hosts_.NoteListed(endpoint.service, endpoint.version);
  }
}

void gateway_control::NoteListedUntilNow(const std::string& id) {
  if (const auto* endpoint = passed_.Find(id)) {
    versions_.Note(*endpoint, now_());
  }
}

/// One line for each reading of the list, of bounded length.
void gateway_control::LogChanges(const listing_changes& changes) {
  nlohmann::json fields = {{"listed", passed_.All().size()}};
  AddIds(fields, "new", changes.added);
  AddIds(fields, "leaving", changes.leaving);
  AddIds(fields, "gone", changes.gone);
  log_.Write("endpoints_changed", std::move(fields));
}

}  // namespace slatestall
