#include "slatestall/policy/endpoint_choice.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

#include "slatestall/policy/latency_histogram.h"
#include "slatestall/policy/policy_test_world.h"
#include "slatestall/policy/service_traffic.h"

namespace slatestall {
namespace {

const std::vector<std::uint64_t> kNoPrefixes;
const std::vector<std::string> kNothingTried;

choice_request PlainChoice() {
  choice_request request;
  request.prefixes = &kNoPrefixes;
  request.tried = &kNothingTried;
  request.service_time = 0.1;
  return request;
}

service_view ViewOf(std::size_t count) {
  policy_test_world world(count);
  return world.Next().services["pool"];
}

class endpoint_choice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_choice_test);
  CPPUNIT_TEST(AnUnhealthyEndpointIsTheLastResort);
  CPPUNIT_TEST(EjectionLeavesHalfOfTheEndpoints);
  CPPUNIT_TEST(ALostFailureDomainIsAvoidedAtOnce);
  CPPUNIT_TEST(NoDomainIsGivenUpWhileNoneAnswers);
  CPPUNIT_TEST(HostsMeetAtOneEndpointForAPrefixUntilItIsSlower);
  CPPUNIT_TEST(SubsetsCoverAllEndpoints);
  CPPUNIT_TEST(QuantilesAreWithinOneBucket);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnUnhealthyEndpointIsTheLastResort() {
    CPPUNIT_ASSERT(rc::check("ejected only without alternatives", [] {
      const std::size_t count = *rc::gen::inRange<std::size_t>(1, 20);
      const service_view view = ViewOf(count);
      const time_point now = TestStart();
      endpoint_set set("entry-1");
      set.Update(view, 1, now);
      std::set<endpoint_state*> good;
      for (endpoint_state* state : set.Listed()) {
        if (*rc::gen::inRange(0, 3) == 0) {
          good.insert(state);
        } else {
          state->Health().Eject(now);
        }
      }
      endpoint_choice choice(routing_rule::kLeastWait, "even");
      random_generator random(*rc::gen::arbitrary<std::uint64_t>());
      endpoint_state* chosen = choice.Choose(
          set.For("").endpoints, PlainChoice(), domain_circuit(), random, now);
      RC_ASSERT(chosen != nullptr);
      RC_ASSERT(good.empty() || good.count(chosen) == 1);
    }));
  }

  // All answers turn bad at once, for instance because this host's network is
  // broken. If every endpoint were ejected, the first one to return would get
  // all the traffic and fail under it.
  void EjectionLeavesHalfOfTheEndpoints() {
    CPPUNIT_ASSERT(rc::check("half of the endpoints stay", [] {
      const std::size_t count = *rc::gen::inRange<std::size_t>(1, 30);
      const service_view view = ViewOf(count);
      const time_point now = TestStart();
      service_traffic service({.host_name = "entry-1"});
      service.Update(view, 1, now);
      for (endpoint_state* state : service.Endpoints().Listed()) {
        for (int i = 0; i < 5; ++i) {
          state->Health().Failed(now);
          service.JudgeHealth(*state, false, now);
        }
      }
      std::size_t left = 0;
      for (const endpoint_state* state : service.Endpoints().Listed()) {
        left += state->Health().Ejected(now) ? 0 : 1;
      }
      RC_ASSERT(2 * left >= count);
    }));
  }

  // A rack loses power: calls to three of its endpoints fail while the other
  // domain answers. The domain's other endpoints are avoided before a call
  // has failed on each of them, and tried again when the circuit closes.
  void ALostFailureDomainIsAvoidedAtOnce() {
    domain_circuit circuit;
    const time_point now = TestStart();
    circuit.Answered("odd", now);
    circuit.Failed("even", "pool-0", now);
    circuit.Failed("even", "pool-2", now);
    circuit.Failed("even", "pool-2", now);
    CPPUNIT_ASSERT(!circuit.Open("even", now));
    circuit.Failed("even", "pool-4", now);
    CPPUNIT_ASSERT(circuit.Open("even", now));
    CPPUNIT_ASSERT(!circuit.Open("odd", now));
    CPPUNIT_ASSERT(!circuit.Open("even", now + std::chrono::seconds(3)));
  }

  void NoDomainIsGivenUpWhileNoneAnswers() {
    domain_circuit circuit;
    const time_point now = TestStart();
    for (const char* address : {"pool-0", "pool-2", "pool-4", "pool-6"}) {
      circuit.Failed("even", address, now);
      circuit.Failed("odd", address, now);
    }
    CPPUNIT_ASSERT(!circuit.Open("even", now));
    CPPUNIT_ASSERT(!circuit.Open("odd", now));
  }

  void HostsMeetAtOneEndpointForAPrefixUntilItIsSlower() {
    const service_view view = ViewOf(12);
    const time_point now = TestStart();
    const std::vector<std::uint64_t> prefixes{11, 12, 13};
    choice_request request = PlainChoice();
    request.prefixes = &prefixes;
    request.prefix_time = 0.08;
    std::set<std::string> homes;
    for (std::uint64_t host = 0; host < 20; ++host) {
      endpoint_set set("entry-" + std::to_string(host));
      set.Update(view, 1, now);
      endpoint_choice choice(routing_rule::kLeastWait,
                             host % 2 == 0 ? "even" : "odd");
      random_generator random(host);
      const auto choose = [&] {
        return choice.Choose(set.For("").endpoints, request, domain_circuit(),
                             random, now);
      };
      endpoint_state* home = choose();
      homes.insert(home->Address());
      for (int i = 0; i < 8; ++i) {
        home->Start({});
      }
      CPPUNIT_ASSERT(choose() != home);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, homes.size());
  }

  void SubsetsCoverAllEndpoints() {
    const service_view view = ViewOf(400);
    constexpr std::uint32_t kHosts = 100;
    std::set<std::string> used;
    for (std::uint32_t host = 0; host < kHosts; ++host) {
      endpoint_set set("entry-" + std::to_string(host));
      set.Update(view, kHosts, TestStart());
      CPPUNIT_ASSERT_EQUAL(std::size_t{32}, set.For("").endpoints.size());
      for (const endpoint_state* state : set.For("").endpoints) {
        used.insert(state->Address());
      }
    }
    CPPUNIT_ASSERT(used.size() >= 398);
  }

  void QuantilesAreWithinOneBucket() {
    latency_histogram histogram;
    for (int i = 1; i <= 1000; ++i) {
      histogram.Add(milliseconds(i), TestStart());
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.50, histogram.Quantile(0.50), 0.05);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.95, histogram.Quantile(0.95), 0.10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_choice_test);

}  // namespace
}  // namespace slatestall
