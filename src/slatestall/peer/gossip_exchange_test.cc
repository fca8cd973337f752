#include "slatestall/peer/gossip_exchange.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "slatestall/peer/gossip_group.h"

namespace slatestall {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kHosts = 8;
constexpr std::size_t kDomains = 4;

bool AllLive(const gossip_host& host) {
  return host.view->LiveHosts().size() == kHosts;
}

/// What a host knows, without what only it can know.
std::map<std::string, member_version> Versions(const gossip_host& host) {
  std::map<std::string, member_version> versions;
  for (const auto& [name, known] : host.view->Members()) {
    versions[name] = known.digest.version;
  }
  return versions;
}

class gossip_exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gossip_exchange_test);
  CPPUNIT_TEST(AllConvergeAfterAnyLoss);
  CPPUNIT_TEST(AnyMessageIsTakenOrIgnored);
  CPPUNIT_TEST(LeavingEndpointIsKnownEverywhereThenForgotten);
  CPPUNIT_TEST(ManyNoticesFitIntoBoundedMessages);
  CPPUNIT_TEST(DeadHostIsSuspectedByAll);
  CPPUNIT_TEST(OneWayCutLeavesTheHostLive);
  CPPUNIT_TEST(PartedRegionComesBackAfterAnHour);
  CPPUNIT_TEST(DrainedHostTellsItsSuccessor);
  CPPUNIT_TEST(RevisionsAreSaidRarelyAndHeadsAtOnce);
  CPPUNIT_TEST(NewHostIsKnownBeforeTheListHasIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A third of the messages is lost while hosts change what they say. Once the
  // loss ends, all must agree on the newest words, without any new change.
  void AllConvergeAfterAnyLoss() {
    CPPUNIT_ASSERT(rc::check("all agree after the loss", [] {
      gossip_group group(kHosts, kDomains);
      const auto lossy = *rc::gen::arbitrary<std::uint64_t>();
      std::uint64_t count = lossy;
      group.reaches = [&count](std::size_t, std::size_t) {
        return StableHash("loss", ++count) % 3 != 0;
      };
      for (int i = 0; i < 10; ++i) {
        const auto host = *rc::gen::inRange<std::size_t>(0, kHosts);
        group.Hosts()[host].view->SetRevision(1 + static_cast<unsigned>(i),
                                              group.Now());
        group.Hosts()[host].exchange->NoteEndpoint(
            "10.1.0." + std::to_string(i) + ":9000", wire::notice_kind::leaving,
            group.Now());
        group.RunFor(milliseconds(700));
      }
      group.reaches = nullptr;
      group.RunFor(seconds(45));
      const auto expected = Versions(group.Hosts()[0]);
      for (const gossip_host& host : group.Hosts()) {
        RC_ASSERT(Versions(host) == expected);
        RC_ASSERT(host.exchange->Notices().size() == 10U);
        RC_ASSERT(host.exchange->Head() == 10U);
        RC_ASSERT(AllLive(host));
      }
    }));
  }

  // Another release, or broken memory, fills a well-formed message with any
  // values. They may cost a wrong belief, but neither a crash nor a reply that
  // cannot be read.
  void AnyMessageIsTakenOrIgnored() {
    CPPUNIT_ASSERT(rc::check("any gossip is survived", [] {
      gossip_group group(3, 1);
      wire::gossipT message;
      using mark =
          std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, bool>;
      for (const auto& [revision, host, sequence, suspected] :
           *rc::gen::arbitrary<std::vector<mark>>()) {
        const std::uint32_t known =
            group.Hosts()[host % 3].view->Self().name_hash;
        message.marks.emplace_back(revision, revision,
                                   host % 2 == 0 ? host : known, sequence,
                                   sequence, suspected);
      }
      for (const auto& [host, address] :
           *rc::gen::arbitrary<
               std::vector<std::pair<std::string, std::string>>>()) {
        auto digest = std::make_unique<wire::host_digestT>();
        digest->host = host;
        digest->successor = address;
        digest->sequence = 1;
        digest->incarnation = 1;
        digest->drained = true;
        message.digests.push_back(std::move(digest));
        auto notice = std::make_unique<wire::endpoint_noticeT>();
        notice->address = address;
        message.notices.push_back(std::move(notice));
      }
      message.host_sums = std::make_unique<wire::bucket_sumsT>();
      message.host_sums->first = *rc::gen::arbitrary<std::uint16_t>();
      message.host_sums->count = *rc::gen::arbitrary<std::uint16_t>();
      message.host_sums->sums =
          *rc::gen::arbitrary<std::vector<std::uint32_t>>();
      gossip_exchange& exchange = *group.Hosts()[0].exchange;
      wire::frameT reply;
      reply.body =
          MakeMessage(exchange.TakeRequest(message, "entry-1", group.Now()));
      exchange.TakeReply(message, "entry-2", group.Now());
      const std::string bytes = EncodeFrame(reply);
      RC_ASSERT(DecodeFrame({bytes.begin() + kFrameHeaderBytes, bytes.end()}) !=
                nullptr);
      RC_ASSERT(group.Hosts()[0].view->KnownHosts() >= 1U);
    }));
  }

  void LeavingEndpointIsKnownEverywhereThenForgotten() {
    gossip_group group(50, 10);
    group.RunFor(seconds(20));
    group.Hosts()[0].exchange->NoteEndpoint(
        "10.1.0.1:9000", wire::notice_kind::leaving, group.Now());
    const auto knows = [](const gossip_host& host) {
      return host.exchange->Notices().size() == 1;
    };
    group.RunFor(seconds(3));
    CPPUNIT_ASSERT(group.All(knows));
    group.RunFor(minutes(3));
    CPPUNIT_ASSERT(group.All([](const gossip_host& host) {
      return host.exchange->Notices().empty();
    }));
  }

  // A failure domain goes, with more endpoints than one message may carry.
  void ManyNoticesFitIntoBoundedMessages() {
    gossip_group group(kHosts, kDomains);
    group.RunFor(seconds(5));
    for (int i = 0; i < 200; ++i) {
      group.Hosts()[0].exchange->NoteEndpoint(
          "10.1.0." + std::to_string(i) + ":9000", wire::notice_kind::leaving,
          group.Now());
    }
    group.RunFor(seconds(5));
    CPPUNIT_ASSERT(group.All([](const gossip_host& host) {
      return host.exchange->Notices().size() == 200;
    }));
  }

  void DeadHostIsSuspectedByAll() {
    gossip_group group(kHosts, kDomains);
    group.RunFor(seconds(5));
    group.Hosts()[7].up = false;
    group.RunFor(seconds(15));
    CPPUNIT_ASSERT(group.All([](const gossip_host& host) {
      return host.view->Find("entry-7")->state == member_state::kSuspect &&
             host.view->LiveHosts().size() == kHosts - 1 &&
             host.view->KnownHosts() == kHosts;
    }));
    group.Hosts()[7].up = true;
    group.RunFor(seconds(15));
    CPPUNIT_ASSERT(group.All(AllLive));
  }

  // Only the way from one host to another is cut. The host says so once, the
  // other refutes, and nobody's view flaps afterwards.
  void OneWayCutLeavesTheHostLive() {
    gossip_group group(kHosts, kDomains);
    group.RunFor(seconds(5));
    group.reaches = [](std::size_t from, std::size_t to) {
      return from != 0 || to != 1;
    };
    group.RunFor(seconds(60));
    const std::uint32_t settled =
        group.Hosts()[1].view->Self().digest.version.sequence;
    for (int i = 0; i < 20; ++i) {
      group.RunFor(seconds(1));
      CPPUNIT_ASSERT(group.All(AllLive));
    }
    const std::uint32_t later =
        group.Hosts()[1].view->Self().digest.version.sequence;
    CPPUNIT_ASSERT(later - settled <= 1);
  }

  // Two regions lose each other for an hour. Each goes on with its own hosts
  // and still counts the others' parts of the limits; healed, all are live
  // again within a minute, with what changed on either side.
  void PartedRegionComesBackAfterAnHour() {
    gossip_group group(kHosts, kDomains);
    group.RunFor(seconds(5));
    group.reaches = [](std::size_t from, std::size_t to) {
      return from % kDomains / 2 == to % kDomains / 2;
    };
    group.RunFor(seconds(60));
    CPPUNIT_ASSERT(group.All([](const gossip_host& host) {
      return host.view->LiveHosts().size() == kHosts / 2 &&
             host.view->KnownHosts() == kHosts;
    }));
    group.Hosts()[0].view->SetRevision(5, group.Now());
    group.RunFor(minutes(59));
    CPPUNIT_ASSERT(group.All([](const gossip_host& host) {
      return host.view->LiveHosts().size() == kHosts / 2 &&
             host.view->KnownHosts() == kHosts;
    }));
    group.reaches = nullptr;
    group.RunFor(seconds(60));
    CPPUNIT_ASSERT(group.All(AllLive));
    CPPUNIT_ASSERT(group.All(
        [](const gossip_host& host) { return host.exchange->Head() == 5; }));
  }

  // Ten changes of configuration in a minute. Each head has to be everywhere in
  // seconds, or hosts run what was replaced; a word of every host on each
  // would fill the network. Once changes end, all have to agree on the last.
  void RevisionsAreSaidRarelyAndHeadsAtOnce() {
    gossip_group group(kHosts, kDomains);
    group.RunFor(seconds(60));
    const auto own_words = [&group] {
      return group.Hosts()[1].view->Self().digest.version.sequence;
    };
    const auto before = own_words();
    for (config_revision revision = 1; revision <= 10; ++revision) {
      group.Hosts()[0].exchange->UseRevision(revision, group.Now());
      group.RunFor(seconds(3));
      CPPUNIT_ASSERT(group.All([&](const gossip_host& host) {
        return host.exchange->Head() == revision;
      }));
      for (gossip_host& host : group.Hosts()) {
        host.exchange->UseRevision(revision, group.Now());
      }
      group.RunFor(seconds(3));
    }
    CPPUNIT_ASSERT(own_words() - before < 5U);
    group.RunFor(seconds(150));
    CPPUNIT_ASSERT(group.All([](const gossip_host& host) {
      const auto& members = host.view->Members();
      return std::all_of(members.begin(), members.end(), [](const auto& entry) {
        return entry.second.digest.revision == 10;
      });
    }));
  }

  void DrainedHostTellsItsSuccessor() {
    gossip_group group(kHosts, kDomains);
    group.RunFor(seconds(5));
    gossip_host& leaving = group.Hosts()[3];
    leaving.view->SetDraining(group.Now());
    group.RunFor(seconds(3));
    CPPUNIT_ASSERT(group.All([](const gossip_host& host) {
      return host.view->Find("entry-3")->state == member_state::kDraining;
    }));
    leaving.view->SetDrained("entry-4", group.Now());
    group.RunFor(seconds(3));
    leaving.up = false;
    const host_id run{"entry-3",
                      leaving.view->Self().digest.version.incarnation};
    CPPUNIT_ASSERT(group.All([&](const gossip_host& host) {
      return host.view->SuccessorOf(run) == "entry-4";
    }));
  }

  // A host starts that the platform's list has not got yet. It knows others by
  // the list, talks to them, and all count it within seconds.
  void NewHostIsKnownBeforeTheListHasIt() {
    gossip_group group(kHosts, kDomains);
    auto list = group.List();
    list.pop_back();
    for (std::size_t i = 0; i + 1 < kHosts; ++i) {
      gossip_host& host = group.Hosts()[i];
      member_digest self = host.view->Self().digest;
      self.version.sequence = 0;
      host.view = std::make_unique<membership_view>(self, membership_options(),
                                                    group.Now());
      host.view->UseList(list, group.Now());
      host.exchange = std::make_unique<gossip_exchange>(
          *host.view, gossip_options(), group.Now());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{kHosts - 1},
                         group.Hosts()[0].view->KnownHosts());
    group.RunFor(seconds(6));
    CPPUNIT_ASSERT(group.All(AllLive));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gossip_exchange_test);

}  // namespace
}  // namespace slatestall
