#include "slatestall/policy/config_history.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

namespace slatestall {
namespace {

constexpr const char* kBadSource = "bad";

std::optional<configuration> CheckSource(const std::string& source) {
  if (source == kBadSource) {
    return std::nullopt;
  }
  return configuration{};
}

/// The platform's log and the head at each of its offsets, by the rule in its
/// shortest form.
class fake_log {
 public:
  fake_log() { heads_.push_back(0); }

  std::uint64_t Next() const { return records_.size(); }
  config_revision HeadAt(std::uint64_t offset) const {
    return heads_.at(offset);
  }
  config_revision Head() const { return heads_.back(); }
  std::string SourceOf(config_revision revision) const {
    return records_.at(revision - 1).source;
  }

  void Publish(config_revision base, const std::string& source) {
    config_record record = NewRecord(source);
    record.base = base;
    const bool wins = base == Head() && source != kBadSource;
    records_.push_back(record);
    heads_.push_back(wins ? records_.size() : Head());
  }

  void Republish(std::uint64_t read_to) {
    const auto revision = HeadAt(read_to);
    if (revision == 0) {
      return;
    }
    config_record record = NewRecord(SourceOf(revision));
    record.republication = head_claim{revision, read_to};
    records_.push_back(record);
    heads_.push_back(Head());
  }

  config_page Read(std::uint64_t from, std::uint64_t first,
                   std::size_t max) const {
    config_page page{first, Next(), {}};
    for (auto i = std::max(from, first);
         i < Next() && page.records.size() < max; ++i) {
      page.records.push_back(records_[i]);
    }
    return page;
  }

  bool HasAnchorSince(std::uint64_t first) const {
    for (const auto& record : records_) {
      if (record.republication && record.republication->read_to >= first) {
        return true;
      }
    }
    return first == 0;
  }

 private:
  config_record NewRecord(const std::string& source) const {
    config_record record;
    record.offset = Next();
    record.publication = "p" + std::to_string(Next());
    record.source = source;
    return record;
  }

  std::vector<config_record> records_;
  std::vector<config_revision> heads_;
};

/// One record: racing operators publish from a head that may be old, and
/// hosts republish what they had read some records ago.
struct log_step {
  std::uint8_t kind;
  std::uint8_t lag;
};

fake_log LogOf(const std::vector<log_step>& steps) {
  fake_log log;
  for (const auto& step : steps) {
    const auto seen =
        log.Next() - std::min<std::uint64_t>(step.lag % 4, log.Next());
    const auto source = "source " + std::to_string(log.Next());
    switch (step.kind % 4) {
      case 0:
        log.Republish(seen);
        break;
      case 1:
        log.Publish(log.HeadAt(seen), kBadSource);
        break;
      default:
        log.Publish(log.HeadAt(seen), source);
    }
  }
  return log;
}

std::vector<log_step> AnySteps() {
  return *rc::gen::container<std::vector<log_step>>(rc::gen::build<log_step>(
      rc::gen::set(&log_step::kind, rc::gen::arbitrary<std::uint8_t>()),
      rc::gen::set(&log_step::lag, rc::gen::arbitrary<std::uint8_t>())));
}

std::vector<config_verdict> ReadAll(config_history& reader, const fake_log& log,
                                    std::uint64_t first, std::size_t max = 3) {
  std::vector<config_verdict> all;
  do {
    const auto verdicts =
        reader.Take(log.Read(reader.ReadFrom(), first, max), reader.Floor());
    all.insert(all.end(), verdicts.begin(), verdicts.end());
  } while (reader.ReadFrom() < log.Next());
  return all;
}

class config_history_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_history_test);
  CPPUNIT_TEST(ReadersThatStartAnywhereAgree);
  CPPUNIT_TEST(TheRevisionObeyedNeverGoesBack);
  CPPUNIT_TEST(OfRacingPublicationsExactlyOneWins);
  CPPUNIT_TEST(ARefusedPublicationNamesTheWinner);
  CPPUNIT_TEST(APublicationThatRacesARepublicationIsNotLost);
  CPPUNIT_TEST(ALogRestoredFromAnOldCopyIsNotObeyed);
  CPPUNIT_TEST(ALaggingReplicaIsFollowedAgain);
  CPPUNIT_TEST(APauseLongerThanRetentionStartsFromAnAnchor);
  CPPUNIT_TEST(WithoutAnchorNothingIsGuessed);
  CPPUNIT_TEST(APeersHeadBridgesAnOutage);
  CPPUNIT_TEST(AStalePeerDoesNotWin);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadersThatStartAnywhereAgree() {
    CPPUNIT_ASSERT(rc::check("readers that start anywhere agree", [] {
      const auto log = LogOf(AnySteps());
      const auto first = *rc::gen::inRange<std::uint64_t>(0, log.Next() + 1);
      const auto max = *rc::gen::inRange<std::size_t>(1, 6);
      config_history reader(CheckSource);
      ReadAll(reader, log, first, max);
      RC_ASSERT(reader.Head().has_value() == log.HasAnchorSince(first));
      if (reader.Head()) {
        RC_ASSERT(reader.Head()->revision == log.Head());
        RC_ASSERT(reader.ObeyedRevision() == log.Head());
      }
      if (reader.Obeyed()) {
        RC_ASSERT(reader.Obeyed()->source == log.SourceOf(log.Head()));
      }
    }));
  }

  void TheRevisionObeyedNeverGoesBack() {
    CPPUNIT_ASSERT(rc::check("the revision obeyed never goes back", [] {
      const auto log = LogOf(AnySteps());
      config_history reader(CheckSource);
      config_revision highest = 0;
      std::uint64_t first = 0;
      const auto reads = *rc::gen::inRange(0, 30);
      for (int i = 0; i < reads; ++i) {
        // Late, early and repeated answers, with records expiring meanwhile.
        first = *rc::gen::inRange(first, log.Next() + 1);
        const auto from = *rc::gen::inRange<std::uint64_t>(0, log.Next() + 1);
        const bool in_order = *rc::gen::arbitrary<bool>();
        reader.Take(log.Read(in_order ? reader.ReadFrom() : 0,
                             in_order ? first : std::min(from, first), 4),
                    reader.Floor());
        RC_ASSERT(reader.ObeyedRevision() >= highest);
        highest = reader.ObeyedRevision();
        if (highest > 0) {
          RC_ASSERT(log.SourceOf(highest) == reader.Obeyed()->source);
        }
      }
    }));
  }

  void OfRacingPublicationsExactlyOneWins() {
    CPPUNIT_ASSERT(rc::check("one winner per base", [] {
      const auto log = LogOf(AnySteps());
      config_history reader(CheckSource);
      reader.Take({}, reader.Floor());
      std::map<config_revision, int> winners;
      config_revision before = 0;
      for (const auto& verdict : ReadAll(reader, log, 0)) {
        if (verdict.accepted) {
          ++winners[before];
          RC_ASSERT(winners[before] == 1);
          RC_ASSERT(verdict.head > before);
        } else {
          RC_ASSERT(verdict.head == before);
        }
        before = verdict.head;
      }
    }));
  }

  // Two operators publish from revision 1 at nearly the same moment. The
  // second by the log's order is refused and told the revision of the first,
  // since it has never seen what it would undo.
  void ARefusedPublicationNamesTheWinner() {
    fake_log log;
    log.Publish(0, "a");
    log.Publish(1, "b");
    log.Publish(1, "c");
    config_history reader(CheckSource);
    const auto verdicts = ReadAll(reader, log, 0);
    CPPUNIT_ASSERT(verdicts.at(1).accepted);
    CPPUNIT_ASSERT(!verdicts.at(2).accepted);
    CPPUNIT_ASSERT_EQUAL(config_revision{2}, verdicts.at(2).head);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), reader.Obeyed()->source);
  }

  // A host reads up to offset 2 and republishes revision 2; an operator's
  // publication lands in between. A host that starts later finds only the
  // republication as anchor. Taking it as the head would undo a file that all
  // others obey; folding on from `read_to` meets the publication.
  void APublicationThatRacesARepublicationIsNotLost() {
    fake_log log;
    log.Publish(0, "a");
    log.Publish(1, "b");
    log.Publish(2, "c");
    log.Republish(2);
    config_history late(CheckSource);
    ReadAll(late, log, 2);
    CPPUNIT_ASSERT_EQUAL(config_revision{3}, late.ObeyedRevision());
    config_history early(CheckSource);
    ReadAll(early, log, 0);
    CPPUNIT_ASSERT_EQUAL(config_revision{3}, early.ObeyedRevision());
  }

  // The log is restored from an old copy and gives offset 1 a second time.
  // Obeyed, hosts would disagree on what revision 2 is. The host reports the
  // log and stays with what it has.
  void ALogRestoredFromAnOldCopyIsNotObeyed() {
    fake_log log;
    log.Publish(0, "a");
    log.Publish(1, "b");
    config_history reader(CheckSource);
    ReadAll(reader, log, 0);
    fake_log restored;
    restored.Publish(0, "a");
    reader.Take(restored.Read(reader.ReadFrom(), 0, 9), reader.Floor());
    CPPUNIT_ASSERT(reader.Trust() == log_trust::kLostData);
    restored.Publish(1, "other");
    restored.Publish(2, "more");
    reader.Take(restored.Read(reader.ReadFrom(), 0, 9), reader.Floor());
    CPPUNIT_ASSERT(reader.Trust() == log_trust::kDiverged);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), reader.Obeyed()->source);
  }

  // One answer comes from a replica of the log that lags. Nothing is lost:
  // the next answer shows the same last record, and publications go on.
  void ALaggingReplicaIsFollowedAgain() {
    fake_log log;
    log.Publish(0, "a");
    const auto lagging = log.Read(1, 0, 9);
    log.Publish(1, "b");
    config_history reader(CheckSource);
    ReadAll(reader, log, 0);
    reader.Take(lagging, reader.Floor());
    CPPUNIT_ASSERT(reader.Trust() == log_trust::kLostData);
    log.Publish(2, "c");
    ReadAll(reader, log, 0);
    CPPUNIT_ASSERT(reader.Trust() == log_trust::kTrusted);
    CPPUNIT_ASSERT_EQUAL(config_revision{3}, reader.ObeyedRevision());
  }

  // A host is paused while publications come and expire. Judging the rest of
  // the log against its old head would refuse files that all others obey.
  void APauseLongerThanRetentionStartsFromAnAnchor() {
    fake_log log;
    log.Publish(0, "a");
    config_history reader(CheckSource);
    ReadAll(reader, log, 0);
    log.Publish(1, "b");
    log.Republish(2);
    log.Publish(2, "c");
    ReadAll(reader, log, 2);
    CPPUNIT_ASSERT_EQUAL(config_revision{4}, reader.ObeyedRevision());
  }

  // The log keeps a publication but nothing that says whether its base was
  // the head. The host goes on with what it has and says that it cannot tell.
  void WithoutAnchorNothingIsGuessed() {
    fake_log log;
    log.Publish(0, "a");
    log.Publish(1, "b");
    config_history reader(CheckSource);
    ReadAll(reader, log, 1);
    CPPUNIT_ASSERT(reader.Trust() == log_trust::kNoAnchor);
    CPPUNIT_ASSERT(!reader.Head());
    CPPUNIT_ASSERT_EQUAL(config_revision{0}, reader.ObeyedRevision());
  }

  // The log is down when a host starts; a peer tells the head. Meanwhile the
  // records up to it expire. Back again, the log is folded on from where the
  // peer had read it.
  void APeersHeadBridgesAnOutage() {
    fake_log log;
    log.Publish(0, "a");
    log.Publish(1, "b");
    config_history reader(CheckSource);
    reader.TakePeerHead({2, 0}, "b");
    CPPUNIT_ASSERT_EQUAL(config_revision{2}, reader.ObeyedRevision());
    reader.TakePeerHead({2, 2}, "");
    log.Publish(2, "c");
    ReadAll(reader, log, 2);
    CPPUNIT_ASSERT(reader.Trust() == log_trust::kTrusted);
    CPPUNIT_ASSERT_EQUAL(config_revision{3}, reader.ObeyedRevision());
  }

  // Of several peers one was cut off and has an old head. Its answer comes
  // last and must not undo the newer one.
  void AStalePeerDoesNotWin() {
    config_history reader(CheckSource);
    reader.TakePeerHead({7, 9}, "new");
    reader.TakePeerHead({3, 3}, "old");
    CPPUNIT_ASSERT_EQUAL(config_revision{7}, reader.ObeyedRevision());
    CPPUNIT_ASSERT_EQUAL(std::string("new"), reader.Obeyed()->source);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_history_test);

}  // namespace
}  // namespace slatestall
