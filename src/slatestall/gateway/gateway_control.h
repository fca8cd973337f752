#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "slatestall/gateway/crash_feed.h"
#include "slatestall/gateway/decision_log.h"
#include "slatestall/gateway/endpoint_listing.h"
#include "slatestall/gateway/evacuation_list.h"
#include "slatestall/gateway/gateway_options.h"
#include "slatestall/gateway/host_directory.h"
#include "slatestall/gateway/platform_link.h"
#include "slatestall/gateway/topic_follower.h"
#include "slatestall/gateway/version_history.h"

namespace slatestall {

/// @brief What the control thread tells; called on it.
/// @ingroup gateway
struct control_news {
  std::function<void(routing_table_ptr)> on_configuration;
  /// The first time, all that are listed.
  std::function<void(listing_changes)> on_endpoints;
  std::function<void(std::vector<listed_gateway>)> on_hosts;
  std::function<void(const host_census&)> on_census;
  crash_news crashes;
  /// What the store holds and nobody can read, to be counted.
  std::function<void(std::string_view what)> on_unreadable;
};

/// @brief Follows the configuration, evacuations and the list of endpoints.
///
/// A configuration never gives way to an older one. The whole of each
/// configuration is taken or, where it cannot be read, none of it. Evacuations
/// are told with the endpoints, and before a configuration read with them: a
/// host that starts knows them before it serves.
class gateway_control {
 public:
  gateway_control(asio::io_context& context, const gateway_options& options,
                  platform_link link, decision_log& log, now_function now,
                  control_news news);

  void Start();
  /// @brief Other hosts are to know.
  void Report(const endpoint_crash& crash) { crashes_.Report(crash); }
  void Tell(const content_notice& notice) { crashes_.Tell(notice); }
  /// @brief Reads the list of endpoints on, and finds the only version of a
  /// service that it has shown for some time.
  /// @param done Runs after changes of the list were passed on; gets nothing
  /// where there were several, or the store does not say.
  void FindOnlyVersion(
      const std::string& service, milliseconds time,
      std::function<void(const std::optional<std::string>&)> done);

 private:
  std::vector<evacuation_record> DecodeEvacuations(
      const std::vector<keyed_record>& records) const;
  void TakeOfOperator(const std::vector<keyed_record>& records,
                      bool evacuations_changed);
  void TakeConfiguration(const std::vector<keyed_record>& records);
  void TakeAllEndpoints(const std::vector<keyed_record>& records);
  void TakeRestoredEndpoints(const std::vector<keyed_record>& records);
  std::vector<known_endpoint> DecodeAll(
      const std::vector<keyed_record>& records);
  void TakeEndpointChanges(const std::vector<keyed_record>& records);
  std::optional<known_endpoint> Decode(const keyed_record& record);
  std::optional<known_endpoint> FindUsable(const std::string& id);
  bool IsUsable(const known_endpoint& endpoint) const;
  void PassOnRecorded();
  void PublishEndpoints();
  void PassOn(listing_changes changes);
  void NoteListedVersions();
  void NoteListedUntilNow(const std::string& id);
  void LogChanges(const listing_changes& changes);
  void OnRead(const char* what, bool& reachable, const keyed_read& read);

  platform_link link_;
  decision_log& log_;
  now_function now_;
  control_news news_;
  endpoint_listing listing_;
  version_history versions_;
  evacuation_list evacuations_;
  passed_listing passed_;
  bool has_published_ = false;
  bool held_ = false;  ///< Listed endpoints wait for a record of their version.
  std::int64_t version_ = -1;
  bool configuration_reachable_ = true;
  bool endpoints_reachable_ = true;
  topic_follower configuration_;
  topic_follower endpoints_;
  host_directory hosts_;
  crash_feed crashes_;
};

}  // namespace slatestall
