#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "slatestall/model/load_report.h"
#include "slatestall/model/told_load.h"
#include "slatestall/platform/host_list.h"
#include "slatestall/policy/control_snapshot.h"

namespace slatestall {

/// @brief Every endpoint of the configured services with what is known of it:
/// from the configuration, the host list, its own answers and peers.
class endpoint_directory {
 public:
  void UseConfiguration(accepted_configuration_ptr configuration);
  void UseHostList(const std::vector<listed_host>& hosts, time_point now);

  /// @brief What an endpoint answered to GET /load.
  /// @return Whether it turned out to leave, or to be back.
  bool TakeLoad(const std::string& address, load_report load);
  /// @brief An endpoint answered that its report is as last time.
  /// @param asked When the question was sent.
  /// @return As `TakeLoad`.
  bool TakeSameLoad(const std::string& address, time_point asked);
  /// @brief An answer told counts. They change what was reported before they
  /// were told, and nothing of an endpoint that has not reported yet.
  /// @return As `TakeLoad`.
  bool TakeTold(const std::string& address, const told_load& load);
  /// @brief An endpoint, or a peer for it, said that it leaves.
  /// @param said When it was said.
  /// @return Whether that is new.
  bool MarkLeaving(const std::string& address, time_point said);
  /// @brief Hints of what an engine's prefix cache holds.
  void TakeCachedPrefixes(
      const std::string& address,
      std::shared_ptr<const std::vector<std::uint64_t>> prefixes);

  /// @brief Grows when loads or hints change in a way that matters to routing.
  /// A report that an endpoint is as idle as before does not.
  std::uint64_t Changes() const { return changes_; }
  bool IsLeaving(const std::string& address) const;

  /// @brief The services as the traffic threads are to see them.
  /// @param used Endpoints of this host's use; nothing: all.
  std::map<std::string, service_view> Views(
      const std::optional<std::set<std::string>>& used) const;

  /// @brief Endpoints by service.
  const std::map<std::string, std::vector<endpoint>>& Services() const {
    return endpoints_;
  }
  const accepted_configuration_ptr& Configuration() const {
    return configuration_;
  }

 private:
  std::vector<endpoint> EndpointsOf(const service_config& service) const;
  std::vector<endpoint> ListedOf(const std::string& service) const;
  bool AnswersLately(const std::string& address) const;
  void Rebuild();

  accepted_configuration_ptr configuration_;
  std::vector<listed_host> listed_;
  time_point listed_at_{};
  std::map<std::string, std::vector<endpoint>> endpoints_;  ///< By service.
  std::map<std::string, load_report> loads_;                ///< By address.
  std::map<std::string, time_point> said_leaving_;          ///< By address.
  std::map<std::string, time_point> back_;  ///< When leaving was taken back.
  std::map<std::string, std::shared_ptr<const std::vector<std::uint64_t>>>
      prefixes_;
  std::uint64_t changes_ = 0;
};

}  // namespace slatestall
