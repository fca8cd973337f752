#include "slatestall/report/report_data.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "slatestall/report/burn_report.h"
#include "slatestall/report/cost_report.h"
#include "slatestall/report/prometheus_text.h"
#include "slatestall/report/report_collector.h"
#include "slatestall/report/report_json.h"
#include "slatestall/report/window_ring.h"

namespace slatestall {
namespace {

using std::chrono::seconds;

const time_point kStart{std::chrono::hours(1000)};

request_record Record(const std::string& route, int latency_ms,
                      std::optional<error_kind> error = std::nullopt) {
  request_record record;
  record.workspace = "shop";
  record.route = route;
  record.objective = 0.9;
  record.deadline = milliseconds(1000);
  record.latency = milliseconds(latency_ms);
  record.error = error;
  record.ended = kStart;
  return record;
}

stage_usage Usage(attempt_use use, std::uint64_t generated, int time_us) {
  return {"shop", "draft", "write",   use,
          10,     4,       generated, microseconds(time_us)};
}

std::uint64_t CountOf(const route_report& route, request_outcome outcome) {
  return route.outcomes[static_cast<std::size_t>(outcome)];
}

class report_data_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(report_data_test);
  CPPUNIT_TEST(CountsOutcomesAgainstTheDeadline);
  CPPUNIT_TEST(CallersOwnErrorsSpendNoBudget);
  CPPUNIT_TEST(BurnIsTheMissedShareOverTheBudget);
  CPPUNIT_TEST(WindowsForgetWhatIsOlder);
  CPPUNIT_TEST(QuantilesLieInTheRightBin);
  CPPUNIT_TEST(MergeEqualsCountingTogether);
  CPPUNIT_TEST(JsonKeepsEverything);
  CPPUNIT_TEST(JsonOfAnotherShapeIsRefused);
  CPPUNIT_TEST(WasteIsKeptApart);
  CPPUNIT_TEST(PrometheusCountsAreCumulative);
  CPPUNIT_TEST(PictureEscapesNames);
  CPPUNIT_TEST(PictureKeepsLongNamesOffTheBars);
  CPPUNIT_TEST(SnapshotsDuringRecordingLoseNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsOutcomesAgainstTheDeadline() {
    report_collector collector(kStart);
    collector.RecordRequest(Record("draft", 1000));
    collector.RecordRequest(Record("draft", 1001));
    collector.RecordRequest(Record("draft", 5, error_kind::kOverloaded));
    collector.RecordRequest(Record("draft", 5, error_kind::kOutcomeUnknown));
    collector.RecordRequest(Record("draft", 5, error_kind::kStageFailed));
    const report_data report = collector.Snapshot(kStart + seconds(1));
    const route_report& route = report.routes.at({"draft", {}});
    for (const auto outcome :
         {request_outcome::kAttained, request_outcome::kLate,
          request_outcome::kRefused, request_outcome::kUnknown,
          request_outcome::kFailed}) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, CountOf(route, outcome));
    }
    CPPUNIT_ASSERT(route.windows[0] == (window_counts{1, 4}));
    CPPUNIT_ASSERT(report.longest_run == seconds(1));
  }

  void CallersOwnErrorsSpendNoBudget() {
    report_collector collector(kStart);
    collector.RecordRequest(Record("draft", 5, error_kind::kInvalidRequest));
    collector.RecordRequest(Record("draft", 5, error_kind::kLimitExceeded));
    collector.RecordRequest(Record("draft", 5, error_kind::kCancelled));
    const report_data report = collector.Snapshot(kStart);
    const burn_row row = BurnRows(report, std::nullopt).front();
    CPPUNIT_ASSERT_EQUAL(1.0, row.attainment);
    CPPUNIT_ASSERT_EQUAL(0.0, row.burn[0]);
  }

  void BurnIsTheMissedShareOverTheBudget() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, BurnRate({98, 2}, 0.99), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, BurnRate({0, 5}, 0.99), 1e-9);
    CPPUNIT_ASSERT_EQUAL(0.0, BurnRate({0, 0}, 0.99));
  }

  void WindowsForgetWhatIsOlder() {
    CPPUNIT_ASSERT(rc::check("a ring counts what its buckets cover", [] {
      constexpr int kBucketSeconds = 10;
      constexpr int kBuckets = 30;
      window_ring ring(seconds(kBucketSeconds * kBuckets));
      auto times =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2000));
      std::sort(times.begin(), times.end());
      const int last = times.empty() ? 0 : times.back();
      const int now = last + *rc::gen::inRange(0, 600);
      std::uint64_t expected = 0;
      for (const int at : times) {
        ring.Add(kStart + seconds(at), true);
        const int age = now / kBucketSeconds - at / kBucketSeconds;
        expected += age < kBuckets ? 1 : 0;
      }
      RC_ASSERT(ring.Sum(kStart + seconds(now)).attained == expected);
    }));
  }

  void QuantilesLieInTheRightBin() {
    latency_histogram latency = MakeLatencyHistogram();
    for (int i = 1; i <= 1000; ++i) {
      latency(static_cast<double>(i));
    }
    // Bounds of neighbouring bins lie 21 % apart.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, LatencyQuantile(latency, 0.5), 105);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(950, LatencyQuantile(latency, 0.95), 200);
    CPPUNIT_ASSERT_EQUAL(0.0, LatencyQuantile(MakeLatencyHistogram(), 0.5));
  }

  void MergeEqualsCountingTogether() {
    CPPUNIT_ASSERT(rc::check("merged collectors equal one", [] {
      report_collector left(kStart);
      report_collector right(kStart);
      report_collector both(kStart);
      const int count = *rc::gen::inRange(0, 40);
      for (int i = 0; i < count; ++i) {
        const auto record =
            Record(*rc::gen::element<std::string>("draft", "chat"),
                   *rc::gen::inRange(1, 3000));
        const auto usage =
            Usage(*rc::gen::element(attempt_use::kUsed, attempt_use::kHedged),
                  *rc::gen::inRange(0, 100), 5);
        report_collector& side = *rc::gen::arbitrary<bool>() ? left : right;
        side.RecordRequest(record);
        side.RecordUsage(usage);
        both.RecordRequest(record);
        both.RecordUsage(usage);
      }
      report_data merged = left.Snapshot(kStart + seconds(9));
      merged.Merge(right.Snapshot(kStart + seconds(9)));
      report_data expected = both.Snapshot(kStart + seconds(9));
      expected.collectors = 2;
      RC_ASSERT(ReportToJson(merged) == ReportToJson(expected));
    }));
  }

  void JsonKeepsEverything() {
    report_collector collector(kStart);
    collector.RecordRequest(Record("draft", 0));
    collector.RecordRequest(Record("draft", 700));
    collector.RecordRequest(Record("chat", 200000));
    collector.RecordUsage(Usage(attempt_use::kUsed, 7, 90));
    collector.RecordUsage(Usage(attempt_use::kLate, 3, 10));
    const report_data report = collector.Snapshot(kStart + seconds(5));
    const report_data read =
        ReportFromJson(nlohmann::json::parse(ReportToJson(report).dump()));
    CPPUNIT_ASSERT(ReportToJson(read) == ReportToJson(report));
    CPPUNIT_ASSERT(read.costs == report.costs);
    CPPUNIT_ASSERT(read.routes.at({"draft", {}}).latency ==
                   report.routes.at({"draft", {}}).latency);
  }

  void JsonOfAnotherShapeIsRefused() {
    for (const char* text :
         {"{}", "[]", R"({"collectors":"x"})",
          R"({"collectors":1,"shortest_run_ms":1,"longest_run_ms":1,
              "costs":[],"routes":[{"route":"a","class":"odd"}]})"}) {
      CPPUNIT_ASSERT_THROW(ReportFromJson(nlohmann::json::parse(text)),
                           std::invalid_argument);
    }
  }

  void WasteIsKeptApart() {
    report_collector collector(kStart);
    collector.RecordUsage(Usage(attempt_use::kUsed, 100, 750));
    collector.RecordUsage(Usage(attempt_use::kRetried, 20, 150));
    collector.RecordUsage(Usage(attempt_use::kHedged, 5, 100));
    const auto rows =
        CostRows(collector.Snapshot(kStart), cost_grouping::kStage);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
    CPPUNIT_ASSERT(rows[0].key == (cost_key{"*", "draft", "write"}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, rows[0].used.generated_tokens);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{25}, rows[0].wasted.generated_tokens);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, rows[0].wasted.calls);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, rows[0].wasted_share, 1e-9);
  }

  void PrometheusCountsAreCumulative() {
    report_collector collector(kStart);
    collector.RecordRequest(Record("dr\"aft", 2));
    collector.RecordRequest(Record("dr\"aft", 500));
    collector.RecordRequest(Record("dr\"aft", 500000));
    const std::string text = WritePrometheus(collector.Snapshot(kStart));
    const std::string labels = R"({route="dr\"aft",class="interactive")";
    const std::string name = "slatestall_request_latency_seconds";
    const std::vector<std::array<std::string, 3>> samples{
        {name + "_bucket", ",le=\"1\"", "2"},
        {name + "_bucket", ",le=\"+Inf\"", "3"},
        {name + "_sum", "", "500.502"},
        {name + "_count", "", "3"},
        {"slatestall_requests_by_outcome_total", ",outcome=\"late\"", "1"}};
    for (const auto& [metric, label, value] : samples) {
      std::string line = metric;
      line.append(labels).append(label).append("} ").append(value) += '\n';
      CPPUNIT_ASSERT_MESSAGE(line + text, text.find(line) != std::string::npos);
    }
  }

  void PictureEscapesNames() {
    report_collector collector(kStart);
    collector.RecordRequest(Record("<b>", 5000));
    const report_data report = collector.Snapshot(kStart);
    const auto rows = BurnRows(report, 0.95);
    const std::string html = BurnHtml(rows, report);
    CPPUNIT_ASSERT(html.find("<b>") == std::string::npos);
    CPPUNIT_ASSERT(html.find("&lt;b&gt;") != std::string::npos);
    CPPUNIT_ASSERT(BurnSvg(rows).find("5m 20.00") != std::string::npos);
  }

  void PictureKeepsLongNamesOffTheBars() {
    CPPUNIT_ASSERT(BurnSvg({}).find("no requests") != std::string::npos);
    report_collector collector(kStart);
    const std::string name(64, 'n');
    collector.RecordRequest(Record(name, 5000));
    const report_data report = collector.Snapshot(kStart);
    const auto rows = BurnRows(report, 0.95);
    CPPUNIT_ASSERT(BurnSvg(rows).find(name) == std::string::npos);
    CPPUNIT_ASSERT(BurnHtml(rows, report).find(name) != std::string::npos);
  }

  // A report is asked for while a traffic thread counts: the report may come
  // before or after a record, but no count may be lost or torn.
  void SnapshotsDuringRecordingLoseNothing() {
    constexpr int kRecords = 2000;
    report_collector collector(kStart);
    std::thread traffic([&collector] {
      for (int i = 0; i < kRecords; ++i) {
        collector.RecordRequest(Record("draft", 5));
        collector.RecordUsage(Usage(attempt_use::kUsed, 1, 1));
      }
    });
    std::uint64_t last = 0;
    for (int i = 0; i < 50; ++i) {
      const report_data report = collector.Snapshot(kStart);
      const auto found = report.routes.find({"draft", {}});
      const std::uint64_t seen =
          found == report.routes.end()
              ? 0
              : CountOf(found->second, request_outcome::kAttained);
      CPPUNIT_ASSERT(seen >= last);
      last = seen;
    }
    traffic.join();
    const report_data report = collector.Snapshot(kStart);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{kRecords},
        CountOf(report.routes.at({"draft", {}}), request_outcome::kAttained));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kRecords},
                         report.costs.at({"shop", "draft", "write"})[0].calls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(report_data_test);

}  // namespace
}  // namespace slatestall
