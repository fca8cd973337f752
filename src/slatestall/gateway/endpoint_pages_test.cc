#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <asio/io_context.hpp>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/dispatch/endpoint_roster.h"
#include "slatestall/gateway/fake_topic.h"
#include "slatestall/gateway/gateway_control.h"
#include "slatestall/relay/boot_time.h"

namespace slatestall {
namespace {

const std::string kService = "s";
const std::string kEvacuate = "out/";
const std::string kUnreadable = "?";
const std::string kRecordedVersions =
    WriteVersionRecord({{{kService, {""}}}, 1, true});
const std::string kNoVersions = WriteVersionRecord({{}, 1, true});

/// An endpoint's entry; its text is "DOMAIN START PORT STATE".
struct listed_entry {
  std::string domain = "a";
  std::int64_t started_ms = 1;
  std::uint16_t port = 9000;
  bool leaving = false;

  std::string Text() const {
    std::ostringstream text;
    text << domain << ' ' << started_ms << ' ' << port << ' ' << leaving;
    return text.str();
  }
};

known_endpoint ReadEntry(const std::string& id, const std::string& text) {
  if (text == kUnreadable) {
    throw std::runtime_error("the entry cannot be read");
  }
  known_endpoint endpoint;
  std::uint16_t port = 0;
  std::istringstream in(text);
  in >> endpoint.failure_domain >> endpoint.started_ms >> port >>
      endpoint.leaving;
  endpoint.id = id;
  endpoint.service = kService;
  endpoint.address = {asio::ip::make_address("127.0.0.1"), port};
  return endpoint;
}

/// A host that follows a list of endpoints, and the roster that it keeps.
class following_host {
 public:
  /// @param versions That another host has recorded.
  explicit following_host(const std::string& versions = kRecordedVersions) {
    options_.leave_limit = milliseconds(1);
    control_.emplace(context_, options_, Link(), log_, BootTimeNow, News());
    control_->Start();
    Await(hosts_.newest);
    fake_topic::Answer(hosts_.newest, {{"versions/h2", versions}});
  }

  void Begin(std::vector<keyed_record> listed) {
    fake_topic::Answer(operator_.newest, {});
    fake_topic::Answer(endpoints_.newest, std::move(listed));
  }

  void ReadPage(std::vector<keyed_record> records) {
    Await(endpoints_.next);
    fake_topic::Answer(endpoints_.next, std::move(records));
  }

  void ReadWhole(std::vector<keyed_record> listed) {
    Await(endpoints_.next);
    keyed_read gone;
    gone.outcome = store_outcome::kTooOld;
    std::exchange(endpoints_.next, nullptr)(gone);
    fake_topic::Answer(endpoints_.newest, std::move(listed));
  }

  void Evacuate(const std::string& domain, bool begins) {
    Await(operator_.next);
    keyed_read read;
    read.outcome = store_outcome::kDone;
    read.was_held = true;  // The next follows at once.
    read.era = 1;
    read.records = {{kEvacuate + domain,
                     begins ? std::optional(std::string("{}")) : std::nullopt}};
    std::exchange(operator_.next, nullptr)(read);
  }

  const endpoint_roster& Roster() const { return roster_; }
  /// @returns whether the traffic thread was given a list, if an empty one.
  bool HasList() const { return has_list_; }

 private:
  platform_link Link() {
    platform_link link;
    link.configuration = operator_.Topic();
    link.endpoints = endpoints_.Topic();
    link.hosts = hosts_.Topic();
    link.crashes.read_newest = [](const auto&) {};
    link.write_crash = [](const auto&, const auto&, const auto&) {};
    link.announce = [](const auto&, const auto&, const auto&) {};
    link.read_configuration = [](const keyed_record&) {
      return routing_table_ptr();
    };
    link.read_evacuation = [](const keyed_record& record) {
      return std::optional(record.key.substr(kEvacuate.size()));
    };
    link.read_endpoint = [](const keyed_record& record) {
      listed_endpoint listed;
      listed.endpoint = ReadEntry(record.key, *record.value);
      return std::optional(listed);
    };
    return link;
  }

  control_news News() {
    control_news news;
    news.on_configuration = [](const auto&) {};
    news.on_endpoints = [this](const listing_changes& changes) {
      roster_.Apply(changes.put, changes.gone);
      has_list_ = true;
    };
    news.on_hosts = [](const auto&) {};
    news.on_census = [](const auto&) {};
    news.on_unreadable = [](auto) {};
    return news;
  }

  void Await(const fake_topic::done_hook& asked) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!asked && std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_one_for(milliseconds(10));
    }
    CPPUNIT_ASSERT(asked);
  }

  asio::io_context context_;
  gateway_options options_;
  decision_log log_{"test", 0, BootTimeNow};
  fake_topic operator_;
  fake_topic endpoints_;
  fake_topic hosts_;
  endpoint_roster roster_;
  bool has_list_ = false;
  std::optional<gateway_control> control_;
};

/// A store whose list of endpoints changes at random, and a host that reads it
/// in pages of any length.
class drawn_history {
 public:
  /// @param host Has begun; may know of earlier histories.
  drawn_history(following_host& host, int number)
      : host_(host), prefix_(std::to_string(number) + "-e") {
    host_.Evacuate("a", false);
    host_.Evacuate("b", false);
    ReadWhole();
  }

  void Step() {
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
        ReadPage();
        break;
      case 1:
        ReadWhole();
        break;
      case 2:
        ChangeEvacuation();
        break;
      default:
        ChangeEntry();
    }
  }

  void ReadPage() {
    host_.ReadPage(std::exchange(unread_, {}));
    Check();
  }

 private:
  void ChangeEntry() {
    const auto id = prefix_ + std::to_string(*rc::gen::inRange(0, 4));
    auto& start = starts_[id];
    std::optional<std::string> value;
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
        break;
      case 2:
        value = kUnreadable;
        break;
      case 3:
        ++start;
        [[fallthrough]];
      default:
        listed_entry entry;
        entry.domain = *rc::gen::element<std::string>("a", "b");
        entry.started_ms = start;
        entry.port = *rc::gen::inRange<std::uint16_t>(9000, 9003);
        entry.leaving = *rc::gen::arbitrary<bool>();
        value = entry.Text();
    }
    truth_[id] = value;
    unread_.push_back({id, std::move(value)});
  }

  void ReadWhole() {
    unread_.clear();
    std::vector<keyed_record> listed;
    for (const auto& [id, value] : truth_) {
      if (value) {
        listed.push_back({id, value});
      }
    }
    host_.ReadWhole(std::move(listed));
    Check();
  }

  void ChangeEvacuation() {
    ReadPage();
    const auto domain = *rc::gen::element<std::string>("a", "b");
    const bool begins = evacuated_.insert(domain).second;
    if (!begins) {
      evacuated_.erase(domain);
    }
    host_.Evacuate(domain, begins);
    Check();
  }

  /// The roster holds what is listed, and nothing else.
  void Check() const {
    std::size_t listed = 0;
    for (const auto& [id, value] : truth_) {
      const auto record = host_.Roster().Find(id);
      if (!value || *value == kUnreadable) {
        RC_ASSERT(record == nullptr);
        continue;
      }
      auto expected = ReadEntry(id, *value);
      expected.evacuated = evacuated_.contains(expected.failure_domain);
      RC_ASSERT(record != nullptr);
      RC_ASSERT(record->Info() == expected);
      ++listed;
    }
    RC_ASSERT(host_.Roster().Of(kService).size() == listed);
  }

  following_host& host_;
  std::string prefix_;
  std::map<std::string, std::int64_t> starts_;
  std::map<std::string, std::optional<std::string>> truth_;
  std::set<std::string> evacuated_;
  std::vector<keyed_record> unread_;
};

class endpoint_pages_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_pages_test);
  CPPUNIT_TEST(AnEndpointThatCameAndWentInOnePageIsNotUsed);
  CPPUNIT_TEST(AnEndpointThatChangedAndWentInOnePageIsNotUsed);
  CPPUNIT_TEST(ANewRunInOnePageWithTheEndOfTheOldOneIsUsed);
  CPPUNIT_TEST(AHostWithoutUsableEndpointsHasNoList);
  CPPUNIT_TEST(TheRosterHoldsTheListHoweverItIsSplitIntoPages);
  CPPUNIT_TEST_SUITE_END();

  // Calls went to an endpoint that registered and left between two reads, for
  // as long as the host lived.
  void AnEndpointThatCameAndWentInOnePageIsNotUsed() {
    following_host host;
    host.Begin({{"e1", listed_entry{}.Text()}});
    host.ReadPage({{"e2", listed_entry{}.Text()}, {"e2", std::nullopt}});
    CPPUNIT_ASSERT(host.Roster().Find("e2") == nullptr);
    CPPUNIT_ASSERT(host.Roster().Find("e1")->Usable());
  }

  // The same for one that was known before, and wrote once more before it left.
  void AnEndpointThatChangedAndWentInOnePageIsNotUsed() {
    following_host host;
    host.Begin({{"e1", listed_entry{}.Text()}, {"e2", listed_entry{}.Text()}});
    listed_entry moved;
    moved.domain = "b";
    listed_entry leaving;
    leaving.leaving = true;
    host.ReadPage({{"e1", moved.Text()},
                   {"e1", std::nullopt},
                   {"e2", leaving.Text()},
                   {"e2", std::nullopt}});
    CPPUNIT_ASSERT(host.Roster().Find("e1") == nullptr);
    CPPUNIT_ASSERT(host.Roster().Find("e2") == nullptr);
  }

  // What was learnt of the old run would count for the new one.
  void ANewRunInOnePageWithTheEndOfTheOldOneIsUsed() {
    following_host host;
    host.Begin({{"e1", listed_entry{}.Text()}});
    const auto before = host.Roster().Find("e1");
    listed_entry again;
    again.started_ms = 2;
    host.ReadPage({{"e1", std::nullopt}, {"e1", again.Text()}});
    CPPUNIT_ASSERT(host.Roster().Find("e1") != before);
    CPPUNIT_ASSERT(host.Roster().Find("e1")->Usable());
    CPPUNIT_ASSERT(!before->Usable());
  }

  // A host called itself ready before it could serve.
  void AHostWithoutUsableEndpointsHasNoList() {
    following_host host(kNoVersions);
    host.Begin({{"e1", listed_entry{}.Text()}});
    CPPUNIT_ASSERT(!host.HasList());
    host.ReadPage({{"e2", listed_entry{}.Text()}});
    CPPUNIT_ASSERT(!host.HasList());
  }

  // The list and the roster were two copies that could differ for good.
  void TheRosterHoldsTheListHoweverItIsSplitIntoPages() {
    following_host host;
    host.Begin({});
    int number = 0;
    CPPUNIT_ASSERT(rc::check("the roster is the list", [&host, &number] {
      drawn_history history(host, ++number);
      const int steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps; ++i) {
        history.Step();
      }
      history.ReadPage();
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_pages_test);

}  // namespace
}  // namespace slatestall
