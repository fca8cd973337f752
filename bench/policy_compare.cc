// Replays traces under plain balancers, under the policy, and under the policy
// without one of its parts.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "policy_variants.h"
#include "slatestall/policy/replay.h"

namespace {

using slatestall::replay_result;
using slatestall::replay_second;
using slatestall::traffic_policy_options;

constexpr std::size_t kWindow = 2;  // Seconds that recovery is judged over.
constexpr double kRecovered = 0.95;

struct compare_options {
  std::vector<std::string> paths;
  bool parts = false;
  bool whole = false;
  bool stages = false;
  std::uint64_t seeds = 1;
  std::size_t burst_from = 0;   ///< Second of the trace.
  std::size_t burst_until = 0;  ///< 0: no burst.
  std::string csv;
  std::string only;
};

double InTimeShare(const std::vector<replay_second>& seconds, std::size_t from,
                   std::size_t until) {
  double requests = 0;
  double in_time = 0;
  for (std::size_t i = from; i < std::min(until, seconds.size()); ++i) {
    requests += static_cast<double>(seconds[i].requests);
    in_time += static_cast<double>(seconds[i].in_time);
  }
  return requests == 0 ? 1 : in_time / requests;
}

/// @brief Seconds after the burst until the share answered in time stays at
/// 95 % of what it was before it.
double RecoverySeconds(const std::vector<replay_second>& seconds,
                       std::size_t from, std::size_t until) {
  const double before = InTimeShare(seconds, 0, from);
  std::size_t bad_until = until;
  for (std::size_t i = until; i + kWindow <= seconds.size(); ++i) {
    if (InTimeShare(seconds, i, i + kWindow) < kRecovered * before) {
      bad_until = i + kWindow;
    }
  }
  return static_cast<double>(bad_until - until);
}

/// @brief Means over several seeds of the policy's random choices.
class mean_measures {
 public:
  void Add(const replay_result& result, const compare_options& options) {
    ++runs_;
    for (const auto& [name, value] : result.Measures()) {
      sums_[name] += value;
    }
    for (const auto& [stage, cost] : result.stages) {
      sums_["used_s"] += cost.used;
      sums_["stage." + stage + ".used_s"] += cost.used;
      stages_.insert({stage, true});
    }
    double in_time = 0;
    for (const replay_second& second : result.seconds) {
      in_time += static_cast<double>(second.in_time);
    }
    sums_["goodput"] += in_time / static_cast<double>(result.seconds.size());
    if (options.burst_until > 0) {
      sums_["recovery_s"] += RecoverySeconds(result.seconds, options.burst_from,
                                             options.burst_until);
    }
  }

  double Of(const std::string& name) const {
    const auto found = sums_.find(name);
    return found == sums_.end() ? 0 : found->second / runs_;
  }
  const std::map<std::string, double>& Sums() const { return sums_; }
  const std::map<std::string, bool>& Stages() const { return stages_; }

 private:
  double runs_ = 0;
  std::map<std::string, double> sums_;
  std::map<std::string, bool> stages_;
};

void PrintPercent(double share) {
  std::cout << std::setw(8) << std::setprecision(2) << share * 100 << "%";
}

void PrintRow(const std::string& name, const mean_measures& means,
              const compare_options& options) {
  std::cout << "  " << std::left << std::setw(20) << name << std::right
            << std::fixed;
  PrintPercent(means.Of("pipeline.chat-reply.attainment"));
  PrintPercent(means.Of("interactive.attainment"));
  PrintPercent(means.Of("batch.attainment"));
  std::cout << std::setprecision(1) << std::setw(9) << means.Of("goodput")
            << std::setprecision(0) << std::setw(8)
            << means.Of("pipeline.chat-reply.p99_ms") << std::setw(8)
            << means.Of("interactive.p99_ms") << std::setw(8)
            << means.Of("batch.p99_ms") << std::setw(9) << means.Of("used_s");
  PrintPercent(means.Of("waste_share"));
  std::cout << std::setprecision(0) << std::setw(9) << means.Of("prefill_s")
            << std::setw(8) << means.Of("retries") << std::setw(8)
            << means.Of("hedges") << std::setw(6) << means.Of("lost")
            << std::setw(8) << means.Of("doubled");
  if (options.burst_until > 0) {
    std::cout << std::setprecision(1) << std::setw(9) << means.Of("recovery_s");
  }
  std::cout << "\n";
  if (!options.stages) {
    return;
  }
  for (const auto& [stage, present] : means.Stages()) {
    std::cout << "      " << std::left << std::setw(28) << stage << std::right
              << std::setprecision(1) << std::setw(9)
              << means.Of("stage." + stage + ".used_s") << " s used"
              << std::setw(9) << means.Of("stage." + stage + ".waste_s")
              << " s wasted\n";
  }
}

void PrintHead(const compare_options& options) {
  std::cout << std::left << std::setw(22) << "" << std::right
            << "  shopper  interac    batch  goodput  p99 of these three, ms"
               "   used s    waste  prefill retries  hedges  lost doubled"
            << (options.burst_until > 0 ? "  back, s" : "") << "\n";
}

void WriteCsv(const std::string& trace, const std::string& variant,
              const mean_measures& means, const compare_options& options) {
  if (options.csv.empty()) {
    return;
  }
  std::ofstream out(options.csv, std::ios::app);
  out << std::setprecision(8);
  for (const auto& [name, sum] : means.Sums()) {
    out << trace << "," << variant << "," << name << "," << means.Of(name)
        << "\n";
  }
}

void Compare(const std::string& path, const compare_options& chosen) {
  std::ifstream in(path);
  const slatestall::trace trace = slatestall::ReadTrace(in);
  std::cout << trace.name << "\n";
  for (const auto& one : slatestall::PolicyVariants(chosen.parts)) {
    if (!chosen.only.empty() && one.name != chosen.only) {
      continue;
    }
    mean_measures means;
    for (std::uint64_t seed = 1; seed <= chosen.seeds; ++seed) {
      traffic_policy_options options = one.options;
      options.seed = seed;
      const replay_result result = slatestall::Replay(trace, options);
      means.Add(result, chosen);
      if (chosen.whole) {
        slatestall::PrintReplay(trace.name, result, std::cout);
      }
    }
    PrintRow(one.name, means, chosen);
    WriteCsv(trace.name, one.name, means, chosen);
  }
  std::cout << std::flush;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Compares policies on traces"};
  compare_options options;
  app.add_option("traces", options.paths, "Trace files")->required();
  app.add_flag("--parts", options.parts, "Also leave out one part at a time");
  app.add_option("--seeds", options.seeds, "Average over this many seeds")
      ->check(CLI::Range(1, 100));
  app.add_flag("--whole", options.whole, "Print the report of each replay");
  app.add_flag("--stages", options.stages, "Print the cost of each stage");
  app.add_option("--burst-from", options.burst_from, "Second a burst begins");
  app.add_option("--burst-until", options.burst_until,
                 "Second it ends: print when goodput is back");
  app.add_option("--csv", options.csv, "Append all measures to this file");
  app.add_option("--only", options.only, "Replay this variant alone");
  CLI11_PARSE(app, argc, argv);
  PrintHead(options);
  for (const std::string& path : options.paths) {
    try {
      Compare(path, options);
    } catch (const slatestall::trace_error& problem) {
      std::cerr << path << ": " << problem.what() << "\n";
      return 2;
    }
  }
  return 0;
}
