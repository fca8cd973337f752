#include <fstream>
#include <iomanip>
#include <sstream>

#include "slatestall/policy/replay.h"
#include "slatestall/policy/replay_tally.h"

namespace slatestall {
namespace {

constexpr int kWrongFile = 2;

std::string NumberText(double value) {
  std::ostringstream text;
  text << std::setprecision(6) << value;
  return text.str();
}

void AddGroups(const std::map<std::string, replay_group>& groups,
               const std::string& prefix,
               std::map<std::string, double>& measures) {
  for (const auto& [name, group] : groups) {
    const std::string base = prefix + name;
    measures[base + ".requests"] = static_cast<double>(group.requests);
    measures[base + ".attainment"] = group.Attainment();
    measures[base + ".late"] = static_cast<double>(group.late);
    measures[base + ".refused"] = static_cast<double>(group.refused);
    measures[base + ".failed"] = static_cast<double>(group.failed);
    measures[base + ".p99_ms"] = group.p99 * 1000;
  }
}

void PrintGroups(const std::string& title,
                 const std::map<std::string, replay_group>& groups,
                 std::ostream& out) {
  out << "  " << std::left << std::setw(22) << title << std::right
      << "  requests  attained   late  refused  failed   p50 ms   p99 ms\n";
  for (const auto& [name, group] : groups) {
    out << "  " << std::left << std::setw(22) << name << std::right
        << std::setw(10) << group.requests << std::setw(9) << std::fixed
        << std::setprecision(2) << group.Attainment() * 100 << "%"
        << std::setw(7) << group.late << std::setw(9) << group.refused
        << std::setw(8) << group.failed << std::setprecision(0) << std::setw(9)
        << group.p50 * 1000 << std::setw(9) << group.p99 * 1000 << "\n";
  }
}

void PrintCosts(const std::map<std::string, replay_cost>& stages,
                std::ostream& out) {
  out << "  " << std::left << std::setw(26) << "stage" << std::right
      << "   calls   used s   late s  retried s  hedged s  other s\n";
  for (const auto& [name, cost] : stages) {
    out << "  " << std::left << std::setw(26) << name << std::right
        << std::setw(8) << cost.calls << std::fixed << std::setprecision(1)
        << std::setw(9) << cost.used << std::setw(9) << cost.late
        << std::setw(11) << cost.retried << std::setw(10) << cost.hedged
        << std::setw(9) << cost.cancelled << "\n";
  }
}

// What the host itself reported of the arrivals, beside what the replay made
// of them.
void PrintRecorded(const trace& trace, std::ostream& out) {
  replay_tally tally;
  for (const trace_arrival& arrival : trace.arrivals) {
    if (arrival.answer) {
      tally.Arrived();
      tally.Ended(arrival, arrival.answer->priority, arrival.answer->outcome,
                  arrival.answer->total);
    }
  }
  const replay_result recorded = tally.Result();
  if (!recorded.classes.empty()) {
    PrintGroups("as recorded", recorded.classes, out);
  }
}

std::string Compare(const trace_outcome& outcome, double value) {
  const std::string got = outcome.name + " is " + NumberText(value);
  if (outcome.at_least && value < *outcome.at_least) {
    return got + ", stated at least " + NumberText(*outcome.at_least);
  }
  if (outcome.at_most && value > *outcome.at_most) {
    return got + ", stated at most " + NumberText(*outcome.at_most);
  }
  return "";
}

int ReplayFile(const std::string& path, std::ostream& out) {
  std::ifstream in(path);
  if (!in) {
    out << path << ": cannot be opened\n";
    return kWrongFile;
  }
  try {
    const trace read = ReadTrace(in);
    const replay_result result = Replay(read, {});
    PrintReplay(read.name, result, out);
    PrintRecorded(read, out);
    const std::string difference = FirstDifference(read, result);
    if (difference.empty()) {
      out << "  outcomes as stated\n\n";
      return 0;
    }
    out << path << ": " << difference << "\n\n";
    return 1;
  } catch (const trace_error& problem) {
    out << path << ": " << problem.what() << "\n";
    return kWrongFile;
  }
}

}  // namespace

double replay_group::Attainment() const {
  return requests == 0
             ? 1
             : static_cast<double>(in_time) / static_cast<double>(requests);
}

std::map<std::string, double> replay_result::Measures() const {
  std::map<std::string, double> measures;
  AddGroups(classes, "", measures);
  AddGroups(pipelines, "pipeline.", measures);
  AddGroups(workspaces, "workspace.", measures);
  double used = 0;
  double waste = 0;
  for (const auto& [name, cost] : stages) {
    used += cost.used;
    waste += cost.Waste();
    measures["stage." + name + ".waste_s"] = cost.Waste();
  }
  measures["waste_share"] = used + waste > 0 ? waste / (used + waste) : 0;
  measures["prefill_s"] = prefill;
  measures["lost"] = static_cast<double>(lost);
  measures["doubled"] = static_cast<double>(doubled);
  measures["retries"] = static_cast<double>(retries);
  measures["hedges"] = static_cast<double>(hedges);
  return measures;
}

std::string FirstDifference(const trace& trace, const replay_result& result) {
  const std::map<std::string, double> measures = result.Measures();
  for (const trace_outcome& outcome : trace.outcomes) {
    const std::string place = "line " + std::to_string(outcome.line) + ": ";
    if (outcome.equals) {
      if (outcome.name == "decisions" && *outcome.equals != result.decisions) {
        return place + "decisions are " + result.decisions + ", stated " +
               *outcome.equals;
      }
      continue;
    }
    const auto found = measures.find(outcome.name);
    if (found == measures.end()) {
      return place + "no measure is called " + outcome.name;
    }
    const std::string difference = Compare(outcome, found->second);
    if (!difference.empty()) {
      return place + difference;
    }
  }
  return "";
}

void PrintReplay(const std::string& name, const replay_result& result,
                 std::ostream& out) {
  const std::map<std::string, double> measures = result.Measures();
  out << name << "\n";
  PrintGroups("class", result.classes, out);
  PrintGroups("workspace", result.workspaces, out);
  PrintCosts(result.stages, out);
  for (const auto& [reason, count] : result.reasons) {
    out << "  " << std::setw(8) << count << "  " << reason << "\n";
  }
  out << "  waste " << std::setprecision(2) << measures.at("waste_share") * 100
      << "% of endpoint time, " << result.retries << " retries, "
      << result.hedges << " hedges, " << result.lost << " lost, "
      << result.doubled << " doubled, decisions " << result.decisions << "\n";
}

int RunReplay(const std::vector<std::string>& paths, std::ostream& out) {
  int worst = 0;
  for (const std::string& path : paths) {
    worst = std::max(worst, ReplayFile(path, out));
  }
  return worst;
}

}  // namespace slatestall
