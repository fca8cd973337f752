// Requests of an hour are counted and the burn of the error budget is told,
// as `slatestall report burn` does. With a file name it also writes the page.

#include "slatestall/report/burn_report.h"

#include <fstream>
#include <iomanip>
#include <iostream>

#include "slatestall/report/report_collector.h"

namespace slatestall {
namespace {

constexpr int kMinutes = 60;
constexpr int kPerMinute = 100;
constexpr int kBadFrom = 56;  ///< The last minutes miss one in ten.

report_data CountAnHour() {
  time_point now{std::chrono::hours(1)};
  report_collector collector(now);
  for (int minute = 0; minute < kMinutes; ++minute) {
    for (int number = 0; number < kPerMinute; ++number) {
      request_record record;
      record.workspace = "suva-central";
      record.route = "chat-reply";
      record.objective = 0.99;
      record.deadline = milliseconds(2500);
      record.latency = milliseconds(400 + 10 * number);
      if (minute >= kBadFrom && number % 10 == 0) {
        record.error = error_kind::kDeadlineExceeded;
      }
      record.ended = now;
      collector.RecordRequest(record);
    }
    now += std::chrono::minutes(1);
  }
  return collector.Snapshot(now);
}

void Print(const burn_row& row) {
  std::cout << row.key.route << ", objective " << row.objective * 100
            << "% in time: attained " << std::fixed << std::setprecision(2)
            << row.attainment * 100 << "%\n";
  for (std::size_t i = 0; i < kBurnWindows; ++i) {
    std::cout << "  burn over " << WindowName(i) << ": " << row.burn.at(i)
              << (row.burn.at(i) > 1 ? "   more than the budget" : "") << "\n";
  }
  std::cout << "high in the short windows, lower in the long ones: it began "
               "a few minutes ago\n";
}

}  // namespace
}  // namespace slatestall

int main(int argc, char** argv) {
  const auto report = slatestall::CountAnHour();
  const auto rows = slatestall::BurnRows(report, {});
  for (const auto& row : rows) {
    slatestall::Print(row);
  }
  if (argc > 1) {
    std::ofstream(argv[1]) << slatestall::BurnHtml(rows, report);
    std::cout << "written: " << argv[1] << "\n";
  }
}
