#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "slatestall/policy/domain_circuit.h"
#include "slatestall/policy/endpoint_set.h"
#include "slatestall/policy/prefix_memory.h"
#include "slatestall/policy/random_generator.h"

namespace slatestall {

/// @brief What a choice of endpoint depends on.
struct choice_request {
  const std::vector<std::uint64_t>* prefixes = nullptr;  ///< Shortest first.
  const std::vector<std::string>* tried = nullptr;
  std::string adapter;
  double service_time = 0;  ///< Seconds a call of this stage takes.
  double mean_time = 0;     ///< Seconds a call of this service takes.
  double prefix_time = 0;   ///< Seconds a fully cached prompt would save.
};

/// @brief Chooses among endpoints by expected time to the answer.
class endpoint_choice {
 public:
  /// @param failure_domain Of this host; empty: all are equally near.
  /// @param slow_start Whether returned endpoints get work only gradually.
  endpoint_choice(routing_rule rule, std::string failure_domain,
                  bool slow_start = true);

  /// @brief The endpoint to use, or null where each one is leaving or tried.
  endpoint_state* Choose(const endpoint_set::candidates& candidates,
                         const choice_request& request,
                         const domain_circuit& circuit,
                         random_generator& random, time_point now);

  /// @brief Share of the prompt that the endpoint is believed to hold.
  double CachedShare(const endpoint_state& state,
                     const choice_request& request) const;

  /// @brief Remembers where a prompt went.
  void Sent(const std::vector<std::uint64_t>& prefixes,
            const std::string& address);

 private:
  enum class fitness { kUnusable, kLastResort, kGood };

  struct draw_state {
    endpoint_state* best = nullptr;
    double score = 0;
  };

  static fitness Fitness(const endpoint_state& state,
                         const choice_request& request,
                         const domain_circuit& circuit, time_point now);
  endpoint_state* NextInTurn(const endpoint_set::candidates& candidates,
                             const choice_request& request,
                             const domain_circuit& circuit, time_point now);
  endpoint_state* LeastInFlight(const endpoint_set::candidates& candidates,
                                const choice_request& request,
                                const domain_circuit& circuit, time_point now);
  endpoint_state* BestOfAll(const endpoint_set::candidates& candidates,
                            const choice_request& request,
                            const domain_circuit& circuit, fitness least,
                            time_point now) const;
  endpoint_state* BestOfSome(const endpoint_set::candidates& candidates,
                             const choice_request& request,
                             const domain_circuit& circuit,
                             random_generator& random, time_point now) const;
  static endpoint_state* PrefixHome(const endpoint_set::candidates& candidates,
                                    const choice_request& request);
  void Consider(endpoint_state* state, const choice_request& request,
                time_point now, double bonus, draw_state& draw) const;
  double Score(const endpoint_state& state, const choice_request& request,
               time_point now) const;

  routing_rule rule_;
  std::string failure_domain_;
  bool slow_start_;
  std::size_t turn_ = 0;
  prefix_memory memory_;
};

}  // namespace slatestall
