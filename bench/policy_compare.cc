// Replays traces under the policy, under plain round robin with naive retry,
// and under the policy without one of its parts.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
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

void PrintGroup(const replay_result& result, const std::string& name) {
  const auto found = result.classes.find(name);
  const replay_group group =
      found == result.classes.end() ? replay_group() : found->second;
  std::cout << std::setw(9) << std::fixed << std::setprecision(2)
            << group.Attainment() * 100 << "%" << std::setw(8)
            << std::setprecision(0) << group.p99 * 1000 << std::setw(7)
            << group.late << std::setw(7) << group.refused << std::setw(7)
            << group.failed;
}

void PrintRow(const std::string& name, const replay_result& result) {
  const auto measures = result.Measures();
  double used = 0;
  for (const auto& [stage, cost] : result.stages) {
    used += cost.used;
  }
  std::cout << "  " << std::left << std::setw(17) << name << std::right;
  PrintGroup(result, "interactive");
  PrintGroup(result, "batch");
  std::cout << std::setw(9) << std::setprecision(1) << used << std::setw(8)
            << std::setprecision(2) << measures.at("waste_share") * 100 << "%"
            << std::setw(8) << result.retries << std::setw(7) << result.hedges
            << std::setw(5) << result.lost << std::setw(5) << result.doubled
            << "\n";
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
  app.add_option("traces", paths, "Trace files")->required();
  app.add_flag("--parts", parts, "Also leave out one part at a time");
  app.add_flag("--whole", whole, "Print the whole report of each replay");
  CLI11_PARSE(app, argc, argv);
  PrintHead();
  for (const std::string& path : paths) {
    std::ifstream in(path);
    try {
      const slatestall::trace trace = slatestall::ReadTrace(in);
      std::cout << trace.name << "\n";
      for (const variant& one : Variants(parts)) {
        const replay_result result = slatestall::Replay(trace, one.options);
        PrintRow(one.name, result);
        if (whole) {
          slatestall::PrintReplay(trace.name, result, std::cout);
        }
      }
    } catch (const slatestall::trace_error& problem) {
      std::cerr << path << ": " << problem.what() << "\n";
      return 2;
    }
  }
  return 0;
}
