#include "slatestall/peer/gossip_service.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <optional>

#include "slatestall/peer/peer_test_support.h"
#include "slatestall/peer/share_service.h"

namespace slatestall {
namespace {

constexpr std::size_t kHosts = 3;
constexpr double kLimit = 30;

/// One host with everything that talks to the others.
struct whole_host {
  whole_host(asio::io_context& context, std::size_t number)
      : name("entry-" + std::to_string(number)),
        peers(context, {name, 100 + number}, LocalOptions()) {
    member_digest self;
    self.host = name;
    self.version = {1000, 100 + number, 0};
    self.peer_address = AddressOf(peers.Port());
    gossip_service_options options;
    options.exchange.round = milliseconds(50);
    options.exchange.urgent_delay = milliseconds(10);
    options.exchange.seed = number + 1;
    options.call_timeout = milliseconds(500);
    gossip.emplace(context, peers, std::chrono::steady_clock::now, self,
                   options, [this] { ++changes; });
    share_rules rules;
    rules.min_interval = milliseconds(100);
    shares.emplace(context, peers, std::chrono::steady_clock::now,
                   gossip->View(), rules, nullptr);
    workspace_config config;
    config.limits = {kLimit, 0, 0};
    shares->UseWorkspaces({{"shop", config}});
  }

  double Share() const {
    return shares->Shares().at("shop").requests_per_second;
  }

  std::string name;
  peer_node peers;
  std::optional<gossip_service> gossip;
  std::optional<share_service> shares;
  int changes = 0;
};

class gossip_service_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gossip_service_test);
  CPPUNIT_TEST(NewsReachesAll);
  CPPUNIT_TEST(BusyHostGetsWhatOthersLeave);
  CPPUNIT_TEST(HostMayGoAtAnyMoment);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    std::vector<listed_member> list;
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<whole_host>(context_, i));
      list.push_back(
          {hosts_[i]->name, AddressOf(hosts_[i]->peers.Port()), "", false});
    }
    for (const auto& host : hosts_) {
      host->gossip->UseList(list);
      host->gossip->Start();
      host->shares->Start();
    }
  }
  void tearDown() override { hosts_.clear(); }

  void NewsReachesAll() {
    hosts_[0]->gossip->NoteEndpoint("10.0.0.1:9000",
                                    wire::notice_kind::leaving);
    hosts_[1]->gossip->SetRevision(7);
    hosts_[2]->gossip->SetDraining();
    CPPUNIT_ASSERT(RunUntil(context_, [&] {
      return All([](const whole_host& host) {
        return host.gossip->Notices().size() == 1 && host.gossip->Head() == 7 &&
               host.gossip->View().Find("entry-1")->digest.revision == 7 &&
               host.gossip->View().LiveHosts().size() == kHosts - 1;
      });
    }));
    CPPUNIT_ASSERT(
        All([](const whole_host& host) { return host.changes > 0; }));
  }

  // One host has all the callers. It gets the pool on top of its floor; when a
  // second one turns busy, the two come to share it, and never pass the limit.
  void BusyHostGetsWhatOthersLeave() {
    hosts_[0]->shares->UseDemand("shop", {kLimit, 0, 0});
    CPPUNIT_ASSERT(
        RunUntil(context_, [&] { return hosts_[0]->Share() > 0.8 * kLimit; }));
    hosts_[1]->shares->UseDemand("shop", {kLimit, 0, 0});
    CPPUNIT_ASSERT(RunUntil(context_, [&] {
      CPPUNIT_ASSERT(Sum() <= kLimit * 1.0001);
      return std::abs(hosts_[0]->Share() - hosts_[1]->Share()) < 0.01 * kLimit;
    }));
    CPPUNIT_ASSERT(hosts_[2]->Share() > 0);
  }

  // A host stops in the middle of its exchanges. Timers and replies of its
  // calls find nothing, and the others come to hold it for a suspect.
  void HostMayGoAtAnyMoment() {
    CPPUNIT_ASSERT(RunUntil(
        context_, [&] { return hosts_[2]->peers.ConnectionCount() > 0; }));
    hosts_.pop_back();
    CPPUNIT_ASSERT(RunUntil(context_, [&] {
      return All([](const whole_host& host) {
        return host.gossip->View().Find("entry-2")->state ==
               member_state::kSuspect;
      });
    }));
  }

 private:
  bool All(const std::function<bool(const whole_host&)>& holds) const {
    return std::all_of(hosts_.begin(), hosts_.end(),
                       [&](const auto& host) { return holds(*host); });
  }
  double Sum() const {
    double sum = 0;
    for (const auto& host : hosts_) {
      sum += host->Share();
    }
    return sum;
  }

  asio::io_context context_;
  std::vector<std::unique_ptr<whole_host>> hosts_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gossip_service_test);

}  // namespace
}  // namespace slatestall
