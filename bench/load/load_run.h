#pragma once

#include <cstdint>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "bench/load/request_run.h"

namespace slatestall {

struct load_run_options {
  std::vector<load_flow> flows;
  milliseconds length{10000};
  std::size_t max_open = 4000;
  std::uint64_t seed = 1;
  std::string outcomes_path;  ///< One JSON line a request; empty: none.
};

/// @brief Open-loop load: requests begin at random moments of a fixed rate,
/// whether or not earlier ones have ended.
class load_run {
 public:
  load_run(load_context shared, const load_run_options& options);

  /// @brief Begins; the event loop runs out of work when all have ended.
  void Start();
  nlohmann::json Summary() const;

 private:
  struct flow_state {
    explicit flow_state(asio::io_context& context) : timer(context) {}
    asio::steady_timer timer;
    const load_flow* flow = nullptr;
    time_point next{};
    std::uint64_t sent = 0;
    std::uint64_t skipped = 0;  ///< The generator itself was at its limit.
    std::uint64_t resends = 0;
    std::uint64_t tokens = 0;
    std::map<outcome_kind, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> details;
    std::vector<double> total_ms;
    std::vector<double> first_byte_ms;
    std::vector<double> gap_ms;  ///< Between pieces of whole streams.
  };

  void ScheduleNext(flow_state& state);
  void Begin(flow_state& state);
  void Record(flow_state& state, const std::string& marker, duration began,
              const request_outcome& outcome);
  void StopWhenDone();
  static nlohmann::json SummaryOf(const flow_state& state);

  load_context shared_;
  load_run_options options_;
  std::mt19937_64 random_;
  std::list<flow_state> states_;
  std::ofstream outcomes_;
  time_point start_{};
  time_point end_{};
  std::size_t open_ = 0;        ///< Requests in hand.
  std::size_t open_flows_ = 0;  ///< Flows that send on.
};

}  // namespace slatestall
