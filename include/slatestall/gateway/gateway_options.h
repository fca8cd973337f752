#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "slatestall/dispatch/cold_terms.h"
#include "slatestall/dispatch/mechanism.h"
#include "slatestall/dispatch/repeat_allowance.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What one gateway host is told at its start.
/// @ingroup gateway
struct gateway_options {
  std::string host_name;
  std::string failure_domain;
  /// Region of each failure domain; empty: there is one region.
  std::map<std::string, std::string> regions;
  std::string address;  ///< IP that it listens on.
  std::uint16_t front_port = 0;
  std::uint16_t status_port = 0;   ///< Readiness and metrics.
  std::uint16_t peer_port = 0;     ///< Other hosts.
  std::uint16_t relay_port = 0;    ///< Their calls to endpoints; 0: any.
  std::string store_address;       ///< "IP:port".
  std::vector<std::string> seeds;  ///< "IP:port" of other hosts; may be stale.
  std::size_t max_connections = 1024;
  std::size_t memory_bytes = 0;
  std::size_t max_files = 0;     ///< Descriptors of the process; 0: not known.
  double processor_share = 1.0;  ///< Of a core that the process may use.
  double link_mbps = 1000.0;     ///< Of the host's network link.

  /// @brief How much of the hosts' common work it can do: calls of homes carry
  /// megabytes a second, and on a narrow link they wait for one another.
  double Weight() const {
    constexpr double kAmpleLink = 100.0;
    return processor_share * std::min(1.0, link_mbps / kAmpleLink);
  }
  /// @brief Where hosts other than this one may answer.
  std::vector<std::string> OtherSeeds() const {
    std::vector<std::string> others = seeds;
    std::erase(others, address + ":" + std::to_string(peer_port));
    return others;
  }

  /// @returns empty where it is not known.
  std::string RegionOf(const std::string& domain) const {
    const auto found = regions.find(domain);
    return found == regions.end() ? std::string() : found->second;
  }

  bool Uses(mechanism one) const { return !disabled.Has(one); }

  disabled_mechanisms disabled;
  repeat_limits repeats;
  /// No new work may reach an endpoint that long after it began to leave.
  milliseconds leave_limit{2000};
  /// No new work may reach a failure domain that long after its evacuation.
  milliseconds evacuation_limit{5000};
  /// All hosts act within it on what one of them has learnt of endpoints.
  milliseconds settle_limit{3000};
  cold_terms cold;
  /// How long endpoints and the operator take to write again what a store that
  /// came back from an older copy has lost.
  milliseconds restore_time{6000};
  /// A stop may take as long.
  milliseconds stop_grace{8000};
  /// How long the balancer sends requests to a host that is not ready.
  milliseconds balancer_lag{3000};
};

}  // namespace slatestall
