#include "slatestall/node/control_traffic.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

class control_traffic_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(control_traffic_test);
  CPPUNIT_TEST(CallsAreCountedByWhomTheyGoTo);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The platform's services share an address here, as they may.
  void CallsAreCountedByWhomTheyGoTo() {
    const std::string platform = "http://10.0.0.1:80";
    control_traffic traffic(platform, platform, platform);
    traffic.CountCall(platform + "/records?from=0", 1, 2);
    traffic.CountCall(platform + "/hosts", 3, 4);
    traffic.CountCall(platform + "/weights/1", 5, 6);
    traffic.CountCall("http://10.0.0.2:9000/load", 7, 8);
    const auto text = traffic.Metrics();
    const auto has = [&text](const std::string& line) {
      return text.find("slatestall_control_" + line + "\n") !=
             std::string::npos;
    };
    CPPUNIT_ASSERT(has(R"(messages_total{to="log"} 1)"));
    CPPUNIT_ASSERT(has(R"(bytes_total{to="log",way="received"} 2)"));
    CPPUNIT_ASSERT(has(R"(bytes_total{to="host_list",way="sent"} 3)"));
    CPPUNIT_ASSERT(has(R"(bytes_total{to="weight_store",way="sent"} 5)"));
    CPPUNIT_ASSERT(has(R"(bytes_total{to="endpoints",way="received"} 8)"));
    CPPUNIT_ASSERT(has(R"(messages_total{to="peers"} 0)"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_traffic_test);

}  // namespace
}  // namespace slatestall
