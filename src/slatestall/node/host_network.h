#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/node/host_status.h"
#include "slatestall/peer/gossip_exchange.h"
#include "slatestall/peer/peer_node.h"
#include "slatestall/platform/host_list.h"
#include "slatestall/policy/membership_view.h"
#include "slatestall/policy/share_allocator.h"
#include "slatestall/policy/share_divider.h"

namespace slatestall {

/// @brief Drives what hosts tell each other: membership, leaving endpoints,
/// the configuration head, and shares of workspace limits. Used from the
/// control thread.
class host_network {
 public:
  /// @param peers Outlives this object.
  /// @param on_change Members, notices, head or shares changed.
  host_network(asio::io_context& context, peer_node& peers,
               const member_digest& self, now_function now,
               std::function<void()> on_change);

  void Start();

  void UseHostList(const std::vector<listed_host>& hosts);
  void UseConfiguration(const accepted_configuration_ptr& configuration);
  void SetDraining();
  void SetDrained(const std::string& successor);
  /// @brief This host saw an endpoint leave.
  void NoteLeaving(const std::string& address);
  void UseDemand(const std::map<std::string, workspace_demand>& demand);

  const membership_view& Members() const { return members_; }
  /// @brief Leaving endpoints that any host told of.
  std::vector<endpoint_observation> Notices() const;
  config_revision HeadHeardOf() const { return exchange_.Head(); }
  std::map<std::string, workspace_share> Shares() const;
  /// @brief Hosts that a status may be asked of, this one excluded.
  std::vector<peer_address> Peers() const;

 private:
  void ScheduleTick();
  void OnTick();
  void OncePerSecond();
  void Exchange();
  void AskForShares();
  void SendAsk(const std::string& allocator,
               const std::vector<share_request>& requests);
  wire::share_answerT AnswerAsk(const wire::share_askT& ask,
                                const std::string& from);
  void TakeAnswer(const std::vector<share_request>& requests,
                  const wire::share_answerT* answer, time_point asked_at);
  const std::string* NameOf(std::uint64_t workspace) const;
  void RefreshHosts();
  void TellChanges();

  peer_node& peers_;
  const std::string self_;
  const now_function now_;
  const std::function<void()> on_change_;
  asio::steady_timer timer_;
  membership_view members_;
  gossip_exchange exchange_;
  share_divider divider_;
  share_allocator allocator_;
  accepted_configuration_ptr configuration_;
  std::map<std::uint64_t, std::string> workspace_names_;  ///< By hash.
  time_point next_second_{};
  std::uint64_t changes_told_ = 0;
};

}  // namespace slatestall
