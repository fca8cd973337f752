// Replays traces under the policy, under plain round robin with naive retry,
// and under the policy without one of its parts.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "slatestall/policy/replay.h"

namespace {

using slatestall::replay_group;
using slatestall::replay_result;
using slatestall::traffic_policy_options;

struct variant {
  std::string name;
  traffic_policy_options options;
};

std::vector<variant> Variants(bool parts) {
  std::vector<variant> variants{{"naive", slatestall::NaivePolicy()},
                                {"least-wait", {}}};
  if (!parts) {
    return variants;
  }
  traffic_policy_options options;
  options.hedging = false;
  variants.push_back({"no hedging", options});
  options = {};
  options.queueing = false;
  variants.push_back({"no queueing", options});
  options = {};
  options.early_refusal = false;
  variants.push_back({"no early refusal", options});
  options = {};
  options.routing = slatestall::routing_rule::kRoundRobin;
  variants.push_back({"round robin", options});
  return variants;
}

/// @brief Means over several seeds of the policy's random choices.
class mean_measures {
 public:
  void Add(const replay_result& result) {
    ++runs_;
    for (const auto& [name, value] : result.Measures()) {
      sums_[name] += value;
    }
    for (const auto& [stage, cost] : result.stages) {
      sums_["used_s"] += cost.used;
    }
  }

  double Of(const std::string& name) const {
    const auto found = sums_.find(name);
    return found == sums_.end() ? 0 : found->second / runs_;
  }

 private:
  double runs_ = 0;
  std::map<std::string, double> sums_;
};

void PrintGroup(const mean_measures& means, const std::string& name) {
  std::cout << std::setw(9) << std::fixed << std::setprecision(2)
            << means.Of(name + ".attainment") * 100 << "%" << std::setw(8)
            << std::setprecision(0) << means.Of(name + ".p99_ms")
            << std::setw(7) << means.Of(name + ".late") << std::setw(7)
            << means.Of(name + ".refused") << std::setw(7)
            << means.Of(name + ".failed");
}

void PrintRow(const std::string& name, const mean_measures& means) {
  std::cout << "  " << std::left << std::setw(17) << name << std::right;
  PrintGroup(means, "interactive");
  PrintGroup(means, "batch");
  std::cout << std::setw(9) << std::setprecision(1) << means.Of("used_s")
            << std::setw(8) << std::setprecision(2)
            << means.Of("waste_share") * 100 << "%" << std::setprecision(0)
            << std::setw(8) << means.Of("retries") << std::setw(7)
            << means.Of("hedges") << std::setw(5) << means.Of("lost")
            << std::setw(5) << means.Of("doubled") << "\n";
}

void PrintHead() {
  std::cout << std::left << std::setw(19) << "" << std::right
            << "     interactive: attained, p99 ms, late, refused, failed |"
               " batch: the same | used s, waste, retries, hedges, lost,"
               " doubled\n";
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Compares policies on traces"};
  std::vector<std::string> paths;
  bool parts = false;
  bool whole = false;
  std::uint64_t seeds = 1;
  app.add_option("traces", paths, "Trace files")->required();
  app.add_flag("--parts", parts, "Also leave out one part at a time");
  app.add_option("--seeds", seeds, "Average over this many seeds")
      ->check(CLI::Range(1, 100));
  app.add_flag("--whole", whole, "Print the whole report of each replay");
  CLI11_PARSE(app, argc, argv);
  PrintHead();
  for (const std::string& path : paths) {
    std::ifstream in(path);
    try {
      const slatestall::trace trace = slatestall::ReadTrace(in);
      std::cout << trace.name << "\n";
      for (const variant& one : Variants(parts)) {
        mean_measures means;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
          traffic_policy_options options = one.options;
          options.seed = seed;
          const replay_result result = slatestall::Replay(trace, options);
          means.Add(result);
          if (whole) {
            slatestall::PrintReplay(trace.name, result, std::cout);
          }
        }
        PrintRow(one.name, means);
      }
    } catch (const slatestall::trace_error& problem) {
      std::cerr << path << ": " << problem.what() << "\n";
      return 2;
    }
  }
  return 0;
}
