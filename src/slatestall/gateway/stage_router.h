#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "slatestall/dispatch/home_health.h"
#include "slatestall/dispatch/home_ranking.h"
#include "slatestall/dispatch/moving_average.h"
#include "slatestall/gateway/gateway_environment.h"
#include "slatestall/gateway/host_directory.h"
#include "slatestall/gateway/stage_calls.h"
#include "slatestall/gateway/stage_home.h"
#include "slatestall/peer/peer_node.h"

namespace slatestall {

/// @brief Sends the pieces of this host's requests to the homes of their
/// shards, and serves as home for other hosts.
///
/// All hosts' pieces for an endpoint meet at one home, where they share calls.
/// A home that is lost costs time and some work done twice, which pieces allow;
/// a host that reaches no other is home to everything itself.
/// @ingroup gateway
class stage_router {
 public:
  stage_router(gateway_environment& environment, stage_home& home,
               peer_node& peers);
  ~stage_router();
  stage_router(const stage_router&) = delete;
  stage_router& operator=(const stage_router&) = delete;

  stage_calls Calls();
  void SetHosts(std::vector<listed_gateway> hosts);
  /// @brief Endpoints or the configuration changed.
  void Refresh();
  /// @brief Other hosts are to choose another home.
  void Drain() { draining_ = true; }
  /// @brief Orders of other hosts that are not yet answered.
  std::size_t Serves() const { return served_.size(); }
  /// @brief The host to read the store through; empty: this one reads itself.
  std::string Reader() const;
  /// @brief Hosts that may know what the store does not tell this one now.
  std::vector<std::string> Sources() const;

 private:
  struct order;
  using order_ptr = std::shared_ptr<order>;

  stage_number Submit(const stage_shard& shard, piece_group group,
                      std::function<void(stage_outcome)> done);
  void Book(std::vector<stage_need> needs,
            std::function<void(booking_answer)> done);
  void Release(const std::vector<stage_need>& needs);
  void Cancel(stage_number number);
  void Free(const std::vector<std::string>& handles);
  duration UsualTime(const std::string& service) const;

  stage_shard ShardFor(const std::string& service, const std::string& request,
                       const std::string& near) const;
  std::vector<std::string> DomainsOf(const std::string& service) const;
  double Crowding(const stage_shard& shard) const;
  std::string HomeOf(const stage_shard& shard) const;
  void Place(const order_ptr& placed);
  void PlaceAt(const std::string& host, const order_ptr& placed);
  void OnReply(const order_ptr& placed, const std::string& host,
               const peer_reply& reply);
  void OnLocal(const order_ptr& placed, stage_outcome outcome);
  void Conclude(const order_ptr& placed, stage_outcome outcome);

  void ServePeers();
  void TakeBooking(const wire::book_stageT& booking,
                   const std::function<void(wire::messageUnion)>& reply);
  void TakeSubmit(const wire::submit_piecesT& submit, const std::string& from,
                  const std::function<void(wire::messageUnion)>& reply);
  void Tick();
  std::vector<std::string> Wanted(const stage_shard& shard,
                                  std::size_t count) const;
  void Ask(const std::string& host);
  void Lose(const std::string& host, const char* why);
  const std::vector<std::string>& Ranked(const stage_shard& shard) const;
  std::vector<stage_shard> Shards() const;
  std::vector<std::string> Readers() const;
  std::vector<peer_address> Contacts() const;

  gateway_environment& environment_;
  stage_home& home_;
  peer_node& peers_;
  const std::string self_;
  std::vector<home_candidate> hosts_;  ///< With this one.
  mutable std::map<stage_shard, std::vector<std::string>> rankings_;
  home_health health_;
  std::map<stage_shard, std::pair<std::string, std::size_t>> told_waiting_;
  std::map<std::string, moving_average> usual_times_;  ///< Seconds, by service.
  std::map<stage_number, order_ptr> orders_;
  stage_number next_number_ = 1;
  /// Of other hosts' orders, so that they can be cancelled.
  std::map<std::tuple<std::string, std::string, unsigned>, stage_number>
      served_;
  bool draining_ = false;
  asio::steady_timer tick_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
