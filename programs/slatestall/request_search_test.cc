#include "slatestall/request_search.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace slatestall {
namespace {

using nlohmann::json;

admin_answer Whole(int status, const json& body) {
  admin_answer answer;
  answer.answered = true;
  answer.status = status;
  answer.body = body;
  return answer;
}

json HostLine(const std::string& name, const std::string& address) {
  return {{"name", name},
          {"revision", 1},
          {"since_ms", 1},
          {"draining", false},
          {"reachable", true},
          {"behind", false},
          {"peer_address", "10.0.0.3:9"},
          {"http_address", address}};
}

// Three hosts; "c" listens on all its addresses.
class fake_system {
 public:
  std::string holder;  ///< URL of the host that keeps the request.
  std::map<std::string, std::string> down;  ///< Why, by URL.
  json lines = {HostLine("a", "10.0.0.1:80"), HostLine("b", "10.0.0.2:80"),
                HostLine("c", "0.0.0.0:80")};

  request_search Find() {
    return FindRequest(
        [this](const std::vector<admin_call>& calls) {
          std::vector<admin_answer> answers;
          answers.reserve(calls.size());
          for (const admin_call& call : calls) {
            answers.push_back(Answer(call));
          }
          return answers;
        },
        "http://10.0.0.1:80", "b.77.0-3");
  }

 private:
  admin_answer Answer(const admin_call& call) const {
    const auto dead = down.find(call.host);
    if (dead != down.end()) {
      admin_answer none;
      none.detail = dead->second;
      return none;
    }
    if (call.path == "/v1/admin/status") {
      return Whole(200, {{"host", "a"},
                         {"revision", 1},
                         {"hosts", lines},
                         {"log", {{"reachable", true}}}});
    }
    return call.host == holder ? Whole(200, {{"request_id", "b.77.0-3"}})
                               : Whole(404, {{"detail", "none"}});
  }
};

class request_search_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_search_test);
  CPPUNIT_TEST(FindsItOnAnyHost);
  CPPUNIT_TEST(AHostOnAllAddressesIsAskedAtItsPeerAddress);
  CPPUNIT_TEST(SaysWhoWasAskedAndWhoWasNot);
  CPPUNIT_TEST(AHostThatDrainedTookItsTracesAlong);
  CPPUNIT_TEST(AHostThatIsNotReachableIsNotCalled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsItOnAnyHost() {
    fake_system system;
    for (const char* holder : {"http://10.0.0.1:80", "http://10.0.0.2:80"}) {
      system.holder = holder;
      CPPUNIT_ASSERT(system.Find().trace);
    }
  }

  void AHostOnAllAddressesIsAskedAtItsPeerAddress() {
    fake_system system;
    system.holder = "http://10.0.0.3:80";
    CPPUNIT_ASSERT(system.Find().trace);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), system.Find().host);
  }

  // The host that served the request does not answer. The operator must not
  // read "not found" where the trace may well be there.
  void SaysWhoWasAskedAndWhoWasNot() {
    fake_system system;
    system.down["http://10.0.0.2:80"] = "timed out";
    const request_search search = system.Find();
    CPPUNIT_ASSERT(!search.trace);
    const auto lines = DescribeMiss(search, "b.77.0-3");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lines.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("b.77.0-3: not kept by http://10.0.0.1:80, c; a host "
                    "keeps its last requests, in memory only"),
        lines[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("not asked: b: timed out (the request's "
                                     "id names this host)"),
                         lines[1]);
  }

  // Of a host that does not answer the asked one no address is known.
  void AHostThatIsNotReachableIsNotCalled() {
    fake_system system;
    system.lines[1]["reachable"] = false;
    system.lines[1]["http_address"] = "";
    const auto lines = DescribeMiss(system.Find(), "b.77.0-3");
    CPPUNIT_ASSERT(lines.at(1).find("does not answer") != std::string::npos);
  }

  void AHostThatDrainedTookItsTracesAlong() {
    fake_system system;
    system.lines[1]["reachable"] = false;
    system.lines[1]["draining"] = true;
    const auto lines = DescribeMiss(system.Find(), "b.77.0-3");
    CPPUNIT_ASSERT(lines.at(1).find("its traces with it") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_search_test);

}  // namespace
}  // namespace slatestall
