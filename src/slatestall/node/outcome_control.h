#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/node/claim_log.h"
#include "slatestall/node/key_directory.h"
#include "slatestall/node/outcome_gate.h"
#include "slatestall/node/outcome_router.h"
#include "slatestall/node/outcome_service.h"
#include "slatestall/policy/claim_tracker.h"

namespace slatestall {

/// @brief The control side of `outcome_service`: carries questions, answers
/// and endings between the requests in hand (`claim_tracker`) and the
/// authorities over their keys (`outcome_router`). Control thread only.
/// @ingroup node
class outcome_control : public std::enable_shared_from_this<outcome_control> {
 public:
  using decision_function = std::function<void(claim_decision)>;
  using lookup_function = std::function<void(key_lookup)>;
  using drained_function = std::function<void(const std::string& successor)>;

  outcome_control(const host_id& self, const outcome_options& options,
                  log_service log, const outcome_peers& peers, now_function now,
                  std::shared_ptr<key_directory> keys,
                  std::shared_ptr<outcome_gate> gate);

  /// @brief Registers with the peer layer.
  void Listen() { router_->Listen(); }

  void Begin(const keyed_request& request, decision_function done);
  void Finish(const keyed_request& request, const stored_outcome& outcome);
  void Release(const keyed_request& request);
  void Lookup(const std::string& workspace, const std::string& key,
              time_point deadline, lookup_function done);
  void Drain(drained_function done);
  void Tick();
  /// @brief Refuses whatever is still open.
  void Stop();

  outcome_counters Counters() const;

 private:
  struct open_lookup {
    time_point deadline;
    lookup_function done;  ///< Null once called.
  };
  using open_lookup_ptr = std::shared_ptr<open_lookup>;

  void Pump();
  bool PumpEnds();
  bool PumpAsks();
  bool PumpDecisions();
  void Ask(const claim_ask& question);
  void Deliver(const tracked_decision& decision);
  void Count(const tracked_decision& decision);
  void TakeLookup(const open_lookup_ptr& lookup, const claim_answer& answer);
  static void Tell(const open_lookup_ptr& lookup, key_lookup told);
  void ExpireLookups(time_point now);
  void DrainStep(time_point now);
  void HandOver(time_point now);
  void HandedOver(const std::optional<host_id>& successor);

  host_id self_;
  outcome_options options_;
  outcome_peers peers_;
  now_function now_;
  std::shared_ptr<key_directory> keys_;
  std::shared_ptr<outcome_gate> gate_;
  std::shared_ptr<claim_log> log_;
  std::shared_ptr<outcome_router> router_;
  claim_tracker tracker_;
  std::map<std::string, decision_function> deciders_;  ///< By request.
  std::vector<open_lookup_ptr> lookups_;
  outcome_counters counters_;
  time_point next_tend_{};
  time_point next_expire_{};
  drained_function drained_;
  time_point drain_since_{};
  time_point next_handover_{};
  time_point handover_until_{};
  bool handing_over_ = false;
  bool pumping_ = false;
};

}  // namespace slatestall
