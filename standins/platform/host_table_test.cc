#include "standins/platform/host_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace slatestall {
namespace {

nlohmann::json Line(const std::string& state) {
  return {{"service", "drafter"},
          {"name", "d1"},
          {"address", "127.0.0.1:1"},
          {"failure_domain", "suva-a"},
          {"state", state}};
}

class host_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(host_table_test);
  CPPUNIT_TEST(ChangesShowAfterTheLag);
  CPPUNIT_TEST(ALineWithoutAddressIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangesShowAfterTheLag() {
    const time_point start{};
    const milliseconds lag{500};
    host_table table(lag);
    table.Change(Line("live"), start);
    CPPUNIT_ASSERT(table.Visible(start)["hosts"].empty());
    table.Change(Line("leaving"), start + lag);
    auto visible = table.Visible(start + lag)["hosts"];
    CPPUNIT_ASSERT_EQUAL(std::string("live"),
                         visible.at(0)["state"].get<std::string>());
    table.Change(Line("gone"), start + 2 * lag);
    visible = table.Visible(start + 2 * lag)["hosts"];
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"),
                         visible.at(0)["state"].get<std::string>());
    CPPUNIT_ASSERT(table.Visible(start + 3 * lag)["hosts"].empty());
  }

  void ALineWithoutAddressIsRefused() {
    host_table table(milliseconds(0));
    CPPUNIT_ASSERT_THROW(table.Change({{"service", "drafter"}}, time_point{}),
                         std::invalid_argument);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_table_test);

}  // namespace
}  // namespace slatestall
