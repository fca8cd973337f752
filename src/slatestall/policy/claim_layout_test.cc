#include "slatestall/policy/claim_layout.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace slatestall {
namespace {

using marks = std::vector<std::pair<std::uint64_t, layout_mark>>;

constexpr std::chrono::seconds kRetention{400};

/// The stream as the log has it, and a time.
struct fake_stream {
  marks records;
  std::uint64_t first = 0;
  time_point now{std::chrono::hours(1)};

  void Read(claim_layout& layout) const {
    marks kept;
    for (const auto& record : records) {
      if (record.first >= std::max(first, layout.ReadFrom())) {
        kept.push_back(record);
      }
    }
    layout.Read(first, records.size(), kept, now);
  }
  void Append(const layout_mark& mark) {
    records.emplace_back(records.size(), mark);
  }
  bool AppendDue(claim_layout& layout) {
    const auto due = layout.Due(now);
    if (due) {
      Append(*due);
      layout.Sent(now);
    }
    return due.has_value();
  }
};

class claim_layout_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_layout_test);
  CPPUNIT_TEST(OtherNumberNeverAgrees);
  CPPUNIT_TEST(LoserOfARaceStaysVoidAfterTheWinnerExpired);
  CPPUNIT_TEST(NoTwoNumbersAgreeAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The caller's key would run again in another stream: a host was started
  // with another number of partitions. It must not claim, nor write its number.
  void OtherNumberNeverAgrees() {
    fake_stream stream;
    claim_layout eight(8, kRetention);
    claim_layout four(4, kRetention);
    stream.Read(eight);
    CPPUNIT_ASSERT(!eight.Agrees());
    CPPUNIT_ASSERT(stream.AppendDue(eight));
    CPPUNIT_ASSERT(!eight.Agrees());
    stream.Read(eight);
    stream.Read(four);
    CPPUNIT_ASSERT(eight.Agrees() && !four.Agrees());
    CPPUNIT_ASSERT_EQUAL(8U, four.InLog().value_or(0));
    stream.now += kRetention;
    CPPUNIT_ASSERT(!four.Due(stream.now) && eight.Due(stream.now));
  }

  // Two hosts with different numbers found the stream empty, one mark lands
  // first. Later the log forgets that one and keeps the other: a host that
  // starts then must still read the number in use, from its confirmation.
  void LoserOfARaceStaysVoidAfterTheWinnerExpired() {
    fake_stream stream;
    claim_layout eight(8, kRetention);
    claim_layout four(4, kRetention);
    stream.Read(eight);
    stream.Read(four);
    stream.AppendDue(eight);
    stream.AppendDue(four);
    stream.Read(eight);
    stream.Read(four);
    CPPUNIT_ASSERT(eight.Agrees() && !four.Agrees());
    stream.now += kRetention / 2;
    CPPUNIT_ASSERT(stream.AppendDue(eight));
    stream.first = 1;
    claim_layout late(4, kRetention);
    stream.Read(late);
    CPPUNIT_ASSERT_EQUAL(8U, late.InLog().value_or(0));
  }

  // Reads, appends, lost and late answers in any order: hosts that agree, agree
  // on the same number.
  void NoTwoNumbersAgreeAtOnce() {
    CPPUNIT_ASSERT(rc::check("one number at a time", [] {
      fake_stream stream;
      std::vector<claim_layout> hosts{
          {4, kRetention}, {8, kRetention}, {8, kRetention}, {16, kRetention}};
      marks late;
      const auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
      for (const int step : steps) {
        claim_layout& host = hosts[static_cast<std::size_t>(step % 4)];
        const auto due = host.Due(stream.now);
        if (step < 8) {
          stream.Read(host);
        } else if (step < 16 && due) {
          host.Sent(stream.now);
          if (step < 12) {
            stream.Append(*due);
          } else {
            late.emplace_back(0, *due);
          }
        } else if (step >= 16 && !late.empty()) {
          stream.Append(late.back().second);
          late.pop_back();
        }
        stream.now += std::chrono::seconds(7);
        std::optional<std::uint32_t> agreed;
        for (const claim_layout& each : hosts) {
          RC_ASSERT(!each.Agrees() || !agreed || *agreed == each.Own());
          agreed = each.Agrees() ? each.Own() : agreed;
        }
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_layout_test);

}  // namespace
}  // namespace slatestall
