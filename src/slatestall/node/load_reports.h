#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "slatestall/http/http_client.h"
#include "slatestall/model/told_load.h"
#include "slatestall/node/endpoint_directory.h"
#include "slatestall/node/endpoint_poller.h"
#include "slatestall/node/prefix_cache_index.h"

namespace slatestall {

/// @brief What decides which endpoints a host uses and polls.
struct load_reports_scope {
  std::string host;
  std::string failure_domain;
  std::vector<std::string> live_hosts;
  std::size_t known_hosts = 1;
  std::vector<std::string> ordered_services;
};

struct load_reports_hooks {
  /// Traffic threads should see what changed, soon.
  std::function<void()> on_change;
  /// An endpoint was found to leave, or to be back.
  std::function<void(const std::string& address, bool leaving)> on_leaving;
};

/// @brief Loads and cache hints of endpoints: told with answers, and asked for
/// where nothing was told. Writes them into the directory.
class load_reports {
 public:
  /// @param client, directory Outlive this object.
  load_reports(asio::io_context& context, http_client& client, now_function now,
               endpoint_directory& directory, load_reports_hooks hooks);

  /// @brief Chooses anew what is used and polled.
  void Choose(const load_reports_scope& scope);
  /// @brief Takes what answers told, by address.
  void TakeTold(const std::map<std::string, told_load>& loads);

  /// @brief Endpoints of this host's use.
  const std::set<std::string>& Used() const { return used_; }

 private:
  std::set<std::string> AllEndpoints() const;
  std::string PathFor(const std::string& address) const;
  void OnPolled(const std::string& address, time_point asked,
                const http_result& answer);
  void Tell(const std::string& address, bool leaving_changed,
            std::uint64_t changes_before);

  now_function now_;
  endpoint_directory& directory_;
  load_reports_hooks hooks_;
  prefix_cache_index caches_;
  std::set<std::string> used_;
  std::set<std::string> engines_;  ///< Of those used, whose caches matter.
  std::map<std::string, std::string> versions_;  ///< Of the last report.
  endpoint_poller poller_;
};

}  // namespace slatestall
