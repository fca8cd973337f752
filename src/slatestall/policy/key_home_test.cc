#include "slatestall/policy/key_home.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "slatestall/policy/claim_partition.h"
#include "slatestall/policy/key_text.h"

namespace slatestall {
namespace {

using std::chrono::hours;

const host_id kHome{"entry.3", 0xab};
const time_point kStart{hours{1}};

claim_attempt Attempt(const std::string& workspace, const std::string& key,
                      const std::string& request) {
  return {{workspace, key}, 7, request, {"e1", 5}};
}

class key_home_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(key_home_test);
  CPPUNIT_TEST(KeysAreReadFromTheirEnd);
  CPPUNIT_TEST(MalformedKeysAreNotMinted);
  CPPUNIT_TEST(RunsOnce);
  CPPUNIT_TEST(ForgedKeysAreRefused);
  CPPUNIT_TEST(ExpiredKeysNeverRunAgain);
  CPPUNIT_TEST(SuccessorDecidesLikeTheHome);
  CPPUNIT_TEST(OnlyPartitionsOfAGoneHostMove);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeysAreReadFromTheirEnd() {
    const minted_key key{kHome, 12, "c0ffee"};
    const std::string text = MintedKeyText(key);
    CPPUNIT_ASSERT_EQUAL(std::string("h1.entry.3.ab.12.c0ffee"), text);
    const auto read = ParseMintedKey(text);
    CPPUNIT_ASSERT(read->home == kHome && read->number == 12);
    CPPUNIT_ASSERT_EQUAL(key.check, read->check);
    CPPUNIT_ASSERT(ParseHostText(HostText(kHome)) == kHome);
  }

  void MalformedKeysAreNotMinted() {
    for (const char* text : {"h1.", "h1.a.b", "h1.e.ab.1", "h1.e.ab.x.c",
                             "h1.e.zz.1.c", "h1..ab.1.c", "h1.e.ab.1.",
                             "h2.e.ab.1.c", "h1.e.ab.99999999999999999999.c"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseMintedKey(text));
    }
  }

  void RunsOnce() {
    key_home home(kHome, 99, hours{12}, {});
    const std::string key = home.Mint("shop", kStart);
    CPPUNIT_ASSERT(home.Find(Attempt("shop", key, "a"), kStart).refusal ==
                   error_kind::kClaimUnavailable);
    CPPUNIT_ASSERT(home.Claim(Attempt("shop", key, "a"), kStart).result ==
                   claim_result::kWon);
    home.End({{"shop", key}, 7, "not the holder", false, nullptr});
    CPPUNIT_ASSERT(home.Claim(Attempt("shop", key, "b"), kStart).result ==
                   claim_result::kHeld);
    home.End({{"shop", key}, 7, "a", false, nullptr});
    CPPUNIT_ASSERT(home.Claim(Attempt("shop", key, "b"), kStart).result ==
                   claim_result::kEnded);
  }

  // Somebody changes a key, uses it in another workspace, or makes up the next
  // one. Each is refused, so that nobody can use up the key of somebody else.
  void ForgedKeysAreRefused() {
    key_home home(kHome, 99, hours{12}, {});
    const std::string key = home.Mint("shop", kStart);
    minted_key next = *ParseMintedKey(key);
    next.number += 1;
    for (const auto& [workspace, text] : {std::pair{"legal", key},
                                          {"shop", key + "0"},
                                          {"shop", MintedKeyText(next)}}) {
      const auto answer = home.Claim(Attempt(workspace, text, "a"), kStart);
      CPPUNIT_ASSERT(answer.refusal == error_kind::kInvalidRequest);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, home.Table().Size());
  }

  // A used key grows older than the home remembers. Whether it ran cannot be
  // told any more, so it is refused as expired and never runs again.
  void ExpiredKeysNeverRunAgain() {
    key_home home(kHome, 99, hours{12}, {});
    const std::string old_key = home.Mint("shop", kStart);
    home.Claim(Attempt("shop", old_key, "a"), kStart);
    home.Expire(kStart + hours{1});
    const std::string young = home.Mint("shop", kStart + hours{6});
    const time_point later = kStart + hours{13};
    CPPUNIT_ASSERT(home.Claim(Attempt("shop", old_key, "b"), later).refusal ==
                   error_kind::kKeyExpired);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, home.Table().Size());
    CPPUNIT_ASSERT(home.Claim(Attempt("shop", young, "b"), later).result ==
                   claim_result::kWon);
    CPPUNIT_ASSERT(!home.IsSpent());
    home.Expire(kStart + hours{40});
    CPPUNIT_ASSERT(home.IsSpent());
  }

  void SuccessorDecidesLikeTheHome() {
    key_home home(kHome, 99, hours{12}, {});
    const std::string expired = home.Mint("shop", kStart);
    home.Expire(kStart + hours{1});
    const std::string ended = home.Mint("shop", kStart + hours{12});
    const std::string held = home.Mint("shop", kStart + hours{12});
    const std::string unused = home.Mint("shop", kStart + hours{12});
    const time_point now = kStart + hours{13};
    home.Claim(Attempt("shop", ended, "a"), now);
    home.End({{"shop", ended}, 7, "a", false, nullptr});
    home.Claim(Attempt("shop", held, "a"), now);
    key_home successor(home.State(), hours{12}, {}, now);
    const auto claim = [&](const std::string& key) {
      return successor.Claim(Attempt("shop", key, "b"), now);
    };
    CPPUNIT_ASSERT(claim(expired).refusal == error_kind::kKeyExpired);
    CPPUNIT_ASSERT(claim(ended).result == claim_result::kEnded);
    CPPUNIT_ASSERT(claim(held).result == claim_result::kHeld);
    CPPUNIT_ASSERT(claim(unused).result == claim_result::kWon);
  }

  void OnlyPartitionsOfAGoneHostMove() {
    CPPUNIT_ASSERT(rc::check("rendezvous", [] {
      const int count = *rc::gen::inRange(2, 40);
      const int gone = *rc::gen::inRange(0, count);
      std::vector<std::string> all;
      all.reserve(static_cast<std::size_t>(count));
      for (int number = 0; number < count; ++number) {
        all.push_back("entry-" + std::to_string(number));
      }
      std::vector<std::string> left = all;
      left.erase(left.begin() + gone);
      for (std::uint32_t partition = 0; partition < 16; ++partition) {
        const std::string before = WriterOf(partition, all);
        if (before != all[static_cast<std::size_t>(gone)]) {
          RC_ASSERT(WriterOf(partition, left) == before);
        }
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_home_test);

}  // namespace
}  // namespace slatestall
