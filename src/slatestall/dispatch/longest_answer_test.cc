#include "slatestall/dispatch/longest_answer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

class longest_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(longest_answer_test);
  CPPUNIT_TEST(IsCarefulWithFewAnswers);
  CPPUNIT_TEST(TellsTheLongestAndForgetsIt);
  CPPUNIT_TEST_SUITE_END();

 private:
  static void Note(longest_answer& learnt, int times, milliseconds taken) {
    for (int i = 0; i < times; ++i) {
      learnt.Note(taken);
    }
  }

  void IsCarefulWithFewAnswers() {
    longest_answer learnt;
    Note(learnt, 3, milliseconds(100));
    CPPUNIT_ASSERT(!learnt.Value());
    Note(learnt, 1, milliseconds(100));
    CPPUNIT_ASSERT(learnt.Value() == duration(milliseconds(200)));
    Note(learnt, 12, milliseconds(100));
    CPPUNIT_ASSERT(learnt.Value() == duration(milliseconds(100)));
  }

  // Streams grow shorter when a burst is over; a host that went on counting
  // with the burst's would refuse what it could serve.
  void TellsTheLongestAndForgetsIt() {
    longest_answer learnt;
    Note(learnt, 30, milliseconds(100));
    Note(learnt, 1, milliseconds(4000));
    Note(learnt, 63, milliseconds(200));
    CPPUNIT_ASSERT(learnt.Value() == duration(milliseconds(4000)));
    Note(learnt, 1, milliseconds(200));
    CPPUNIT_ASSERT(learnt.Value() == duration(milliseconds(200)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(longest_answer_test);

}  // namespace
}  // namespace slatestall
