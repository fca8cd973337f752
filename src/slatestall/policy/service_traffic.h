#pragma once

#include <map>
#include <string>

#include "slatestall/policy/endpoint_choice.h"
#include "slatestall/policy/endpoint_set.h"
#include "slatestall/policy/stage_pool.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief Everything one traffic thread keeps of one service: its endpoints,
/// and the calls to them by model.
class service_traffic {
 public:
  explicit service_traffic(const traffic_policy_options& options);

  void Update(const service_view& view, std::uint32_t live_hosts,
              time_point now);
  void Remove() { endpoints_.UnlistAll(); }
  /// @brief Whether nothing is in flight or waiting.
  bool Idle() const;

  service_kind Kind() const { return kind_; }
  bool Repeatable() const { return repeatable_; }
  /// @brief Threads over all hosts among which the endpoints are shared.
  double Sharers() const { return sharers_; }
  endpoint_set& Endpoints() { return endpoints_; }
  const endpoint_set& Endpoints() const { return endpoints_; }
  endpoint_choice& Choice() { return choice_; }

  /// @brief The pool of a model ("name@version", or empty), made on demand.
  stage_pool& Pool(const std::string& model);
  /// @brief The same with its capacity up to date.
  stage_pool& FreshPool(const std::string& model, const domain_circuit& circuit,
                        time_point now);
  std::map<std::string, stage_pool>& Pools() { return pools_; }

  /// @brief Ejects `state` if it deserves that and enough others are left.
  /// @param at_most_once Whether the call that ended could not be sent again.
  void JudgeHealth(endpoint_state& state, bool at_most_once, time_point now);

 private:
  bool MayEjectOneMore(time_point now) const;

  traffic_policy_options options_;
  double sharers_ = 1;
  service_kind kind_ = service_kind::kPlain;
  bool repeatable_ = true;
  endpoint_set endpoints_;
  endpoint_choice choice_;
  std::map<std::string, stage_pool> pools_;
};

}  // namespace slatestall
