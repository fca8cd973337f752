#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "slatestall/model/name_table.h"
#include "slatestall/peer/peer_node.h"

namespace slatestall {

/// @brief Whom control traffic goes to.
enum class control_party { kPeers, kEndpoints, kLog, kHostList, kWeightStore };

inline constexpr name_table<control_party, 5> kControlPartyNames{{
    {control_party::kPeers, "peers"},
    {control_party::kEndpoints, "endpoints"},
    {control_party::kLog, "log"},
    {control_party::kHostList, "host_list"},
    {control_party::kWeightStore, "weight_store"},
}};

/// @brief Bytes of control traffic by whom they are exchanged with, without
/// headers of TCP/IP. Written by the control thread, read by any.
class control_traffic {
 public:
  control_traffic(std::string log_url, std::string host_list_url,
                  std::string weight_store_url);

  void CountCall(const std::string& url, std::uint64_t sent,
                 std::uint64_t received);
  /// @brief Takes the counts of the peers as they stand.
  void UsePeers(const peer_node& peers);

  /// @brief Lines for /metrics.
  std::string Metrics() const;

 private:
  struct counts {
    std::atomic<std::uint64_t> messages{0};  ///< Calls, or peers' frames.
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
  };

  counts& Of(control_party party) {
    return counts_.at(static_cast<std::size_t>(party));
  }
  control_party PartyOf(const std::string& url) const;

  const std::string log_prefix_;
  const std::string list_prefix_;
  const std::string weights_prefix_;
  std::array<counts, kControlPartyNames.size()> counts_;
};

}  // namespace slatestall
