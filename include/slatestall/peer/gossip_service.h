#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/model/time.h"
#include "slatestall/peer/gossip_exchange.h"
#include "slatestall/peer/peer_node.h"
#include "slatestall/policy/membership_view.h"

namespace slatestall {

struct gossip_service_options {
  membership_options membership;
  gossip_options exchange;
  milliseconds call_timeout{1'000};
};

/// @brief Keeps this host's view of the others up to date by exchanging news
/// with a few of them each round. Used from the thread that runs `context`
/// only; `peers` outlives it.
/// @ingroup peer
class gossip_service {
 public:
  /// @param self Name, version (sequence 0), peer address, failure domain.
  /// @param on_change Members, endpoint notices or the head changed.
  gossip_service(asio::io_context& context, peer_node& peers, now_function now,
                 member_digest self, const gossip_service_options& options,
                 std::function<void()> on_change);
  ~gossip_service();
  gossip_service(const gossip_service&) = delete;
  gossip_service& operator=(const gossip_service&) = delete;

  void Start();

  // Commands.

  /// @brief Takes a fetched host list; the known peers of `peers` follow from
  /// it and from what other hosts say.
  void UseList(const std::vector<listed_member>& list);
  /// @brief This host has put a configuration in force.
  void SetRevision(config_revision revision);
  void SetDraining();
  /// @param successor What the hosts give out for this run's keys.
  void SetDrained(const std::string& successor);
  /// @brief This host saw an endpoint leaving, or slow.
  void NoteEndpoint(const std::string& address, wire::notice_kind kind);

  // Queries.

  const membership_view& View() const;
  std::vector<endpoint_observation> Notices() const;
  /// @brief Highest configuration head any host is known to have heard of.
  config_revision Head() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

/// @brief The generation of a run that starts now: seconds since 1970.
std::uint32_t GenerationNow();

}  // namespace slatestall
