#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/dispatch/repeat_reserve.h"
#include "slatestall/gateway/decision_log.h"
#include "slatestall/gateway/gateway_options.h"
#include "slatestall/gateway/host_entry.h"
#include "slatestall/gateway/platform_link.h"
#include "slatestall/gateway/topic_follower.h"

namespace slatestall {

/// @brief Other hosts of the system, as they announce themselves in the
/// platform's store. Which of them live is found out by asking them.
/// @ingroup gateway
class host_directory {
 public:
  using hosts_hook = std::function<void(std::vector<listed_gateway>)>;
  using census_hook = std::function<void(const host_census&)>;

  host_directory(asio::io_context& context, const gateway_options& options,
                 const platform_link& link, decision_log& log, now_function now,
                 hosts_hook on_hosts, census_hook on_census);

  void Start();

 private:
  struct entry {
    listed_gateway listed;
    time_point renewed{};
  };

  void Announce();
  void Follow();
  void AnnounceAfter(milliseconds delay);
  void NoteEra(std::uint64_t era);
  void Take(const std::vector<keyed_record>& records);
  void Publish();
  keyed_topic Timed(const keyed_topic& topic);

  const gateway_options& options_;
  const duration entry_life_;  ///< Without a renewal.
  keyed_writer announce_;
  decision_log& log_;
  now_function now_;
  hosts_hook on_hosts_;
  census_hook on_census_;
  std::map<std::string, entry> entries_;
  std::vector<listed_gateway> published_;
  bool follows_ = false;
  time_point read_began_{};
  std::uint64_t era_ = 0;  ///< Of the store's history, as last seen.
  host_census census_;
  asio::steady_timer timer_;
  asio::steady_timer follow_timer_;
  topic_follower follower_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
