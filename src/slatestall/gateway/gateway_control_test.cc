#include "slatestall/gateway/gateway_control.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <map>
#include <string>
#include <vector>

#include "slatestall/gateway/fake_topic.h"
#include "slatestall/relay/boot_time.h"

namespace slatestall {
namespace {

const std::string kEvacuate = "out/";
/// Another host has recorded the version that all endpoints here have.
const std::string kAllVersions = WriteVersionRecord({{{"", {""}}}, 1, true});

/// Keys "out/DOMAIN" evacuate, "VERSION" is a configuration; an endpoint's
/// value is its failure domain.
platform_link Link(fake_topic& operator_topic, fake_topic& endpoints,
                   fake_topic& hosts) {
  platform_link link;
  link.configuration = operator_topic.Topic();
  link.endpoints = endpoints.Topic();
  link.hosts = hosts.Topic();
  link.crashes.read_newest = [](const auto&) {};
  link.write_crash = [](const auto&, const auto&, const auto&) {};
  link.announce = [](const auto&, const auto&, const auto&) {};
  link.read_configuration = [](const keyed_record& record) {
    if (record.key.starts_with(kEvacuate)) {
      return routing_table_ptr();
    }
    auto table = std::make_shared<routing_table>();
    table->version = std::stoll(record.key);
    return routing_table_ptr(table);
  };
  link.read_evacuation = [](const keyed_record& record) {
    return record.key.starts_with(kEvacuate)
               ? std::optional(record.key.substr(kEvacuate.size()))
               : std::nullopt;
  };
  link.read_endpoint = [](const keyed_record& record) {
    listed_endpoint listed;
    listed.endpoint.id = record.key;
    listed.endpoint.failure_domain = *record.value;
    return std::optional(listed);
  };
  return link;
}

class gateway_control_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_control_test);
  CPPUNIT_TEST(AnEvacuatedDomainTakesNoWorkUntilItIsTakenBack);
  CPPUNIT_TEST(AHostThatStartsKnowsEvacuationsBeforeItServes);
  CPPUNIT_TEST(AnEvacuationWhoseEndWasMissedIsOverWithTheNextFullRead);
  CPPUNIT_TEST(ANewEndpointOfAnEvacuatedDomainTakesNoWork);
  CPPUNIT_TEST(AnEvacuationThatAnOlderCopyLacksStands);
  CPPUNIT_TEST(AnEvacuationThatHadEndedDoesNotReturnWithAnOlderCopy);
  CPPUNIT_TEST(WhatIsNotWrittenAgainIsOver);
  CPPUNIT_TEST(HostsAreReadThoughTheOwnEntryIsNotYetWritten);
  CPPUNIT_TEST(AnEndpointThatLeftDoesNotReturnWithAWholeBegunBefore);
  CPPUNIT_TEST(ARevokedKeyDoesNotHoldAgainWithAnOldWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    options_.restore_time = milliseconds(20);
    control_.emplace(context_, options_, Link(operator_, endpoints_, hosts_),
                     log_, BootTimeNow, News());
    control_->Start();
    Await(hosts_.newest);
    fake_topic::Answer(hosts_.newest, {{"versions/h2", kAllVersions}});
  }

  void tearDown() override { control_.reset(); }

 private:
  control_news News() {
    control_news news;
    news.on_configuration = [this](const routing_table_ptr& table) {
      told_.push_back("version " + std::to_string(table->version));
    };
    news.on_endpoints = [this](const listing_changes& changes) {
      for (const auto& id : changes.gone) {
        evacuated_.erase(id);
      }
      for (const auto& endpoint : changes.put) {
        evacuated_[endpoint.id] = endpoint.evacuated;
      }
      told_.emplace_back("endpoints");
    };
    news.on_hosts = [](const auto&) {};
    news.on_census = [](const auto&) {};
    news.on_unreadable = [](auto) {};
    return news;
  }

  /// Runs until the follower has asked on.
  void AwaitRead(const fake_topic& topic) { Await(topic.next); }

  void Await(const fake_topic::done_hook& asked) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!asked && std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_one_for(milliseconds(10));
    }
    CPPUNIT_ASSERT(asked);
  }

  void Begin() {
    fake_topic::Answer(operator_.newest, {{"1", "c"}});
    fake_topic::Answer(endpoints_.newest, {{"e1", "a"}, {"e2", "b"}});
    AwaitRead(operator_);
    AwaitRead(endpoints_);
  }

  void Change(const std::string& key, std::optional<std::string> value) {
    AwaitRead(operator_);
    fake_topic::Answer(operator_.next, {{key, std::move(value)}});
  }

  void AnEvacuatedDomainTakesNoWorkUntilItIsTakenBack() {
    Begin();
    CPPUNIT_ASSERT(!evacuated_.at("e1"));
    Change("out/a", "{}");
    CPPUNIT_ASSERT(evacuated_.at("e1"));
    CPPUNIT_ASSERT(!evacuated_.at("e2"));
    Change("out/b", "{}");
    CPPUNIT_ASSERT(evacuated_.at("e1") && evacuated_.at("e2"));
    Change("out/a", std::nullopt);
    CPPUNIT_ASSERT(!evacuated_.at("e1"));
    CPPUNIT_ASSERT(evacuated_.at("e2"));
  }

  // A host that starts sends to an evacuated domain until it hears of it.
  void AHostThatStartsKnowsEvacuationsBeforeItServes() {
    fake_topic::Answer(endpoints_.newest, {{"e1", "a"}});
    fake_topic::Answer(operator_.newest, {{"1", "c"}, {"out/a", "{}"}});
    CPPUNIT_ASSERT(evacuated_.at("e1"));
    CPPUNIT_ASSERT_EQUAL(std::string("version 1"), told_.back());
  }

  // A missed deletion leaves a domain idle for good.
  void AnEvacuationWhoseEndWasMissedIsOverWithTheNextFullRead() {
    Begin();
    Change("out/a", "{}");
    AwaitRead(operator_);
    keyed_read gone;
    gone.outcome = store_outcome::kTooOld;
    std::exchange(operator_.next, nullptr)(gone);
    fake_topic::Answer(operator_.newest, {{"1", "c"}});
    CPPUNIT_ASSERT(!evacuated_.at("e1"));
  }

  void ANewEndpointOfAnEvacuatedDomainTakesNoWork() {
    Begin();
    Change("out/a", "{}");
    AwaitRead(endpoints_);
    fake_topic::Answer(endpoints_.next, {{"e3", "a"}, {"e4", "b"}});
    CPPUNIT_ASSERT(evacuated_.at("e3"));
    CPPUNIT_ASSERT(!evacuated_.at("e4"));
  }

  /// The store comes back from a copy that holds these records.
  void Restore(std::vector<keyed_record> records) {
    AwaitRead(operator_);
    fake_topic::Answer(operator_.next, {}, 2);
    fake_topic::Answer(operator_.newest, std::move(records), 2);
  }

  // The store loses an evacuation, and work goes there again.
  void AnEvacuationThatAnOlderCopyLacksStands() {
    Begin();
    Change("out/a", "{}");
    Restore({{"1", "c"}, {"out/b", "{}"}});
    CPPUNIT_ASSERT(evacuated_.at("e1") && evacuated_.at("e2"));
  }

  void AnEvacuationThatHadEndedDoesNotReturnWithAnOlderCopy() {
    Begin();
    Change("out/a", "{}");
    Change("out/a", std::nullopt);
    Restore({{"1", "c"}, {"out/a", "{}"}});
    CPPUNIT_ASSERT(!evacuated_.at("e1"));
    // Written in the new era, it counts.
    AwaitRead(operator_);
    fake_topic::Answer(operator_.next, {{"out/a", "{}"}}, 2);
    CPPUNIT_ASSERT(evacuated_.at("e1"));
  }

  void WhatIsNotWrittenAgainIsOver() {
    Begin();
    Change("out/a", "{}");
    Restore({{"1", "c"}});
    CPPUNIT_ASSERT(evacuated_.at("e1"));
    context_.restart();
    context_.run_for(2 * options_.restore_time);
    fake_topic::Answer(operator_.next, {}, 2);
    Await(operator_.newest);
    fake_topic::Answer(operator_.newest, {{"1", "c"}}, 2);
    CPPUNIT_ASSERT(!evacuated_.at("e1"));
  }

  // A store that takes one write at a time was two seconds behind where a
  // thousand hosts start, and they knew no others until then.
  void HostsAreReadThoughTheOwnEntryIsNotYetWritten() {
    Await(hosts_.next);
    CPPUNIT_ASSERT(hosts_.next);
  }

  static keyed_read ReadUpTo(std::uint64_t next,
                             std::vector<keyed_record> records) {
    keyed_read read;
    read.outcome = store_outcome::kDone;
    read.era = 1;
    read.next = next;
    read.end = next;
    read.records = std::move(records);
    return read;
  }

  // A whole that a later read overtook sends work to an endpoint that is gone.
  void AnEndpointThatLeftDoesNotReturnWithAWholeBegunBefore() {
    fake_topic::Answer(operator_.newest, {{"1", "c"}});
    std::exchange(endpoints_.newest,
                  nullptr)(ReadUpTo(5, {{"e1", "a"}, {"e2", "b"}}));
    AwaitRead(endpoints_);
    keyed_read gone;
    gone.outcome = store_outcome::kTooOld;
    std::exchange(endpoints_.next, nullptr)(gone);
    control_->FindOnlyVersion("", milliseconds(1), [](const auto&) {});
    std::exchange(endpoints_.next, nullptr)(ReadUpTo(6, {{"e1", {}}}));
    CPPUNIT_ASSERT(!evacuated_.contains("e1"));
    std::exchange(endpoints_.newest,
                  nullptr)(ReadUpTo(5, {{"e1", "a"}, {"e2", "b"}}));
    CPPUNIT_ASSERT(!evacuated_.contains("e1"));
    // A later whole counts.
    AwaitRead(endpoints_);
    std::exchange(endpoints_.next, nullptr)(ReadUpTo(6, {}));
    Await(endpoints_.newest);
    std::exchange(endpoints_.newest, nullptr)(ReadUpTo(6, {{"e3", "a"}}));
    CPPUNIT_ASSERT(evacuated_.contains("e3") && !evacuated_.contains("e2"));
  }

  // Keys that a later configuration revoked would open the service again.
  void ARevokedKeyDoesNotHoldAgainWithAnOldWhole() {
    fake_topic::Answer(operator_.newest, {{"2", "c"}});
    AwaitRead(operator_);
    keyed_read gone;
    gone.outcome = store_outcome::kTooOld;
    std::exchange(operator_.next, nullptr)(gone);
    fake_topic::Answer(operator_.newest, {{"1", "c"}});
    CPPUNIT_ASSERT_EQUAL(std::string("version 2"), told_.back());
  }

  asio::io_context context_;
  gateway_options options_;
  decision_log log_{"test", 0, BootTimeNow};
  fake_topic operator_;
  fake_topic endpoints_;
  fake_topic hosts_;
  std::map<std::string, bool> evacuated_;  ///< As last told, by endpoint.
  std::vector<std::string> told_;
  std::optional<gateway_control> control_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_control_test);

}  // namespace
}  // namespace slatestall
