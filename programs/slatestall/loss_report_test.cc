#include "slatestall/loss_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace slatestall {
namespace {

// One of two hosts is the home of "enc". A chain waited long at "rank", a draft
// at its endpoint; one request found no room, one met a host without a
// configuration, one stream broke off, and one caller was told of its mistake.
constexpr const char* kLogs =
    R"({"event":"started","host":"a","ms":1000}
{"event":"booking_refused","host":"a","ms":4100,"request":"r3","service":"enc"}
1.5 b {"event":"started","host":"b","ms":70000}
{"event":"request_done","host":"b","ms":71000,"request":"r1","route":"chain","outcome":"streamed","late":true,"attempts":1,"objective_ms":1400,"sent_ms":1600,"first_event_ms":1700,"stages":[{"service":"enc","begun_ms":2,"made_ms":300},{"service":"rank","begun_ms":300,"made_ms":1600}]}
{"event":"request_done","host":"b","ms":71500,"request":"r2","route":"draft","outcome":"streamed","late":true,"attempts":1,"objective_ms":800,"sent_ms":200,"first_event_ms":950,"stages":[{"service":"enc","begun_ms":2,"made_ms":200}]}
{"event":"request_refused","host":"b","ms":73100,"request":"r3","route":"draft","kind":"overloaded","detail":"a stage has no room for it in time"}
{"event":"request_refused","host":"b","ms":73200,"request":"r4","route":"","kind":"no-configuration","detail":"no configuration yet"}
{"event":"request_refused","host":"b","ms":73300,"request":"r5","route":"","kind":"unauthorized","detail":"unknown workspace key"}
{"event":"stream_cut","host":"b","ms":73400,"request":"r6","route":"draft","detail":"broken off"}
{"event":"request_done","host":"b","ms":73400,"request":"r6","route":"draft","outcome":"cut","late":true}
{"event":"request_done","host":"b","ms":73500,"request":"r7","route":"draft","outcome":"streamed","late":false,"sampled":16,"dropped_before":3}
{"event":"cut sh
)";

class loss_report_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(loss_report_test);
  CPPUNIT_TEST(EachLossHasItsCause);
  CPPUNIT_TEST(SpansAreCountedFromTheFirstLineOfAHost);
  CPPUNIT_TEST(AHomesLineMayComeInALaterLog);
  CPPUNIT_TEST(OddLinesAreNoLosses);
  CPPUNIT_TEST_SUITE_END();

  static loss_report Report(const std::string& text, std::int64_t span = 0) {
    loss_reader reader(span);
    std::istringstream log(text);
    reader.Read(log);
    return reader.Take();
  }

  static std::size_t Count(const loss_report& report, loss_kind kind,
                           const std::string& route, const std::string& cause) {
    for (const auto& row : report.rows) {
      if (row.kind == kind && row.route == route && row.cause == cause) {
        return row.requests;
      }
    }
    return 0;
  }

  void EachLossHasItsCause() {
    const auto report = Report(kLogs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, report.rows.size());
    using kind = loss_kind;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(report, kind::kLate, "chain",
                                               "stage service rank"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(report, kind::kLate, "draft",
                                               "the endpoint's first event"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(report, kind::kRefused, "draft",
                                               "no room at enc"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Count(report, kind::kRefused, "",
                               "no-configuration: no configuration yet"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(report, kind::kFailed, "draft",
                                               "stream cut: broken off"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, report.in_time);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, report.dropped);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.unreadable);
  }

  void SpansAreCountedFromTheFirstLineOfAHost() {
    const auto report = Report(kLogs, 2);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, report.rows.front().from_second);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, report.rows.back().from_second);
  }

  void AHomesLineMayComeInALaterLog() {
    loss_reader reader(0);
    std::istringstream caller(
        R"({"event":"request_refused","host":"b","ms":1,"request":"r","route":"d","kind":"overloaded"})");
    std::istringstream home(
        R"({"event":"booking_refused","host":"a","ms":9,"request":"r","service":"enc"})");
    reader.Read(caller);
    reader.Read(home);
    CPPUNIT_ASSERT_EQUAL(std::string("no room at enc"),
                         reader.Take().rows.front().cause);
  }

  void OddLinesAreNoLosses() {
    CPPUNIT_ASSERT(Report("[1]\n{}\n{\"event\":7}\n{\"event\":\"request_done\","
                          "\"host\":[],\"ms\":\"x\",\"outcome\":3}\n")
                       .rows.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(loss_report_test);

}  // namespace
}  // namespace slatestall
