#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/dispatch/repeat_reserve.h"
#include "slatestall/gateway/decision_log.h"
#include "slatestall/gateway/gateway_options.h"
#include "slatestall/gateway/host_entry.h"
#include "slatestall/gateway/platform_link.h"
#include "slatestall/gateway/topic_follower.h"
#include "slatestall/gateway/version_ledger.h"

namespace slatestall {

/// @brief Other hosts of the system, as they announce themselves in the
/// platform's store, and the software versions that they record there. Which
/// of them live is found out by asking them.
///
/// The topic is read before this host announces itself: its entry would hide
/// that of an earlier process, which may have begun streams.
/// @ingroup gateway
class host_directory {
 public:
  using hosts_hook = std::function<void(std::vector<listed_gateway>)>;
  using census_hook = std::function<void(const host_census&)>;
  struct version_hooks {
    /// Calls `NoteListed` for all endpoints in use, before a record is written.
    std::function<void()> note_listed;
    /// `IsRecorded` may have become true.
    std::function<void()> on_recorded;
  };
  using version_hook = std::function<void(const std::optional<std::string>&)>;

  host_directory(asio::io_context& context, const gateway_options& options,
                 const platform_link& link, decision_log& log, now_function now,
                 hosts_hook on_hosts, census_hook on_census,
                 version_hooks versions);

  void Start();
  /// @brief An endpoint of that version is listed; it is to be recorded.
  void NoteListed(const std::string& service, const std::string& version);
  /// @brief Whether endpoints of that version may be used.
  bool IsRecorded(const std::string& service, const std::string& version) const;
  /// @brief Finds the only version of a service at which some host may have
  /// begun streams, `time` ago or later.
  /// @param done Gets nothing where there were several, or the records do not
  /// say.
  void FindOnlyVersion(const std::string& service, milliseconds time,
                       version_hook done);

 private:
  struct entry {
    listed_gateway listed;
    time_point renewed{};
  };

  void Announce();
  void AnnounceAfter(milliseconds delay);
  void NoteEra(std::uint64_t era);
  void OnRead(const keyed_read& read);
  void Take(const std::vector<keyed_record>& records);
  void TakeHost(const keyed_record& record);
  void TakeVersions(const std::string& host,
                    const std::optional<std::string>& value);
  void BeginOwnVersions();
  bool TellsVersions() const;
  void AnnounceVersions();
  void RecordAfter(milliseconds delay);
  void Record();
  void OnRecorded(const version_record& record, store_outcome outcome);
  void Maintain();
  void DeleteOutlived();
  void Publish();
  keyed_topic Timed(const keyed_topic& topic);

  const gateway_options& options_;
  const duration entry_life_;  ///< Without a renewal.
  keyed_writer announce_;
  decision_log& log_;
  now_function now_;
  hosts_hook on_hosts_;
  census_hook on_census_;
  version_hooks versions_;
  std::map<std::string, entry> entries_;
  std::vector<listed_gateway> published_;
  bool tells_versions_ = false;  ///< The own entry says that they are recorded.
  bool is_announced_ = false;    ///< By this process.
  bool was_listed_ = false;      ///< By an earlier one of this name.
  bool read_by_itself_ = false;  ///< The last read was the store's answer.
  time_point read_began_{};
  std::uint64_t era_ = 0;  ///< Of the store's history, as last seen.
  host_census census_;
  version_ledger ledger_;
  own_versions own_;
  std::optional<version_record> recorded_;  ///< What the store holds of `own_`.
  bool records_ = false;                    ///< A write is under way or due.
  const duration outlived_after_;
  asio::steady_timer timer_;
  asio::steady_timer follow_timer_;
  asio::steady_timer record_timer_;
  asio::steady_timer maintain_timer_;
  topic_follower follower_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
