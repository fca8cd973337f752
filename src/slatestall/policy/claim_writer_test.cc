#include "slatestall/policy/claim_writer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace slatestall {
namespace {

using std::chrono::seconds;

const time_point kStart{std::chrono::hours{1}};
constexpr std::int64_t kRetention = 1000;

claim_attempt Attempt(const std::string& key, const std::string& request) {
  return {{"shop", key}, 7, request, {"e1", 5}};
}

/// A log that keeps records for `kRetention` seconds.
class kept_log {
 public:
  std::uint64_t Append(claim_batch batch) {
    batch.written_at = wall;
    records_.push_back({records_.size(), std::move(batch)});
    return records_.size() - 1;
  }
  void ReadInto(claim_writer& writer) {
    while (first_ < records_.size() &&
           records_[first_].batch.written_at + kRetention <= wall) {
      ++first_;
    }
    const std::uint64_t from = std::max(first_, writer.ReadFrom());
    writer.ReadBegins();
    writer.Read(
        first_, records_.size(),
        {records_.begin() + static_cast<std::ptrdiff_t>(from), records_.end()},
        wall);
  }
  std::size_t Size() const { return records_.size(); }

  std::int64_t wall = 5000;

 private:
  std::vector<claim_log_record> records_;
  std::uint64_t first_ = 0;
};

/// Writes what is due and reads it back.
void Flush(claim_writer& writer, kept_log& log, time_point now) {
  if (auto batch = writer.NextAppend(now)) {
    const std::uint64_t at = log.Append(std::move(*batch));
    writer.Appended(claim_append::kAppended, at, now);
  }
  log.ReadInto(writer);
}

std::optional<claim_answer> AnswerOf(claim_writer& writer,
                                     const std::string& request,
                                     time_point now) {
  for (const auto& settled : writer.TakeAnswers(now)) {
    if (settled.request == request) {
      return settled.answer;
    }
  }
  return std::nullopt;
}

class claim_writer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_writer_test);
  CPPUNIT_TEST(ManyClaimsShareOneAppend);
  CPPUNIT_TEST(TwoWritersAtOnce);
  CPPUNIT_TEST(LostAnswerIsReadNotRepeated);
  CPPUNIT_TEST(LostAnswerOfALostRecord);
  CPPUNIT_TEST(RefusedAppendIsSentLater);
  CPPUNIT_TEST(FullTableRefuses);
  CPPUNIT_TEST(KeysOutliveTheRetention);
  CPPUNIT_TEST(HalfFullTableLetsKeysExpire);
  CPPUNIT_TEST(NothingIsClaimedBeforeTheStreamIsRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ManyClaimsShareOneAppend() {
    claim_writer writer({});
    writer.Read(0, 0, {});
    for (int number = 0; number < 100; ++number) {
      const std::string name = std::to_string(number);
      writer.Submit(Attempt(name, "r" + name), kStart + seconds{1});
    }
    const auto batch = writer.NextAppend(kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, batch->claims.size());
    writer.Submit(Attempt("x", "rx"), kStart + seconds{1});
    CPPUNIT_ASSERT(!writer.NextAppend(kStart + seconds{1}));
    writer.Appended(claim_append::kAppended, 0, kStart);
    CPPUNIT_ASSERT(writer.TakeAnswers(kStart).empty());
    writer.Read(0, 1, {{0, *batch}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, writer.TakeAnswers(kStart).size());
    CPPUNIT_ASSERT(!writer.NextAppend(kStart + milliseconds{49}));
    CPPUNIT_ASSERT(writer.NextAppend(kStart + milliseconds{50}));
  }

  // Two hosts both believe to be the writer and append claims of one key. The
  // second hears "appended" first, but the first record in the log wins, for
  // both of them.
  void TwoWritersAtOnce() {
    kept_log log;
    claim_writer one({});
    claim_writer two({});
    one.Read(0, 0, {});
    two.Read(0, 0, {});
    one.Submit(Attempt("k", "r1"), kStart + seconds{1});
    two.Submit(Attempt("k", "r2"), kStart + seconds{1});
    const std::uint64_t first = log.Append(*one.NextAppend(kStart));
    const std::uint64_t second = log.Append(*two.NextAppend(kStart));
    two.Appended(claim_append::kAppended, second, kStart);
    one.Appended(claim_append::kAppended, first, kStart);
    log.ReadInto(two);
    log.ReadInto(one);
    CPPUNIT_ASSERT(AnswerOf(one, "r1", kStart)->result == claim_result::kWon);
    const auto lost = AnswerOf(two, "r2", kStart + seconds{1});
    CPPUNIT_ASSERT(lost->result == claim_result::kHeld);
  }

  // The record is in the log, the answer is lost. A read that had begun before
  // proves nothing; the next one shows the claim, and nothing is sent twice.
  void LostAnswerIsReadNotRepeated() {
    kept_log log;
    claim_writer writer({});
    writer.Read(0, 0, {});
    writer.Submit(Attempt("k", "r"), kStart + seconds{9});
    writer.ReadBegins();
    log.Append(*writer.NextAppend(kStart));
    writer.Appended(claim_append::kUnknown, 0, kStart);
    writer.Read(0, 0, {});
    CPPUNIT_ASSERT(writer.NeedsRead());
    CPPUNIT_ASSERT(!writer.NextAppend(kStart + seconds{1}));
    log.ReadInto(writer);
    CPPUNIT_ASSERT(AnswerOf(writer, "r", kStart)->result == claim_result::kWon);
    CPPUNIT_ASSERT(!writer.NextAppend(kStart + seconds{2}));
  }

  // The answer is lost and the record too. A whole read shows that it is not
  // there; it is sent again under the same id, so that it counts once even
  // where the first one turns up late.
  void LostAnswerOfALostRecord() {
    kept_log log;
    claim_writer writer({});
    writer.Read(0, 0, {});
    writer.Submit(Attempt("k", "r"), kStart + seconds{9});
    const claim_batch late = *writer.NextAppend(kStart);
    writer.Appended(claim_append::kUnknown, 0, kStart);
    log.ReadInto(writer);
    CPPUNIT_ASSERT(!AnswerOf(writer, "r", kStart));
    Flush(writer, log, kStart + seconds{1});
    CPPUNIT_ASSERT(AnswerOf(writer, "r", kStart)->result == claim_result::kWon);
    writer.SubmitEnd({{"shop", "k"}, 7, "r", true, nullptr}, kStart);
    Flush(writer, log, kStart + seconds{3});
    log.Append(late);
    log.ReadInto(writer);
    CPPUNIT_ASSERT(writer.Table().IsFree({"shop", "k"}));
  }

  void RefusedAppendIsSentLater() {
    claim_writer writer({});
    writer.Read(0, 0, {});
    writer.Submit(Attempt("k", "r"), kStart + seconds{9});
    CPPUNIT_ASSERT(writer.NextAppend(kStart));
    writer.Appended(claim_append::kRefused, 0, kStart);
    CPPUNIT_ASSERT(!writer.NextAppend(kStart + milliseconds{499}));
    CPPUNIT_ASSERT(writer.NextAppend(kStart + milliseconds{500}));
  }

  // The table of keys is full. New keys are refused at once and nothing is
  // appended for them; keys it knows are still answered.
  void FullTableRefuses() {
    claim_writer_options options;
    options.table.max_keys = 16;
    claim_writer writer(options);
    writer.Read(0, 0, {});
    kept_log log;
    for (int number = 0; number < 15; ++number) {
      const std::string name = std::to_string(number);
      writer.Submit(Attempt(name, "r" + name), kStart + seconds{1});
    }
    Flush(writer, log, kStart);
    writer.Submit(Attempt("0", "other"), kStart + seconds{2});
    writer.Submit(Attempt("14", "again"), kStart + seconds{2});
    Flush(writer, log, kStart + seconds{1});
    writer.Submit(Attempt("more", "rm"), kStart + seconds{2});
    writer.Submit(Attempt("more2", "rm2"), kStart + seconds{2});
    Flush(writer, log, kStart + seconds{1});
    const std::size_t size = log.Size();
    writer.Submit(Attempt("last", "rl"), kStart + seconds{3});
    const auto refused = AnswerOf(writer, "rl", kStart + seconds{1});
    CPPUNIT_ASSERT(refused->refusal == error_kind::kClaimUnavailable);
    CPPUNIT_ASSERT(!refused->may_be_claimed);
    CPPUNIT_ASSERT(!writer.NextAppend(kStart + seconds{3}));
    CPPUNIT_ASSERT_EQUAL(size, log.Size());
    CPPUNIT_ASSERT(!writer.Table().IsFree({"shop", "0"}));
  }

  // A key ran long before the log forgets its records, and its holder died.
  // The writer writes both keys again in time, so a writer that starts ten
  // retention times later still knows that neither may run.
  void KeysOutliveTheRetention() {
    claim_writer_options options;
    options.retention = seconds{kRetention};
    kept_log log;
    claim_writer writer(options);
    writer.Read(0, 0, {});
    writer.Submit(Attempt("ended", "r1"), kStart + seconds{1});
    writer.Submit(Attempt("held", "r2"), kStart + seconds{1});
    Flush(writer, log, kStart);
    writer.SubmitEnd({{"shop", "ended"}, 7, "r1", false, nullptr}, kStart);
    Flush(writer, log, kStart + seconds{5});
    Live(writer, log, 10 * kRetention);
    claim_writer fresh(options);
    log.ReadInto(fresh);
    CPPUNIT_ASSERT(fresh.Find(Attempt("ended", "x")).result ==
                   claim_result::kEnded);
    CPPUNIT_ASSERT(fresh.Find(Attempt("held", "x")).result ==
                   claim_result::kHeld);
    CPPUNIT_ASSERT(log.Size() < 100);
  }

  // A host has just become the writer and reads a long stream. What it has not
  // read may say that the key was used, so it appends no claim yet; asked for
  // longer than the caller can wait, it refuses and owes nobody a release.
  void NothingIsClaimedBeforeTheStreamIsRead() {
    claim_writer writer({});
    writer.Submit(Attempt("k", "r"), kStart + seconds{1});
    writer.Read(0, 5, {{0, {}}});
    CPPUNIT_ASSERT(!writer.IsReady());
    CPPUNIT_ASSERT(!writer.NextAppend(kStart));
    const auto refused = AnswerOf(writer, "r", kStart + seconds{1});
    CPPUNIT_ASSERT(refused->refusal == error_kind::kClaimUnavailable);
    CPPUNIT_ASSERT(!refused->may_be_claimed);
  }

  // More keys than half the table are in use. Carrying them all on would fill
  // it and refuse every new key, so the old ones go with the log, are counted,
  // and make room.
  void HalfFullTableLetsKeysExpire() {
    claim_writer_options options;
    options.retention = seconds{kRetention};
    options.table.max_keys = 20;
    kept_log log;
    claim_writer writer(options);
    writer.Read(0, 0, {});
    for (int number = 0; number < 12; ++number) {
      const std::string name = std::to_string(number);
      writer.Submit(Attempt(name, "r" + name), kStart + seconds{1});
    }
    Flush(writer, log, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, writer.TakeAnswers(kStart).size());
    Live(writer, log, 2 * kRetention);
    CPPUNIT_ASSERT(writer.NotCarried() > 0);
    CPPUNIT_ASSERT(writer.Table().HasRoomFor(10));
  }

 private:
  void Live(claim_writer& writer, kept_log& log, std::int64_t length) {
    time_point now = kStart + seconds{100};
    for (std::int64_t past = 0; past < length; past += 5) {
      log.wall += 5;
      now += seconds{5};
      // Some traffic, so that the log moves on.
      if (past % 200 == 0) {
        const std::string name = "t" + std::to_string(past);
        writer.SubmitEnd({{"shop", name}, 7, name, true, nullptr}, now);
      }
      writer.Carry(log.wall);
      Flush(writer, log, now);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_writer_test);

}  // namespace
}  // namespace slatestall
