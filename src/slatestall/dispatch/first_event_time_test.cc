#include "slatestall/dispatch/first_event_time.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace slatestall {
namespace {

constexpr milliseconds kOtherwise{200};

/// An engine that reads prompts at a steady speed and finds some of the shared
/// parts cached.
struct engine {
  double tokens_per_millisecond = 40;
  double cached_share = 0;
  double fixed_milliseconds = 50;
  std::mt19937 random{7};

  prompt_size Prompt() {
    std::lognormal_distribution<double> own(7.5, 0.8);
    std::lognormal_distribution<double> shared(8.8, 0.6);
    return {static_cast<std::uint32_t>(own(random)),
            static_cast<std::uint32_t>(shared(random))};
  }

  duration Takes(const prompt_size& prompt) {
    const bool cached =
        std::uniform_real_distribution<double>()(random) < cached_share;
    const double tokens =
        prompt.own_tokens + (cached ? 0.0 : prompt.shared_tokens);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(
            fixed_milliseconds + tokens / tokens_per_millisecond));
  }
};

double Milliseconds(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void Watch(first_event_time& learnt, engine& one, int streams) {
  for (int i = 0; i < streams; ++i) {
    const auto prompt = one.Prompt();
    learnt.Note(prompt, one.Takes(prompt));
  }
}

class first_event_time_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(first_event_time_test);
  CPPUNIT_TEST(KnowsNothingAtFirst);
  CPPUNIT_TEST(LearnsSlowAndFastEngines);
  CPPUNIT_TEST(CachedPartsCostLittle);
  CPPUNIT_TEST(FollowsAChangeOfSpeed);
  CPPUNIT_TEST(AStalledEndpointDoesNoLastingHarm);
  CPPUNIT_TEST(StaysFiniteWithOnePromptOnly);
  CPPUNIT_TEST_SUITE_END();

  void KnowsNothingAtFirst() {
    first_event_time learnt;
    CPPUNIT_ASSERT(learnt.Expected({1000, 5000}, kOtherwise) == kOtherwise);
    learnt.Note({1000, 5000}, milliseconds(700));
    CPPUNIT_ASSERT(learnt.Expected({1000, 5000}, kOtherwise) == kOtherwise);
  }

  // A draft of 17,000 tokens: engines of 40 tokens a millisecond need 475 ms,
  // engines of 160 need 156.
  void LearnsSlowAndFastEngines() {
    for (const double speed : {40.0, 160.0}) {
      engine one{speed};
      first_event_time learnt;
      Watch(learnt, one, 100);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
          50 + 17000 / speed,
          Milliseconds(learnt.Expected({4000, 13000}, kOtherwise)),
          0.1 * (50 + 17000 / speed));
    }
  }

  void CachedPartsCostLittle() {
    engine one{160.0, 0.9};
    first_event_time learnt;
    Watch(learnt, one, 200);
    const double got = Milliseconds(learnt.Expected({4000, 13000}, kOtherwise));
    CPPUNIT_ASSERT(got > 70);
    CPPUNIT_ASSERT(got < 130);
  }

  void FollowsAChangeOfSpeed() {
    engine one{160.0};
    first_event_time learnt;
    Watch(learnt, one, 200);
    one.tokens_per_millisecond = 80;
    Watch(learnt, one, 200);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        50 + 17000 / 80.0,
        Milliseconds(learnt.Expected({4000, 13000}, kOtherwise)), 40);
  }

  // One endpoint stalls and three streams wait for seconds. Taken at their
  // word, all drafts would be believed late at once and refused; what is
  // expected may rise by half at most and is back after a minute's streams.
  void AStalledEndpointDoesNoLastingHarm() {
    engine one{160.0};
    first_event_time learnt;
    Watch(learnt, one, 100);
    const prompt_size draft{4000, 13000};
    const double before = Milliseconds(learnt.Expected(draft, kOtherwise));
    for (int i = 0; i < 3; ++i) {
      learnt.Note(draft, milliseconds(20'000));
    }
    const double during = Milliseconds(learnt.Expected(draft, kOtherwise));
    CPPUNIT_ASSERT(during < 1.6 * before);
    Watch(learnt, one, 200);
    const double after = Milliseconds(learnt.Expected(draft, kOtherwise));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(before, after, 0.1 * before);
  }

  void StaysFiniteWithOnePromptOnly() {
    first_event_time learnt;
    for (int i = 0; i < 1000; ++i) {
      learnt.Note({0, 0}, milliseconds(80));
    }
    const double same = Milliseconds(learnt.Expected({0, 0}, kOtherwise));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(80.0, same, 2.0);
    const double other =
        Milliseconds(learnt.Expected({5000, 50'000}, kOtherwise));
    CPPUNIT_ASSERT(std::isfinite(other));
    CPPUNIT_ASSERT(other >= 70.0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(first_event_time_test);

}  // namespace
}  // namespace slatestall
