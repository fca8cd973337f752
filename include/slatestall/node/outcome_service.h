#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"
#include "slatestall/peer/peer_node.h"
#include "slatestall/platform/log_service.h"
#include "slatestall/serve/outcome_guard.h"

namespace slatestall {

/// @brief Bounds and intervals of `outcome_service`.
/// @ingroup node
struct outcome_options {
  std::uint32_t claim_partitions = 8;  ///< As the log says, or none.
  milliseconds flush_interval{50};     ///< Between two appends of a partition.
  std::size_t max_batch_bytes = std::size_t{64} << 10U;  ///< Of one append.
  std::size_t max_key_bytes = 256;
  /// A larger body is not kept: later requests get `kOutcomeUnknown`.
  std::size_t max_outcome_bytes = std::size_t{32} << 10U;
  std::size_t max_home_keys = 200'000;     ///< Used keys of which we are home.
  std::size_t max_indexed_keys = 200'000;  ///< A partition, by its writer.
  std::size_t max_outcome_memory = std::size_t{32} << 20U;  ///< Bodies kept.
  std::size_t max_open_requests = 10'000;  ///< Keyed requests in hand.
  milliseconds key_lifetime{std::chrono::hours{12}};  ///< Of minted keys.
  milliseconds peer_timeout{1000};                    ///< Of one peer call.
  /// How long the platform's log keeps records; 0: not known. Callers' keys
  /// are written again before that, so that they are not forgotten with it.
  std::chrono::seconds log_retention{0};
  /// Seconds since 1970; null: the system's clock.
  std::function<std::int64_t()> wall_clock;
  std::uint64_t key_secret = 0;  ///< Proves minted keys; 0: random.
  bool run_timer = true;         ///< False: the owner calls `Tick`.
};

/// @brief What is known of one incarnation of a host.
enum class host_presence {
  kLive,
  kUnreachable,  ///< Not seen, but not known to have ended.
  kGone,         ///< This incarnation ended: restarted or off the list.
};

/// @brief The part of the peer layer that outcomes need.
struct outcome_peers {
  /// As `peer_node::Call`.
  std::function<void(const std::string& host, wire::messageUnion request,
                     milliseconds timeout, std::function<void(peer_reply)>)>
      call;
  /// As `peer_node::Handle`; called from the constructor.
  std::function<void(wire::message kind, peer_node::call_handler)> handle;
  /// Names of the hosts believed live, this one too.
  std::function<std::vector<std::string>()> live_hosts;
  std::function<host_presence(const host_id&)> presence;
  /// What `Drain` gave to a drained incarnation, from its digest; nothing
  /// while it has not drained.
  std::function<std::optional<std::string>(const host_id&)> successor;
};

/// @brief Counts since start, and sizes now.
struct outcome_counters {
  std::uint64_t granted = 0;   ///< Decisions `kRun`.
  std::uint64_t answered = 0;  ///< Decisions `kAnswered`.
  std::uint64_t refused = 0;   ///< Decisions `kRefused`.
  std::uint64_t outcome_unknown = 0;
  std::uint64_t claim_unavailable = 0;
  std::uint64_t in_progress = 0;
  std::uint64_t minted = 0;
  std::uint64_t log_appends = 0;
  std::uint64_t log_appends_unknown = 0;  ///< Answers lost.
  std::uint64_t claims_appended = 0;
  std::uint64_t peer_claims = 0;  ///< Claims asked of other hosts.
  /// Callers' keys left to expire with the log, since the table was half full.
  std::uint64_t keys_not_carried = 0;
  std::size_t home_keys = 0;
  std::size_t indexed_keys = 0;
  std::size_t outcome_bytes = 0;
  std::size_t open_requests = 0;
  std::size_t ends_pending = 0;  ///< Ends and releases not yet stored.
};

/// @brief Runs non-idempotent requests at most once over all hosts; see
/// docs/design/at-most-once.md. Members are used from the control thread
/// only; the hooks of `Guard` may be called from any thread.
class outcome_service {
 public:
  /// @param now Monotonic clock; also called from traffic threads.
  outcome_service(asio::io_context& control, const host_id& self,
                  const outcome_options& options, log_service log,
                  const outcome_peers& peers, now_function now);
  ~outcome_service();
  outcome_service(const outcome_service&) = delete;
  outcome_service& operator=(const outcome_service&) = delete;

  /// @brief Hooks for the front. They outlive the service safely: afterwards
  /// every request is refused.
  outcome_guard Guard();

  /// @brief Hands this host's keys to another host once no request of this
  /// host runs any more; new claims are refused as draining from now on.
  /// @param done Gets the successor, "host.incarnation", to publish as it is
  /// in the digest; empty where there is none or nothing to hand over.
  void Drain(std::function<void(const std::string& successor)> done);

  outcome_counters Counters() const;

  /// @brief Does what is due. Its own timer calls it unless `run_timer` is
  /// false.
  void Tick();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
