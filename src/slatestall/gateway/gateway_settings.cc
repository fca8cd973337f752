#include "slatestall/gateway/gateway_settings.h"

#include <fstream>
#include <iterator>
#include <utility>

#include "slatestall/config/field_table.h"
#include "slatestall/config/problem_sink.h"
#include "slatestall/config/yaml_tree.h"
#include "slatestall/model/comma_list.h"
#include "slatestall/model/listen_address.h"

namespace slatestall {
namespace {

using type = field_type;

constexpr double kMaxSeconds = 3600;

/// The file as it is written; turned into options once all of it is sound.
struct written_settings {
  std::string host_name;
  std::string failure_domain;
  std::string front;
  std::string status;
  std::string peer;
  std::string relay;
  std::string store;
  std::string seeds;
  std::string regions;
  std::uint32_t max_connections = 1024;
  std::uint32_t max_memory_mb = 0;
  std::uint32_t max_files = 0;
  double processor_share = 1.0;
  double link_mbps = 1000.0;
  std::uint32_t leave_limit = 2000;
  std::uint32_t evacuation_limit = 5000;
  std::uint32_t settle_limit = 3000;
  double cold_rate_factor = 1;
  double cold_rate_extra = 0;
  double stop_grace = 8;
  double repeat_ratio = 0.2;
  double repeat_window = 10;
  double repeat_reserve = 0;
  std::string disabled;
};

field_spec Seconds(std::string name, std::string meaning) {
  return {.name = std::move(name),
          .type = type::kNumber,
          .unit = "seconds",
          .minimum = 0.1,
          .maximum = kMaxSeconds,
          .meaning = std::move(meaning)};
}

field_spec Address(std::string name, bool required, std::string meaning) {
  return {.name = std::move(name),
          .type = type::kAddress,
          .required = required,
          .meaning = std::move(meaning)};
}

const field_table<written_settings>& Fields() {
  using s = written_settings;
  static const field_table<s> kTable{
      MemberField(&s::host_name, {.name = "host_name",
                                  .type = type::kText,
                                  .required = true,
                                  .meaning = "Unique among the hosts"}),
      MemberField(&s::failure_domain,
                  {.name = "failure_domain",
                   .type = type::kText,
                   .required = true,
                   .meaning = "What this host fails together with"}),
      MemberField(&s::front,
                  Address("front_listen", true, "Where callers connect")),
      MemberField(&s::status,
                  Address("status_listen", true,
                          "Readiness for the balancer, and metrics")),
      MemberField(&s::peer, Address("peer_listen", false,
                                    "Where the other hosts connect")),
      MemberField(&s::relay,
                  Address("relay_listen", false,
                          "Where other hosts that are cut off from endpoints "
                          "connect to have calls passed on; any free port "
                          "if it is not set")),
      MemberField(&s::store,
                  Address("store_address", true, "The platform's store")),
      MemberField(&s::seeds,
                  {.name = "seeds",
                   .type = type::kText,
                   .meaning = "Addresses of some other hosts, joined by "
                              "commas; they may be stale"}),
      MemberField(&s::regions,
                  {.name = "domain_regions",
                   .type = type::kText,
                   .meaning = "Region of each failure domain, as "
                              "DOMAIN=REGION joined by commas; needed where "
                              "routes or workspaces name regions"}),
      MemberField(&s::max_connections, {.name = "max_connections",
                                        .type = type::kWhole,
                                        .unit = "connections",
                                        .minimum = 16,
                                        .maximum = 100000,
                                        .meaning = "Callers connected at "
                                                   "once"}),
      MemberField(&s::max_memory_mb, {.name = "max_memory_mb",
                                      .type = type::kWhole,
                                      .unit = "MB",
                                      .minimum = 0,
                                      .maximum = 1 << 20,
                                      .meaning = "What the process may use; "
                                                 "0: not known"}),
      MemberField(&s::max_files, {.name = "max_files",
                                  .type = type::kWhole,
                                  .unit = "descriptors",
                                  .minimum = 0,
                                  .maximum = 10000000,
                                  .meaning = "What the process may have open; "
                                             "half may be connections to other "
                                             "hosts; 0: not known"}),
      MemberField(&s::processor_share,
                  {.name = "processor_share",
                   .type = type::kNumber,
                   .unit = "cores",
                   .minimum = 0.01,
                   .maximum = 64,
                   .meaning = "What the process may use; hosts that have more "
                              "do more of the work that hosts share"}),
      MemberField(&s::link_mbps, {.name = "link_mbps",
                                  .type = type::kNumber,
                                  .unit = "Mbit/s",
                                  .minimum = 0.1,
                                  .maximum = 1000000,
                                  .meaning = "Of the host's network link"}),
      MemberField(&s::leave_limit,
                  {.name = "leave_limit_ms",
                   .type = type::kWhole,
                   .unit = "milliseconds",
                   .minimum = 100,
                   .maximum = 3600000,
                   .meaning = "No new work may reach an endpoint that long "
                              "after it began to leave"}),
      MemberField(&s::evacuation_limit,
                  {.name = "evacuation_limit_ms",
                   .type = type::kWhole,
                   .unit = "milliseconds",
                   .minimum = 100,
                   .maximum = 3600000,
                   .meaning = "No new work may reach a failure domain that "
                              "long after its evacuation"}),
      MemberField(&s::settle_limit,
                  {.name = "settle_limit_ms",
                   .type = type::kWhole,
                   .unit = "milliseconds",
                   .minimum = 100,
                   .maximum = 3600000,
                   .meaning = "All hosts act within it on what one of them "
                              "has learnt of endpoints"}),
      MemberField(&s::cold_rate_factor,
                  {.name = "cold_rate_factor",
                   .type = type::kNumber,
                   .minimum = 0,
                   .maximum = 1000,
                   .meaning = "Calls a second that a cold endpoint may get "
                              "from all hosts, against what its service "
                              "names"}),
      MemberField(&s::cold_rate_extra,
                  {.name = "cold_rate_extra",
                   .type = type::kNumber,
                   .unit = "calls",
                   .minimum = 0,
                   .maximum = 1000000,
                   .meaning = "On top of that, in any second"}),
      MemberField(&s::stop_grace,
                  Seconds("stop_grace_seconds", "How long a stop may take")),
      MemberField(&s::repeat_ratio, {.name = "repeat_ratio",
                                     .type = type::kNumber,
                                     .minimum = 0,
                                     .maximum = 10,
                                     .meaning = "Calls beyond the first of "
                                                "each request, over all hosts, "
                                                "per request"}),
      MemberField(&s::repeat_window,
                  Seconds("repeat_window_seconds",
                          "Window in which repeats are counted")),
      MemberField(&s::repeat_reserve,
                  {.name = "repeat_reserve",
                   .type = type::kNumber,
                   .minimum = 0,
                   .maximum = 1000000,
                   .meaning = "Repeats on top in a window, over all hosts"}),
      MemberField(&s::disabled,
                  {.name = "disabled_mechanisms",
                   .type = type::kText,
                   .meaning = "Decisions that are switched off to measure "
                              "what they are worth, joined by commas"}),
  };
  return kTable;
}

milliseconds FromSeconds(double seconds) {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(seconds));
}

std::vector<std::string> NamesIn(const std::string& text) {
  std::vector<std::string> names;
  for (const auto item : SplitAtCommas(text)) {
    if (!item.empty()) {
      names.emplace_back(item);
    }
  }
  return names;
}

std::string AllMechanisms() {
  std::string names;
  for (const auto& entry : kMechanismNames) {
    names += (names.empty() ? "" : ", ") + std::string(entry.name);
  }
  return names;
}

disabled_mechanisms Disabled(const std::string& names, problem_sink& problems) {
  disabled_mechanisms disabled;
  for (const auto& name : NamesIn(names)) {
    if (const auto one = ValueIn(kMechanismNames, name)) {
      disabled.Add(*one);
    } else {
      problems.Add(
          "disabled_mechanisms",
          "has no mechanism \"" + name + "\"; there are " + AllMechanisms());
    }
  }
  return disabled;
}

/// "DOMAIN=REGION" joined by commas.
std::map<std::string, std::string> Regions(const std::string& text,
                                           problem_sink& problems) {
  std::map<std::string, std::string> regions;
  for (const auto& item : NamesIn(text)) {
    const auto equals = item.find('=');
    if (equals == std::string::npos || equals == 0 ||
        equals + 1 == item.size()) {
      problems.Add("domain_regions", "\"" + item + "\" is no DOMAIN=REGION");
    } else if (!regions.emplace(item.substr(0, equals), item.substr(equals + 1))
                    .second) {
      problems.Add("domain_regions",
                   "has " + item.substr(0, equals) + " twice");
    }
  }
  return regions;
}

gateway_options OptionsOf(const written_settings& written) {
  gateway_options options;
  options.host_name = written.host_name;
  options.failure_domain = written.failure_domain;
  const auto front = ParseListenAddress(written.front);
  options.address = front.address;
  options.front_port = front.port;
  options.status_port = ParseListenAddress(written.status).port;
  if (!written.peer.empty()) {
    options.peer_port = ParseListenAddress(written.peer).port;
  }
  if (!written.relay.empty()) {
    options.relay_port = ParseListenAddress(written.relay).port;
  }
  options.store_address = written.store;
  options.seeds = NamesIn(written.seeds);
  options.max_connections = written.max_connections;
  options.processor_share = written.processor_share;
  options.link_mbps = written.link_mbps;
  options.max_files = written.max_files;
  options.memory_bytes = std::size_t{written.max_memory_mb} << 20U;
  options.leave_limit = milliseconds(written.leave_limit);
  options.evacuation_limit = milliseconds(written.evacuation_limit);
  options.settle_limit = milliseconds(written.settle_limit);
  options.cold = {written.cold_rate_factor, written.cold_rate_extra};
  options.stop_grace = FromSeconds(written.stop_grace);
  options.repeats.ratio = written.repeat_ratio;
  options.repeats.window = FromSeconds(written.repeat_window);
  options.repeats.reserve = written.repeat_reserve;
  return options;
}

}  // namespace

loaded_gateway_settings ReadGatewaySettings(const std::string& text,
                                            const std::string& file) {
  loaded_gateway_settings loaded;
  const yaml_document document = ReadYaml(text, file);
  problem_sink problems(file);
  problems.Take(document.problems);
  written_settings written;
  if (document.root) {
    const std::string top;
    const field_spec spec{.name = "settings", .type = type::kObject};
    problems.Remember(top, document.root->position);
    ReadFields({*document.root, top, spec, problems}, Fields(), written);
  }
  const auto disabled = Disabled(written.disabled, problems);
  const auto regions = Regions(written.regions, problems);
  loaded.problems = problems.Sorted();
  if (loaded.problems.empty()) {
    loaded.content = OptionsOf(written);
    loaded.content.disabled = disabled;
    loaded.content.regions = regions;
  }
  return loaded;
}

field_section GatewaySettingsReference() {
  return SectionOf("gateway settings", Fields());
}

loaded_gateway_settings LoadGatewaySettings(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(stream), {}};
  if (!stream.is_open() || stream.bad()) {
    loaded_gateway_settings failed;
    failed.problems.push_back({file, 0, 0, "", "cannot be read"});
    return failed;
  }
  return ReadGatewaySettings(text, file);
}

}  // namespace slatestall
