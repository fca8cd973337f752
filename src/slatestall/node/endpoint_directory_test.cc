#include "slatestall/node/endpoint_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

using std::chrono::seconds;

constexpr const char* kAddress = "127.0.0.1:9001";

accepted_configuration_ptr OneListedService() {
  auto accepted = std::make_shared<accepted_configuration>();
  service_config service;
  service.name = "drafter";
  service.from_host_list = true;
  accepted->content.services["drafter"] = service;
  return accepted;
}

std::vector<listed_host> Listed(bool leaving) {
  return {{"drafter", {kAddress, "suva-a"}, "d1", leaving}};
}

load_report Load(time_point received, bool leaving) {
  load_report load;
  load.received = received;
  load.leaving = leaving;
  return load;
}

class endpoint_directory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_directory_test);
  CPPUNIT_TEST(TheEarliestWordOfLeavingCounts);
  CPPUNIT_TEST(ALaggingLoadReportDoesNotUndoLeaving);
  CPPUNIT_TEST(ANoticeThatWasTakenBackDoesNotComeUpAgain);
  CPPUNIT_TEST(AnEmptyListDoesNotRemoveWhatAnswers);
  CPPUNIT_TEST(AServiceTakesEndpointsFromTheListByName);
  CPPUNIT_TEST(AnOlderReportDoesNotUndoWhatAnAnswerTold);
  CPPUNIT_TEST(WhatAnswersTellSaysNothingOfLeaving);
  CPPUNIT_TEST(AnIdleReportIsNoChange);
  CPPUNIT_TEST(TheDirectoryForgetsWhatIsGone);
  CPPUNIT_TEST_SUITE_END();

  time_point now_ = time_point{} + seconds{1000};
  endpoint_directory directory_;

  endpoint_view Seen() const {
    return directory_.Views({}).at("drafter").endpoints.at(0);
  }

 public:
  void setUp() override {
    directory_.UseConfiguration(OneListedService());
    directory_.UseHostList(Listed(false), now_);
  }

  void TheEarliestWordOfLeavingCounts() {
    CPPUNIT_ASSERT(!directory_.IsLeaving(kAddress));
    CPPUNIT_ASSERT(directory_.MarkLeaving(kAddress, now_));
    CPPUNIT_ASSERT(!directory_.MarkLeaving(kAddress, now_));
    CPPUNIT_ASSERT(directory_.Views({}).at("drafter").endpoints.at(0).leaving);
    endpoint_directory by_list;
    by_list.UseConfiguration(OneListedService());
    by_list.UseHostList(Listed(true), now_);
    CPPUNIT_ASSERT(by_list.Views({}).at("drafter").endpoints.at(0).leaving);
    endpoint_directory by_load;
    by_load.UseConfiguration(OneListedService());
    by_load.UseHostList(Listed(false), now_);
    CPPUNIT_ASSERT(by_load.TakeLoad(kAddress, Load(now_, true)));
    CPPUNIT_ASSERT(by_load.IsLeaving(kAddress));
  }

  // An endpoint refuses a call as leaving. Its load report, which lags,
  // arrives a second later and was built before that. New work sent on the
  // strength of it would be cut when the endpoint goes.
  void ALaggingLoadReportDoesNotUndoLeaving() {
    directory_.MarkLeaving(kAddress, now_);
    CPPUNIT_ASSERT(
        !directory_.TakeLoad(kAddress, Load(now_ + seconds{1}, false)));
    CPPUNIT_ASSERT(directory_.IsLeaving(kAddress));
    CPPUNIT_ASSERT(
        directory_.TakeLoad(kAddress, Load(now_ + seconds{40}, false)));
    CPPUNIT_ASSERT(!directory_.IsLeaving(kAddress));
  }

  // An endpoint leaves and comes back at the same address, while hosts still
  // pass on the notice of its leaving. It would be without work for as long.
  void ANoticeThatWasTakenBackDoesNotComeUpAgain() {
    directory_.MarkLeaving(kAddress, now_);
    directory_.TakeLoad(kAddress, Load(now_ + seconds{40}, false));
    CPPUNIT_ASSERT(!directory_.MarkLeaving(kAddress, now_ + seconds{1}));
    CPPUNIT_ASSERT(!directory_.IsLeaving(kAddress));
    CPPUNIT_ASSERT(directory_.MarkLeaving(kAddress, now_ + seconds{50}));
    CPPUNIT_ASSERT(directory_.IsLeaving(kAddress));
  }

  // The list service restarts and answers with an empty list. All endpoints
  // run and answer; dropping them would refuse every request.
  void AnEmptyListDoesNotRemoveWhatAnswers() {
    directory_.TakeLoad(kAddress, Load(now_, false));
    directory_.UseHostList({}, now_ + seconds{5});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         directory_.Services().at("drafter").size());
    directory_.UseHostList({}, now_ + seconds{60});
    CPPUNIT_ASSERT(directory_.Services().at("drafter").empty());
  }

  void AServiceTakesEndpointsFromTheListByName() {
    auto hosts = Listed(false);
    hosts.push_back({"archive", {"127.0.0.1:9002", "suva-b"}, "a1", false});
    directory_.UseHostList(hosts, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         directory_.Services().at("drafter").size());
    const auto views = directory_.Views(std::set<std::string>{});
    CPPUNIT_ASSERT(views.at("drafter").endpoints.empty());
  }

  // An answer tells that six calls wait. A poll that was sent before comes in
  // after it with a report that says none. Calls sent on the strength of it
  // would queue behind the six.
  void AnOlderReportDoesNotUndoWhatAnAnswerTold() {
    directory_.TakeLoad(kAddress, Load(now_, false));
    directory_.TakeTold(kAddress, {1, 6, 8, now_ + seconds{2}});
    auto older = Load(now_ + seconds{1}, false);
    older.models = {"faq-7b@1"};
    directory_.TakeLoad(kAddress, older);
    const auto& kept = Seen().load;
    CPPUNIT_ASSERT_EQUAL(6U, kept.waiting);
    CPPUNIT_ASSERT(kept.received == now_ + seconds{2});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, kept.models.size());
    directory_.TakeTold(kAddress, {1, 3, 8, now_ + seconds{1}});
    CPPUNIT_ASSERT_EQUAL(6U, Seen().load.waiting);
    directory_.TakeLoad(kAddress, Load(now_ + seconds{3}, false));
    CPPUNIT_ASSERT_EQUAL(0U, Seen().load.waiting);
  }

  // An endpoint that leaves still answers calls in hand. Its counts are no
  // word that it is back, however late they come.
  void WhatAnswersTellSaysNothingOfLeaving() {
    CPPUNIT_ASSERT(!directory_.TakeTold(kAddress, {1, 1, 8, now_}));
    CPPUNIT_ASSERT(Seen().load.received == time_point{});
    directory_.TakeLoad(kAddress, Load(now_, false));
    directory_.MarkLeaving(kAddress, now_);
    directory_.TakeTold(kAddress, {1, 0, 8, now_ + seconds{60}});
    CPPUNIT_ASSERT(directory_.IsLeaving(kAddress));
  }

  void AnIdleReportIsNoChange() {
    directory_.TakeLoad(kAddress, Load(now_, false));
    const auto before = directory_.Changes();
    CPPUNIT_ASSERT(before > 0);
    directory_.TakeLoad(kAddress, Load(now_ + seconds{1}, false));
    CPPUNIT_ASSERT(!directory_.TakeSameLoad(kAddress, now_ + seconds{2}));
    CPPUNIT_ASSERT_EQUAL(before, directory_.Changes());
    CPPUNIT_ASSERT(Seen().load.received == now_ + seconds{2});
    directory_.TakeTold(kAddress, {1, 0, 0, now_ + seconds{3}});
    CPPUNIT_ASSERT(directory_.Changes() > before);
    const auto busy = directory_.Changes();
    directory_.TakeSameLoad(kAddress, now_ + seconds{4});
    CPPUNIT_ASSERT(directory_.Changes() > busy);
  }

  void TheDirectoryForgetsWhatIsGone() {
    directory_.MarkLeaving(kAddress, now_);
    auto hosts = Listed(false);
    hosts[0].where.address = "127.0.0.1:9003";
    directory_.UseHostList(hosts, now_);
    directory_.UseHostList(Listed(false), now_);
    CPPUNIT_ASSERT(!directory_.IsLeaving(kAddress));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_directory_test);

}  // namespace
}  // namespace slatestall
