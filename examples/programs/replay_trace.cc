// A trace is replayed twice: by the policy of the hosts, and by round robin
// that retries everything. Both see the same arrivals and the same faults.

#include <fstream>
#include <iomanip>
#include <iostream>

#include "slatestall/policy/replay.h"

namespace slatestall {
namespace {

constexpr const char* kTrace =
    SLATESTALL_EXAMPLES_DIR "/traces/straggler-vanua.jsonl";

void Print(const std::string& title, const replay_result& result) {
  for (const auto& [name, group] : result.classes) {
    std::cout << std::left << std::setw(14) << title << std::setw(13) << name
              << std::right << std::setw(6) << group.requests << " requests"
              << std::setw(9) << std::fixed << std::setprecision(2)
              << group.Attainment() * 100 << "% in time, " << std::setw(3)
              << group.late << " late, " << std::setw(3) << group.failed
              << " failed\n";
  }
}

int Run(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    std::cerr << path << ": cannot be opened\n";
    return 2;
  }
  const trace read = ReadTrace(in);
  std::cout << read.name << ": " << read.arrivals.size() << " arrivals, "
            << read.endpoints.size() << " endpoints, " << read.faults.size()
            << " faults\n";
  Print("slatestall", Replay(read, {}));
  Print("round robin", Replay(read, NaivePolicy()));
  return 0;
}

}  // namespace
}  // namespace slatestall

int main(int argc, char** argv) {
  return slatestall::Run(argc > 1 ? argv[1] : slatestall::kTrace);
}
