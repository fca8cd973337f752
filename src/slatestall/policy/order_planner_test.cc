#include "slatestall/policy/order_planner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace slatestall {
namespace {

std::vector<engine_state> Engines(std::size_t count) {
  std::vector<engine_state> engines;
  for (std::size_t i = 0; i < count; ++i) {
    engine_state engine;
    engine.address = "10.0.0." + std::to_string(i) + ":1";
    engine.failure_domain = "domain-" + std::to_string(i % 4);
    engine.reported = true;
    engines.push_back(engine);
  }
  return engines;
}

std::vector<model_demand> AnyDemand(std::size_t engines) {
  std::vector<model_demand> demand;
  const auto models = *rc::gen::inRange(1, 5);
  for (int i = 0; i < models; ++i) {
    const auto replicas = *rc::gen::inRange<std::uint32_t>(
        1, static_cast<std::uint32_t>(engines + 2));
    demand.push_back({"m" + std::to_string(i), "1", {}, replicas});
  }
  return demand;
}

void Carry(const engine_order& order, std::vector<engine_state>& engines) {
  for (auto& engine : engines) {
    if (engine.address == order.address) {
      engine.models = order.models;
      engine.adapters = order.adapters;
    }
  }
}

std::set<std::string> LabelsOf(const std::vector<model_demand>& demand) {
  std::set<std::string> labels;
  for (const auto& model : demand) {
    labels.insert(model.Label());
  }
  return labels;
}

std::size_t Holding(const std::vector<engine_state>& engines,
                    const std::string& prefix) {
  return static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(), [&](const auto& engine) {
        return std::any_of(
            engine.models.begin(), engine.models.end(),
            [&](const auto& label) { return label.rfind(prefix, 0) == 0; });
      }));
}

class order_planner_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(order_planner_test);
  CPPUNIT_TEST(OrdersConvergeInAnyOrder);
  CPPUNIT_TEST(ANewVersionKeepsTheModelServed);
  CPPUNIT_TEST(ARenamedModelIsKeptUntilTheNewOneIsReady);
  CPPUNIT_TEST(EnginesWithoutDemandAreLeftAlone);
  CPPUNIT_TEST(ReplicasSpreadOverFailureDomains);
  CPPUNIT_TEST(OneEngineLessMovesLittle);
  CPPUNIT_TEST(NothingIsOrderedBlindly);
  CPPUNIT_TEST(WithoutWeightsNothingChanges);
  CPPUNIT_TEST(AnOrderOfAnOldHolderIsMended);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Orders get lost, arrive in any order and are repeated. Each names the
  // whole state, so following the reports leads to the placement anyway, and
  // then no order is left to send.
  void OrdersConvergeInAnyOrder() {
    CPPUNIT_ASSERT(rc::check("orders converge in any order", [] {
      auto engines = Engines(*rc::gen::inRange<std::size_t>(1, 12));
      const auto demand = AnyDemand(engines.size());
      const auto labels = LabelsOf(demand);
      std::vector<engine_order> late;
      for (int i = 0; i < 60; ++i) {
        for (const auto& order : PlanOrders(demand, engines, labels)) {
          if (*rc::gen::arbitrary<bool>()) {
            Carry(order, engines);
          } else {
            late.push_back(order);
          }
        }
        if (i < 10 && !late.empty()) {
          Carry(late[static_cast<std::size_t>(i) % late.size()], engines);
        }
      }
      for (int i = 0; i < 60; ++i) {
        for (const auto& order : PlanOrders(demand, engines, labels)) {
          Carry(order, engines);
        }
      }
      RC_ASSERT(PlanOrders(demand, engines, labels).empty());
      const auto places = PlaceModels(demand, engines);
      for (std::size_t i = 0; i < engines.size(); ++i) {
        std::set<std::string> wanted;
        for (const auto& name : places[i]) {
          wanted.insert(name + "@1");
        }
        RC_ASSERT(engines[i].models == wanted);
      }
    }));
  }

  // An operator publishes version 2 of a model. Loading takes minutes; ordered
  // everywhere at once, no engine would be left to serve the model meanwhile.
  void ANewVersionKeepsTheModelServed() {
    auto engines = Engines(8);
    std::vector<model_demand> demand{{"m", "1", {}, 8}};
    for (auto& engine : engines) {
      engine.models = {"m@1"};
    }
    demand[0].version = "2";
    int rounds = 0;
    while (Holding(engines, "m@2") < 8) {
      const auto orders = PlanOrders(demand, engines, {"m@2"});
      CPPUNIT_ASSERT(!orders.empty());
      CPPUNIT_ASSERT(orders.size() <= 2);
      for (const auto& order : orders) {
        Carry(order, engines);
      }
      CPPUNIT_ASSERT(++rounds <= 8);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Holding(engines, "m@1"));
  }

  // A file gives a model another name. Dropped at once for not being named any
  // more, it would be missing until the new one has been loaded.
  void ARenamedModelIsKeptUntilTheNewOneIsReady() {
    auto engines = Engines(8);
    for (auto& engine : engines) {
      engine.models = {"old@1"};
    }
    const std::vector<model_demand> demand{{"new", "1", {}, 8}};
    auto orders = PlanOrders(demand, engines, {"new@1"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, orders.size());
    for (int round = 0; round < 8; ++round) {
      for (const auto& order : PlanOrders(demand, engines, {"new@1"})) {
        Carry(order, engines);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{8},
                           Holding(engines, "old@") + Holding(engines, "new@"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Holding(engines, "new@"));
  }

  // A file without any pipeline on the engines must not empty them.
  void EnginesWithoutDemandAreLeftAlone() {
    auto engines = Engines(2);
    engines[0].models = {"m@1"};
    CPPUNIT_ASSERT(PlanOrders({}, engines, {}).empty());
  }

  void ReplicasSpreadOverFailureDomains() {
    const auto engines = Engines(20);
    const auto places = PlaceModels({{"m", "1", {}, 4}}, engines);
    std::set<std::string> domains;
    for (std::size_t i = 0; i < engines.size(); ++i) {
      if (!places[i].empty()) {
        domains.insert(engines[i].failure_domain);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, domains.size());
  }

  void OneEngineLessMovesLittle() {
    CPPUNIT_ASSERT(rc::check("one engine less moves little", [] {
      auto engines = Engines(*rc::gen::inRange<std::size_t>(6, 30));
      const std::vector<model_demand> demand{{"m", "1", {}, 4}};
      const auto before = PlaceModels(demand, engines);
      const auto gone = *rc::gen::inRange<std::size_t>(0, engines.size());
      engines[gone].leaving = true;
      const auto after = PlaceModels(demand, engines);
      std::size_t moved = 0;
      for (std::size_t i = 0; i < engines.size(); ++i) {
        moved += !after[i].empty() && before[i].empty() ? 1 : 0;
      }
      RC_ASSERT(after[gone].empty());
      RC_ASSERT(moved <= (before[gone].empty() ? 0U : 1U));
    }));
  }

  // An engine has not reported yet, as right after a change of holder. An
  // order from nothing known would unload what it serves.
  void NothingIsOrderedBlindly() {
    auto engines = Engines(3);
    engines[0].reported = false;
    engines[1].leaving = true;
    const auto orders = PlanOrders({{"m", "1", {}, 3}}, engines, {"m@1"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    CPPUNIT_ASSERT_EQUAL(engines[2].address, orders[0].address);
  }

  // The weight store refuses or does not know the version. An engine told to
  // load it would drop the old version and wait.
  void WithoutWeightsNothingChanges() {
    auto engines = Engines(4);
    for (auto& engine : engines) {
      engine.models = {"m@1"};
    }
    CPPUNIT_ASSERT(PlanOrders({{"m", "2", {}, 4}}, engines, {}).empty());
  }

  // A paused holder wakes and its old order reaches an engine that ignores
  // fencing numbers. The engine reports the wrong model, and the next plan
  // orders the right one again.
  void AnOrderOfAnOldHolderIsMended() {
    auto engines = Engines(2);
    for (auto& engine : engines) {
      engine.models = {"m@2"};
      engine.adapters = {"a"};
    }
    const std::vector<model_demand> demand{{"m", "2", {"a"}, 2}};
    CPPUNIT_ASSERT(PlanOrders(demand, engines, {"m@2"}).empty());
    Carry({engines[0].address, {"m@1"}, {}}, engines);
    const auto orders = PlanOrders(demand, engines, {"m@2"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    CPPUNIT_ASSERT(
        (orders[0] == engine_order{engines[0].address, {"m@2"}, {"a"}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_planner_test);

}  // namespace
}  // namespace slatestall
