#include "slatestall/gateway/endpoint_listing.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

using std::chrono::seconds;

const time_point kStart{std::chrono::hours(1)};

known_endpoint Endpoint(const std::string& id, bool leaving = false) {
  known_endpoint endpoint;
  endpoint.id = id;
  endpoint.leaving = leaving;
  return endpoint;
}

class endpoint_listing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_listing_test);
  CPPUNIT_TEST(ADeletedEntryIsGoneAtOnce);
  CPPUNIT_TEST(EntriesThatLapseInAnOutageAreKeptUntilAfterIt);
  CPPUNIT_TEST(WhatIsStillMissingAfterAnOutageIsGone);
  CPPUNIT_TEST(ADeletionAfterTheReturnCounts);
  CPPUNIT_TEST(OneThatWasLeavingIsGoneInAnOutageToo);
  CPPUNIT_TEST_SUITE_END();

  void ADeletedEntryIsGoneAtOnce() {
    endpoint_listing listing(milliseconds(2000));
    listing.Put(Endpoint("a"));
    listing.NoteRead(true, kStart);
    listing.Drop("a", kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listing.size());
  }

  // The store is away for eight seconds. Endpoints cannot renew their entries,
  // which lapse although all of them live; the list that is read first after
  // the outage is empty. Taken at its word, every request would be refused.
  void EntriesThatLapseInAnOutageAreKeptUntilAfterIt() {
    endpoint_listing listing(milliseconds(2000));
    listing.ReplaceAll({Endpoint("a"), Endpoint("b")}, kStart);
    listing.NoteRead(true, kStart);
    listing.NoteRead(false, kStart + seconds(1));
    const time_point back = kStart + seconds(9);
    listing.NoteRead(true, back);
    listing.ReplaceAll({}, back);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listing.size());
    listing.Put(Endpoint("a"));
    CPPUNIT_ASSERT(!listing.DropOverdue(back + seconds(1)));
  }

  void WhatIsStillMissingAfterAnOutageIsGone() {
    endpoint_listing listing(milliseconds(2000));
    listing.ReplaceAll({Endpoint("a"), Endpoint("b")}, kStart);
    listing.NoteRead(false, kStart + seconds(1));
    const time_point back = kStart + seconds(9);
    listing.NoteRead(true, back);
    listing.ReplaceAll({}, back);
    listing.Put(Endpoint("a"));
    listing.NoteRead(true, back + seconds(3));
    CPPUNIT_ASSERT(listing.DropOverdue(back + seconds(3)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listing.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), listing.Listed().front().id);
  }

  // One host alone was cut off from the store, which was well all the while.
  // Half a second after its return an endpoint leaves without a word, and its
  // entry goes. Kept as one that lapsed in an outage, it would get work for two
  // seconds more, past the limit for endpoints that leave.
  void ADeletionAfterTheReturnCounts() {
    endpoint_listing listing(milliseconds(2000));
    listing.Put(Endpoint("a"));
    listing.NoteRead(false, kStart);
    const time_point back = kStart + seconds(8);
    listing.NoteRead(true, back);
    const time_point later = back + milliseconds(700);
    listing.NoteRead(true, later);
    listing.Drop("a", later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listing.size());
  }

  void OneThatWasLeavingIsGoneInAnOutageToo() {
    endpoint_listing listing(milliseconds(2000));
    listing.Put(Endpoint("a", true));
    listing.NoteRead(false, kStart);
    listing.Drop("a", kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listing.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_listing_test);

}  // namespace
}  // namespace slatestall
