#include "slatestall/node/loop_gauge.h"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace slatestall {
namespace {

/// A loop that was busy for longer holds up leases, claims and snapshots.
constexpr microseconds kLate{50'000};

std::int64_t ThreadMicroseconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::duration_cast<microseconds>(
             std::chrono::seconds(used.tv_sec) +
             std::chrono::nanoseconds(used.tv_nsec))
      .count();
}

std::string Line(const std::string& name, const std::string& type,
                 const std::string& value) {
  return "# TYPE slatestall_" + name + " " + type + "\nslatestall_" + name +
         " " + value + "\n";
}

std::string Seconds(std::int64_t microseconds_value) {
  return std::to_string(static_cast<double>(microseconds_value) / 1e6);
}

}  // namespace

void loop_gauge::Ticked(time_point due, time_point now) {
  const auto delay = std::max(
      microseconds(0), std::chrono::duration_cast<microseconds>(now - due));
  last_ = delay.count();
  longest_ = std::max(longest_.load(), delay.count());
  late_ += delay > kLate ? 1 : 0;
  cpu_ = ThreadMicroseconds();
}

std::string loop_gauge::Metrics(const std::string& name) const {
  return Line(name + "_loop_delay_seconds", "gauge", Seconds(last_)) +
         Line(name + "_loop_delay_max_seconds", "gauge", Seconds(longest_)) +
         Line(name + "_loop_late_ticks_total", "counter",
              std::to_string(late_.load())) +
         Line(name + "_cpu_seconds_total", "counter", Seconds(cpu_));
}

}  // namespace slatestall
