#include "slatestall/gateway/version_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace slatestall {
namespace {

constexpr milliseconds kStreamLife{8000};

time_point At(int second) { return time_point{} + milliseconds(1000) * second; }

known_endpoint Endpoint(const std::string& service,
                        const std::string& version) {
  known_endpoint endpoint;
  endpoint.service = service;
  endpoint.version = version;
  return endpoint;
}

class version_history_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(version_history_test);
  CPPUNIT_TEST(TheOnlyVersionIsKnownOnceStreamsBeforeAreOver);
  CPPUNIT_TEST(AVersionThatLeftTheListStillCounts);
  CPPUNIT_TEST(AGapInTheListBeginsAnew);
  CPPUNIT_TEST_SUITE_END();

  // A host that has just started does not know what was listed before.
  void TheOnlyVersionIsKnownOnceStreamsBeforeAreOver() {
    version_history versions;
    versions.Note(Endpoint("s", "v1"), At(0));
    CPPUNIT_ASSERT(!versions.Only("s", kStreamLife, At(60)));
    versions.Begin(At(0));
    CPPUNIT_ASSERT(!versions.Only("s", kStreamLife, At(7)));
    CPPUNIT_ASSERT(versions.Only("s", kStreamLife, At(8)) == "v1");
    CPPUNIT_ASSERT(!versions.Only("t", kStreamLife, At(8)));
    versions.Note(Endpoint("t", "v2"), At(8));
    CPPUNIT_ASSERT(versions.Only("s", kStreamLife, At(8)) == "v1");
    versions.Note(Endpoint("s", "v2"), At(9));
    CPPUNIT_ASSERT(!versions.Only("s", kStreamLife, At(10)));
  }

  // A host that the store turns away may still use an old list.
  void AVersionThatLeftTheListStillCounts() {
    version_history versions;
    versions.Begin(At(0));
    versions.Note(Endpoint("s", "v1"), At(0));
    versions.Note(Endpoint("s", "v2"), At(100));
    CPPUNIT_ASSERT(!versions.Only("s", kStreamLife, At(500)));
    versions.Note(Endpoint("s", "v2"), At(1000));
    CPPUNIT_ASSERT(versions.Only("s", kStreamLife, At(1000)) == "v2");
  }

  // Versions that came and went between two whole reads were not seen.
  void AGapInTheListBeginsAnew() {
    version_history versions;
    versions.Begin(At(0));
    versions.Note(Endpoint("s", "v1"), At(50));
    versions.Begin(At(50));
    CPPUNIT_ASSERT(!versions.Only("s", kStreamLife, At(55)));
    CPPUNIT_ASSERT(versions.Only("s", kStreamLife, At(58)) == "v1");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_history_test);

}  // namespace
}  // namespace slatestall
