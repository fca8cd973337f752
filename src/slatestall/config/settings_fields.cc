#include "slatestall/config/settings_fields.h"

namespace slatestall {
namespace {

using type = field_type;

// A text with a closed list of values.
field<settings> TextChoiceField(std::string settings::*member,
                                field_spec spec) {
  spec.type = type::kChoice;
  spec.default_text = settings{}.*member;
  return {std::move(spec), [member](const field_place& place, settings& into) {
            into.*member = ReadChoice(place).value_or(into.*member);
          }};
}

}  // namespace

const field_table<settings>& SettingsFields() {
  using s = settings;
  static const field_table<s> kTable{
      MemberField(&s::host_name,
                  {.name = "host_name",
                   .type = type::kName,
                   .required = true,
                   .meaning = "Unique among the hosts of the system, as in the "
                              "platform's host list"}),
      MemberField(&s::failure_domain,
                  {.name = "failure_domain",
                   .type = type::kName,
                   .required = true,
                   .meaning = "What this host fails together with"}),
      MemberField(&s::listen,
                  {.name = "listen",
                   .type = type::kAddress,
                   .meaning = "Where callers connect; port 0 takes any free "
                              "one"}),
      MemberField(&s::operator_listen,
                  {.name = "operator_listen",
                   .type = type::kAddress,
                   .meaning = "Where operators connect, then not at `listen`; "
                              "port 0 takes any free one; empty: at `listen`"}),
      MemberField(&s::peer_listen,
                  {.name = "peer_listen",
                   .type = type::kAddress,
                   .meaning = "Where the other hosts connect; port 0 takes any "
                              "free one"}),
      MemberField(&s::peer_address,
                  {.name = "peer_address",
                   .type = type::kAddress,
                   .meaning = "Where the other hosts reach `peer_listen`, if "
                              "that is another address; empty: the same"}),
      MemberField(&s::log_url, {.name = "log_url",
                                .type = type::kUrl,
                                .required = true,
                                .meaning = "The platform's log"}),
      MemberField(&s::host_list_url,
                  {.name = "host_list_url",
                   .type = type::kUrl,
                   .required = true,
                   .meaning = "The platform's list of hosts"}),
      MemberField(&s::weight_store_url,
                  {.name = "weight_store_url",
                   .type = type::kUrl,
                   .meaning = "The platform's weight store; without it no "
                              "models are ordered"}),
      MemberField(&s::traffic_threads, {.name = "traffic_threads",
                                        .type = type::kWhole,
                                        .unit = "threads",
                                        .minimum = 1,
                                        .maximum = 64,
                                        .meaning = "Threads that serve "
                                                   "requests"}),
      TextChoiceField(&s::log_level,
                      {.name = "log_level",
                       .choices = {"trace", "debug", "info", "warn", "error"},
                       .meaning = "Least severity that is logged"}),
      MemberField(&s::max_connections,
                  {.name = "max_connections",
                   .type = type::kWhole,
                   .unit = "connections",
                   .minimum = 16,
                   .maximum = 100000,
                   .meaning = "Callers connected at once"}),
      MemberField(&s::max_body_bytes, {.name = "max_body_bytes",
                                       .type = type::kWhole,
                                       .unit = "bytes",
                                       .minimum = 1024,
                                       .maximum = 67108864,
                                       .meaning = "Longest body of a request"}),
      MemberField(
          &s::claim_partitions,
          {.name = "claim_partitions",
           .type = type::kWhole,
           .unit = "streams",
           .minimum = 1,
           .maximum = 64,
           .meaning = "Streams of the log over which claims are spread; "
                      "the same on all hosts"}),
      TextChoiceField(
          &s::routing,
          {.name = "routing",
           .choices = {"least-wait", "round-robin", "plain-round-robin",
                       "plain-least-in-flight"},
           .meaning = "How an endpoint is chosen; all but "
                      "`least-wait` are for comparison, and "
                      "`plain-` leaves out queueing, hedging, "
                      "ejection and early refusal as well"}),
      MemberField(&s::log_retention,
                  {.name = "log_retention",
                   .type = type::kDuration,
                   .unit = "written with it",
                   .minimum = 0,
                   .maximum = 365.0 * 24 * 3600 * 1000,
                   .meaning = "How long the platform's log keeps records, in "
                              "whole seconds; the configuration is republished "
                              "before half of it. 0s: not known"}),
      MemberField(
          &s::drain_grace,
          {.name = "drain_grace",
           .type = type::kDuration,
           .unit = "written with it",
           .minimum = 0,
           .maximum = 60000,
           .meaning = "How long a host that drains still takes what the "
                      "balancer sends"}),
      MemberField(&s::operator_key_hashes,
                  {.name = "operator_key_hashes",
                   .type = type::kDigests,
                   .meaning = "Digests of the operators' keys; without any, "
                              "whoever reaches the operators' address may "
                              "publish and drain. In the file only"}),
      MemberField(&s::record_path,
                  {.name = "record_path",
                   .type = type::kText,
                   .meaning = "File to record a trace to, for `slatestall "
                              "replay`; overwritten; empty: none"}),
      MemberField(&s::record_max_bytes,
                  {.name = "record_max_bytes",
                   .type = type::kWhole,
                   .unit = "bytes",
                   .minimum = 1 << 20,
                   .maximum = 1 << 30,
                   .meaning = "Largest size of the recorded trace; recording "
                              "then stops and says so"}),
  };
  return kTable;
}

}  // namespace slatestall
