#include "slatestall/gateway/routing_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace slatestall {
namespace {

route Route(const std::string& name, const std::string& host,
            const std::string& prefix) {
  route made;
  made.name = name;
  made.host = host;
  made.path_prefix = prefix;
  return made;
}

class routing_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(routing_table_test);
  CPPUNIT_TEST(TheLongestPrefixOfTheHostDecides);
  CPPUNIT_TEST(HostsAreComparedWithoutPortAndCase);
  CPPUNIT_TEST(OfTwoEqualPrefixesTheFirstHolds);
  CPPUNIT_TEST_SUITE_END();

  void TheLongestPrefixOfTheHostDecides() {
    routing_table table;
    table.routes = {Route("short", "x", "/a/"), Route("long", "x", "/a/b/"),
                    Route("root", "y", "/")};
    table.Index();
    CPPUNIT_ASSERT_EQUAL(std::string("short"), table.Find("x", "/a/c")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("short"), table.Find("x", "/a/b")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("long"), table.Find("x", "/a/b/c")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("root"), table.Find("y", "/any")->name);
    CPPUNIT_ASSERT(table.Find("x", "/other") == nullptr);
    CPPUNIT_ASSERT(table.Find("z", "/a/") == nullptr);
    CPPUNIT_ASSERT(table.Find("x", "") == nullptr);
  }

  void HostsAreComparedWithoutPortAndCase() {
    CPPUNIT_ASSERT_EQUAL(std::string("a.example"), RouteHost("A.Example:80"));
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]"), RouteHost("[::1]"));
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]"), RouteHost("[::1]:80"));
  }

  void OfTwoEqualPrefixesTheFirstHolds() {
    routing_table table;
    table.routes = {Route("first", "x", "/a/"), Route("second", "x", "/a/")};
    table.Index();
    CPPUNIT_ASSERT_EQUAL(std::string("first"), table.Find("x", "/a/")->name);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_table_test);

}  // namespace
}  // namespace slatestall
