#include "slatestall/dispatch/usual_patience.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace slatestall {
namespace {

/// Callers whose patience at the first attempt lies in a range.
class callers {
 public:
  callers(milliseconds least, milliseconds most)
      : patience_(least.count(), most.count()) {}

  milliseconds First() { return milliseconds(patience_(random_)); }
  bool Draw(double share) {
    return std::uniform_real_distribution<double>()(random_) < share;
  }

 private:
  std::mt19937 random_{11};
  std::uniform_int_distribution<std::int64_t> patience_;
};

class usual_patience_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(usual_patience_test);
  CPPUNIT_TEST(FirstAttemptsOfDifferentPatienceAreNoReturns);
  CPPUNIT_TEST(ReturnsAreKnownByWhatTheyHaveLeft);
  CPPUNIT_TEST(AThirdOfReturnsDoesNotHideThem);
  CPPUNIT_TEST(CallersWithOnePatienceAreKnownExactly);
  CPPUNIT_TEST(FollowsCallersThatBecomeLessPatient);
  CPPUNIT_TEST_SUITE_END();

  // A caller with 6.8 s of patience asks beside others with 8 s. Taken for one
  // that has waited 1.2 s, it would be served behind all others though it can
  // still be in time.
  void FirstAttemptsOfDifferentPatienceAreNoReturns() {
    callers all(milliseconds(6800), milliseconds(8000));
    usual_patience learnt;
    int mistaken = 0;
    for (int i = 0; i < 500; ++i) {
      const auto patience = all.First();
      mistaken += learnt.Elapsed(patience) > duration(0) ? 1 : 0;
      learnt.Note(patience);
    }
    CPPUNIT_ASSERT(mistaken <= 10);
  }

  void ReturnsAreKnownByWhatTheyHaveLeft() {
    callers all(milliseconds(6800), milliseconds(8000));
    usual_patience learnt;
    for (int i = 0; i < 200; ++i) {
      learnt.Note(all.First());
    }
    const auto elapsed = learnt.Elapsed(milliseconds(5400));
    CPPUNIT_ASSERT(elapsed > milliseconds(1600));
    CPPUNIT_ASSERT(elapsed < milliseconds(2400));
  }

  // A burst: one in three comes back 1.5 to 2.5 s after its refusal.
  void AThirdOfReturnsDoesNotHideThem() {
    callers all(milliseconds(6800), milliseconds(8000));
    usual_patience learnt;
    int mistaken = 0;
    int known = 0;
    int returns = 0;
    for (int i = 0; i < 2000; ++i) {
      const bool is_return = all.Draw(1.0 / 3);
      auto patience = all.First();
      if (is_return) {
        patience -= milliseconds(all.Draw(0.5) ? 1500 : 2500);
      }
      const bool taken = learnt.Elapsed(patience) > duration(0);
      returns += is_return ? 1 : 0;
      known += is_return && taken ? 1 : 0;
      mistaken += !is_return && taken ? 1 : 0;
      learnt.Note(patience);
    }
    CPPUNIT_ASSERT(mistaken < 20);
    CPPUNIT_ASSERT(known > returns * 3 / 4);
  }

  void CallersWithOnePatienceAreKnownExactly() {
    usual_patience learnt;
    for (int i = 0; i < 100; ++i) {
      learnt.Note(milliseconds(1000));
    }
    CPPUNIT_ASSERT(learnt.Elapsed(milliseconds(950)) == duration(0));
    CPPUNIT_ASSERT(learnt.Elapsed(milliseconds(700)) == milliseconds(300));
  }

  void FollowsCallersThatBecomeLessPatient() {
    usual_patience learnt;
    for (int i = 0; i < 100; ++i) {
      learnt.Note(milliseconds(8000));
    }
    for (int i = 0; i < 100; ++i) {
      learnt.Note(milliseconds(4000));
    }
    CPPUNIT_ASSERT(learnt.Elapsed(milliseconds(4000)) == duration(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usual_patience_test);

}  // namespace
}  // namespace slatestall
