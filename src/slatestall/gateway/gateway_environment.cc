#include "slatestall/gateway/gateway_environment.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace slatestall {

std::optional<std::size_t> gateway_environment::ColdCalls(
    const std::string& service) const {
  const auto* rule = table ? table->Service(service) : nullptr;
  if (rule == nullptr || rule->cold_rate <= 0 ||
      !options.Uses(mechanism::kColdLimit)) {
    return std::nullopt;
  }
  return options.cold.CallsInASecond(rule->cold_rate);
}

bool gateway_environment::MayUseCold(const endpoint_record& record,
                                     std::size_t calls_in_a_second) {
  return repeats.IsCounted(now()) &&
         cold.Allows(record.Info().Incarnation(), calls_in_a_second, now());
}

bool gateway_environment::HasQuota(const endpoint_record& record) const {
  return record.Quota() && options.Uses(mechanism::kEndpointQuota);
}

std::optional<double> gateway_environment::Bears(
    const endpoint_record& record) const {
  const auto found = brittle_services.find(record.Info().service);
  if (found == brittle_services.end() ||
      !options.Uses(mechanism::kBrittleLimit)) {
    return std::nullopt;
  }
  return found->second;
}

quota_share gateway_environment::Share() const {
  return repeats.IsCounted(now()) ? quota_share::kCounted
                                  : quota_share::kUncounted;
}

bool gateway_environment::MayCall(const endpoint_record& record) {
  const auto bears = Bears(record);
  if (bears && !record.HasRoom(now()) &&
      (record.IsFull(now()) ||
       !brittle.Allows(record.Info().Incarnation(), *bears,
                       repeats.IsCounted(now()), now()))) {
    return false;
  }
  return !HasQuota(record) || quota.Allows(record.Info().Incarnation(),
                                           *record.Quota(), Share(), now());
}

bool gateway_environment::MayCallAsHome(const endpoint_record& record) {
  const auto bears = Bears(record);
  if (bears &&
      !brittle.AllowsHome(record.Info().Incarnation(), *bears, now())) {
    return false;
  }
  return !HasQuota(record) ||
         quota.Allows(record.Info().Incarnation(), *record.Quota(),
                      quota_share::kHome, now());
}

bool gateway_environment::MayCallSoon(const endpoint_record& record) {
  return !HasQuota(record) || quota.HasPart(record.Info().Incarnation(),
                                            *record.Quota(), Share(), now());
}

void gateway_environment::NoteAnswer(endpoint_record& record,
                                     const answer_facts& facts, bool ran) {
  if (facts.other_incarnation) {
    return;  // It speaks of itself.
  }
  if (facts.leaving) {
    NoteLeaving(record.Info().Incarnation());
  }
  if (facts.retry_after) {
    NoteBackOff(record, *facts.retry_after);
  }
  if (facts.load) {
    record.NoteLoad(*facts.load);
  }
  NoteBrittle(record, facts);
  if ((facts.quota || ran) && record.NoteQuota(facts.quota)) {
    log.Write("endpoint_quota", {{"endpoint", record.Info().id},
                                 {"service", record.Info().service},
                                 {"per_second", facts.quota.value_or(0)},
                                 {"named", facts.quota.has_value()}});
  }
}

/// All endpoints of a service are brittle at the same time and report it in all
/// answers, so that one answer tells of those that were not called yet, and one
/// without the statement ends it.
void gateway_environment::NoteBrittle(const endpoint_record& record,
                                      const answer_facts& facts) {
  const auto& service = record.Info().service;
  const auto known = brittle_services.find(service);
  const bool was_brittle = known != brittle_services.end();
  if (facts.brittle) {
    brittle_services[service] = *facts.brittle;
  } else if (!facts.names_brittle && was_brittle) {
    brittle_services.erase(known);
  }
  if (facts.brittle.has_value() != was_brittle &&
      (facts.brittle || !facts.names_brittle)) {
    log.Write("service_brittle", {{"service", service},
                                  {"per_second", facts.brittle.value_or(0)},
                                  {"named", facts.brittle.has_value()}});
  }
  if (facts.not_run && !facts.inputs_gone) {
    brittle.NoteTurnedAway(record.Info().Incarnation(), now());
    if (Bears(record)) {
      metrics.Count("turned_away_brittle", service);
    }
  }
}

void gateway_environment::NoteLeaving(const endpoint_incarnation& run) {
  const auto record = roster.NoteLeaving(run);
  if (!record) {
    return;
  }
  log.Write("endpoint_leaving", {{"endpoint", run.id},
                                 {"service", record->Info().service},
                                 {"listed_leaving", record->Info().leaving}});
  if (on_endpoint_leaving) {
    on_endpoint_leaving();
  }
}

void gateway_environment::NoteBackOff(endpoint_record& record,
                                      milliseconds retry_after) {
  const bool backed_off = record.BacksOff(now());
  const time_point until = now() + retry_after;
  back_offs_end = std::max(back_offs_end, until);
  if (record.NoteBackOff(until) && !backed_off) {
    log.Write("endpoint_backs_off", {{"endpoint", record.Info().id},
                                     {"service", record.Info().service},
                                     {"for_ms", retry_after.count()}});
  }
}

void gateway_environment::NoteSent(const endpoint_record& record) {
  if (record.ReportedLeaving()) {
    metrics.Count("calls_to_leaving", record.Info().service);
  }
  if (record.BacksOff(now())) {
    metrics.Count("calls_in_back_off", record.Info().service);
  }
  if (record.Quota()) {
    metrics.Count("calls_under_quota", record.Info().service);
    quota.NoteSent(record.Info().Incarnation(), *record.Quota(), now());
  }
  if (const auto bears = Bears(record)) {
    brittle.NoteSent(record.Info().Incarnation(), *bears, now());
  }
  if (record.Cold(now())) {
    cold.NoteSent(record.Info().Incarnation(), now());
  }
}

}  // namespace slatestall
