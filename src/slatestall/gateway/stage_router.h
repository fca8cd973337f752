#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "slatestall/dispatch/home_finder.h"
#include "slatestall/dispatch/moving_average.h"
#include "slatestall/dispatch/reader_tree.h"
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
  void Drain() { homes_.Drain(); }
  /// @brief The limits on repeats have changed: nothing that was lent or
  /// granted under the old ones counts.
  void RenewPool();
  /// @brief Orders of other hosts that are not yet answered.
  std::size_t Serves() const { return served_.size(); }
  /// @brief Where this host learns what is in the store.
  reading_place ReadingPlace() const;
  /// @brief Whether too many hosts are listed for all to read the store.
  bool IsLargeFleet() const { return !tree_.IsFlat(); }
  std::size_t Hosts() const { return tree_.Hosts(); }
  void NoteStore(bool answered) {
    tree_.NoteStore(answered, environment_.now());
  }
  /// @brief Hosts that may know what the store does not tell this one now.
  std::vector<std::string> Sources() const;

 private:
  struct order;
  using order_ptr = std::shared_ptr<order>;
  using home_use = std::function<void(const std::string& home)>;
  /// Work for a home that is not known yet.
  struct waiting_use {
    stage_shard shard;
    time_point until{};
    home_use use;
  };

  stage_number Submit(const stage_shard& shard, piece_group group,
                      std::function<void(stage_outcome)> done);
  void Book(std::vector<stage_need> needs,
            std::function<void(booking_answer)> done);
  void Release(const std::vector<stage_need>& needs);
  void Cancel(stage_number number);
  void Free(const std::vector<std::string>& handles);
  duration UsualTime(const std::string& service) const;

  stage_shard ShardFor(const std::string& service, const std::string& request,
                       const std::string& near,
                       const region_limit& regions) const;
  std::vector<std::string> DomainsOf(const std::string& service) const;
  void CountUsable();
  void NoteUse(const std::string& home);
  double Crowding(const stage_shard& shard) const;
  std::optional<std::string> HomeOf(const stage_shard& shard) const;
  void WithHome(const stage_shard& shard, home_use use);
  void ServeWaiting();
  bool IsLive(const stage_shard& shard) const;
  void MoveStrandedSoon();
  void MoveStranded();
  void Withdraw(const order& placed);
  void Place(const order_ptr& placed);
  void PlaceHere(const order_ptr& placed);
  void PlaceAt(const std::string& host, const order_ptr& placed);
  void OnReply(const order_ptr& placed, const std::string& host,
               const peer_reply& reply);
  bool AreResults(const std::vector<std::string>& handles,
                  std::size_t pieces) const;
  void OnLocal(const order_ptr& placed, stage_outcome outcome);
  void Conclude(const order_ptr& placed, stage_outcome outcome);

  void ServePeers();
  void TakeBooking(const wire::book_stageT& booking,
                   const std::function<void(wire::messageUnion)>& reply);
  void TakeSubmit(const wire::submit_piecesT& submit, const std::string& from,
                  const std::function<void(wire::messageUnion)>& reply);
  void Tick();
  void NoteTraffic(time_point now);
  void AskDue();
  void Ask(const std::string& host);
  void TakeStatus(const std::string& host,
                  const wire::home_status_replyT& status);
  void AskPool(time_point now);
  void TakeGrants(const std::string& pool, const reserve_answer& answer,
                  time_point asked);
  void Lose(const std::string& host, const char* why);
  std::vector<stage_shard> Shards() const;
  std::string Pool() const;
  std::vector<peer_address> Contacts() const;

  gateway_environment& environment_;
  stage_home& home_;
  peer_node& peers_;
  const std::string self_;
  home_finder homes_;
  reader_tree tree_;
  /// When this host last had work for each home, of late.
  std::map<std::string, time_point> used_at_;
  /// Endpoints that take work, by service and failure domain.
  std::map<std::string, std::map<std::string, std::size_t>> usable_;
  std::vector<waiting_use> waiting_;
  reserve_pool pool_;
  time_point own_pool_asked_{};
  time_point traffic_noted_{};
  std::map<stage_shard, std::pair<std::string, std::size_t>> told_waiting_;
  std::map<std::string, moving_average> usual_times_;  ///< Seconds, by service.
  std::map<stage_number, order_ptr> orders_;
  stage_number next_number_ = 1;
  /// Of other hosts' orders, so that they can be cancelled.
  std::map<std::tuple<std::string, std::string, unsigned>, stage_number>
      served_;
  asio::steady_timer tick_;
  asio::steady_timer stranded_timer_;
  bool moves_stranded_soon_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
