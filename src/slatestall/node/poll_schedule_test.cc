#include "slatestall/node/poll_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>

#include "slatestall/node/endpoint_watch.h"

namespace slatestall {
namespace {

using std::chrono::seconds;

constexpr const char* kAddress = "127.0.0.1:9001";
constexpr const char* kOther = "127.0.0.1:9002";
constexpr const char* kService = "drafter";
constexpr poll_pace kPace{milliseconds{2000}, milliseconds{20'000}};

class poll_schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(poll_schedule_test);
  CPPUNIT_TEST(AnEndpointNeverCalledIsPolled);
  CPPUNIT_TEST(AQuietHostStillAsksWhatItWatches);
  CPPUNIT_TEST(AWatchedEndpointIsAskedThoughItAnswers);
  CPPUNIT_TEST(AnswersPutPollsOffButNotForGood);
  CPPUNIT_TEST(OrdersAreGivenByReportsAlone);
  CPPUNIT_TEST(ACallMakesTheHostBusyAtOnce);
  CPPUNIT_TEST(CallsOfAnotherServiceChangeNothing);
  CPPUNIT_TEST(EachEndpointHasTwoWatchers);
  CPPUNIT_TEST(AHostThatGoesHandsItsWatchOn);
  CPPUNIT_TEST_SUITE_END();

  time_point now_ = time_point{} + seconds{1000};
  poll_schedule schedule_;

  void Use(poll_reason reason) {
    reason.service = kService;
    schedule_.SetTargets({{kAddress, reason}, {kOther, {kService}}}, kPace,
                         now_);
    now_ += seconds{1};
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, schedule_.TakeDue(now_).size());
  }

  /// Polls of `kAddress` in the next `time`, with `step` run each 100 ms.
  int PollsIn(
      seconds time, const std::function<void()>& step = [] {}) {
    int polls = 0;
    for (const auto end = now_ + time; now_ < end;) {
      now_ += milliseconds{100};
      step();
      const auto due = schedule_.TakeDue(now_);
      polls += static_cast<int>(std::count(due.begin(), due.end(), kAddress));
    }
    return polls;
  }

  static std::vector<std::string> Hosts(int count) {
    std::vector<std::string> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      hosts.push_back("entry-" + std::to_string(i));
    }
    return hosts;
  }

  static std::set<std::string> Endpoints() {
    std::set<std::string> endpoints;
    for (int i = 0; i < 200; ++i) {
      endpoints.insert("10.0.0." + std::to_string(i) + ":1");
    }
    return endpoints;
  }

 public:
  // Calls go to one endpoint only, whose answers tell its load. The other has
  // to be asked, or nobody learns what it holds and that it leaves.
  void AnEndpointNeverCalledIsPolled() {
    Use({});
    const int polls =
        PollsIn(seconds{20}, [this] { schedule_.NoteTold(kOther, now_); });
    CPPUNIT_ASSERT_EQUAL(10, polls);
  }

  // No traffic at all, and an endpoint leaves: the word has to be found by
  // asking. Within a second and a bit, or calls of others run into it.
  void AQuietHostStillAsksWhatItWatches() {
    Use({.watched = true});
    CPPUNIT_ASSERT_EQUAL(20, PollsIn(seconds{20}));
    schedule_ = {};
    Use({});
    CPPUNIT_ASSERT_EQUAL(1, PollsIn(seconds{20}));
  }

  // Callers keep an endpoint busy that is leaving and still answers. Its
  // answers tell its load, not that it leaves, and the host list lags: unless
  // those who watch it ask all the same, it gets new work until its answers
  // cease.
  void AWatchedEndpointIsAskedThoughItAnswers() {
    Use({.watched = true});
    CPPUNIT_ASSERT_EQUAL(20, PollsIn(seconds{20}, [this] {
                           schedule_.NoteTold(kAddress, now_);
                         }));
  }

  // Models, adapters and cache hints come by polls only. An endpoint that is
  // called all the time would otherwise be believed to hold what it once did.
  void AnswersPutPollsOffButNotForGood() {
    Use({});
    const auto told = [this] { schedule_.NoteTold(kAddress, now_); };
    CPPUNIT_ASSERT_EQUAL(0, PollsIn(seconds{9}, told));
    CPPUNIT_ASSERT_EQUAL(2, PollsIn(seconds{11}, told));
    CPPUNIT_ASSERT(PollsIn(seconds{9}) >= 4);
  }

  void OrdersAreGivenByReportsAlone() {
    Use({.ordered = true});
    const auto told = [this] { schedule_.NoteTold(kAddress, now_); };
    CPPUNIT_ASSERT(PollsIn(seconds{20}, told) >= 5);
  }

  void ACallMakesTheHostBusyAtOnce() {
    Use({});
    now_ += seconds{5};
    CPPUNIT_ASSERT(*schedule_.NextDue(now_) > now_ + seconds{10});
    schedule_.NoteTold(kOther, now_);
    CPPUNIT_ASSERT(*schedule_.NextDue(now_) <= now_);
  }

  // A host that calls one service asks nothing more of the others.
  void CallsOfAnotherServiceChangeNothing() {
    schedule_.SetTargets({{kAddress, {kService}}, {kOther, {"billing"}}}, kPace,
                         now_);
    now_ += seconds{1};
    schedule_.TakeDue(now_);
    const auto told = [this] { schedule_.NoteTold(kOther, now_); };
    CPPUNIT_ASSERT_EQUAL(1, PollsIn(seconds{20}, told));
  }

  void EachEndpointHasTwoWatchers() {
    const auto hosts = Hosts(50);
    std::map<std::string, std::size_t> watchers;
    for (const auto& host : hosts) {
      const auto watched = WatchedBy(host, hosts, Endpoints());
      CPPUNIT_ASSERT(watched.size() < 30);
      for (const auto& address : watched) {
        ++watchers[address];
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, watchers.size());
    for (const auto& [address, count] : watchers) {
      CPPUNIT_ASSERT_EQUAL(kWatchers, count);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{200},
                         WatchedBy("entry-0", {}, Endpoints()).size());
  }

  // A host goes. What it watched has to be watched by another, and nothing
  // else need change hands.
  void AHostThatGoesHandsItsWatchOn() {
    const auto before = Hosts(50);
    const auto after = Hosts(49);
    const auto lost = WatchedBy("entry-49", before, Endpoints());
    std::size_t taken = 0;
    for (const auto& host : after) {
      const auto had = WatchedBy(host, before, Endpoints());
      const auto has = WatchedBy(host, after, Endpoints());
      for (const auto& address : had) {
        CPPUNIT_ASSERT(has.count(address) != 0);
      }
      taken += has.size() - had.size();
    }
    CPPUNIT_ASSERT_EQUAL(lost.size(), taken);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poll_schedule_test);

}  // namespace
}  // namespace slatestall
