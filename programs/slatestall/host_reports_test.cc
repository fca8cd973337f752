#include "slatestall/host_reports.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "slatestall/report/report_collector.h"
#include "slatestall/report/report_json.h"

namespace slatestall {
namespace {

using nlohmann::json;

admin_answer Whole(const json& body) {
  admin_answer answer;
  answer.answered = true;
  answer.status = 200;
  answer.body = body;
  return answer;
}

json HostLine(const std::string& name, const std::string& address) {
  json line{{"name", name},      {"revision", 1},     {"since_ms", 1},
            {"draining", false}, {"reachable", true}, {"behind", false}};
  if (!address.empty()) {
    line["http_address"] = address;
  }
  return line;
}

json OneRequest() {
  report_collector collector{time_point{}};
  request_record record;
  record.route = "draft";
  record.deadline = milliseconds(10);
  collector.RecordRequest(record);
  return ReportToJson(collector.Snapshot(time_point{}));
}

// Host "a" at 10.0.0.1:80 knows "b" with its address and "c" without.
std::vector<admin_answer> Answer(const std::vector<admin_call>& calls) {
  std::vector<admin_answer> answers;
  for (const admin_call& call : calls) {
    const bool is_up = call.host != "http://10.0.0.2:80";
    if (!is_up) {
      answers.emplace_back();
      answers.back().detail = "timed out";
    } else if (call.path == "/v1/admin/report") {
      answers.push_back(Whole(OneRequest()));
    } else {
      answers.push_back(
          Whole({{"host", "a"},
                 {"revision", 1},
                 {"log", {{"reachable", true}}},
                 {"hosts",
                  {HostLine("a", "10.0.0.1:80"), HostLine("b", "10.0.0.2:80"),
                   HostLine("c", "")}}}));
    }
  }
  return answers;
}

class host_reports_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(host_reports_test);
  CPPUNIT_TEST(TellsWhichHostsAreNotInTheFigures);
  CPPUNIT_TEST(HostGivenTwiceIsCountedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // One host is down and the address of another is not known. The operator
  // gets the figures of the rest and is told who is missing from them: figures
  // that look whole and are not would hide a burn.
  void TellsWhichHostsAreNotInTheFigures() {
    const host_reports reports = CollectReports(Answer, {"http://10.0.0.1:80"});
    CPPUNIT_ASSERT(reports.asked == std::vector<std::string>{"a"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports.missing.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, reports.merged.collectors);
  }

  void HostGivenTwiceIsCountedOnce() {
    const host_reports reports =
        CollectReports(Answer, {"http://10.0.0.1:80", "http://10.0.0.1:80"});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, reports.merged.collectors);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_reports_test);

}  // namespace
}  // namespace slatestall
