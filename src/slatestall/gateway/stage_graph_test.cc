#include "slatestall/gateway/stage_graph.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

using stages = std::vector<std::size_t>;
using texts = std::vector<std::string>;

/// A short branch, 0, beside a chain of three, 1 to 3.
std::vector<stage_rule> BranchAndChain() {
  return {{"a", {}, 1}, {"a", {}, 1}, {"b", {1}, 1}, {"c", {2}, 1}};
}

class stage_graph_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stage_graph_test);
  CPPUNIT_TEST(AShortBranchBeginsAsLateAsItCan);
  CPPUNIT_TEST(InputsAreAllResultsOfTheStagesBefore);
  CPPUNIT_TEST(AStageWithoutPiecesIsLeftOut);
  CPPUNIT_TEST(ResultsAreSpentWhenNothingNeedsThem);
  CPPUNIT_TEST(LostResultsBeginItAnew);
  CPPUNIT_TEST(ARequestWithoutStagesIsDone);
  CPPUNIT_TEST_SUITE_END();

  // Results of the branch are large and lie at their maker until the request
  // itself begins: made first, they would hold room there through the chain.
  void AShortBranchBeginsAsLateAsItCan() {
    stage_graph graph(BranchAndChain(), {1, 1, 2, 3});
    CPPUNIT_ASSERT(graph.TakeReady() == stages({1}));
    CPPUNIT_ASSERT(graph.TakeReady().empty());
    graph.SetDone(1, {"x"});
    CPPUNIT_ASSERT(graph.TakeReady() == stages({2}));
    graph.SetDone(2, {"y1", "y2"});
    CPPUNIT_ASSERT(graph.TakeReady() == stages({0, 3}));
    graph.SetDone(0, {"b"});
    CPPUNIT_ASSERT(!graph.AllDone());
    graph.SetDone(3, {"z1", "z2", "z3"});
    CPPUNIT_ASSERT(graph.AllDone());
    CPPUNIT_ASSERT(graph.FinalInputs() == texts({"b", "z1", "z2", "z3"}));
  }

  void InputsAreAllResultsOfTheStagesBefore() {
    stage_graph graph({{"a", {}, 1}, {"b", {}, 1}, {"c", {0, 1}, 1}},
                      {2, 1, 1});
    graph.SetDone(0, {"p", "q"});
    graph.SetDone(1, {"r"});
    CPPUNIT_ASSERT(graph.InputsOf(2) == texts({"p", "q", "r"}));
  }

  void AStageWithoutPiecesIsLeftOut() {
    stage_graph graph(BranchAndChain(), {0, 1, 1, 1});
    CPPUNIT_ASSERT(graph.TakeReady() == stages({1}));
    stage_graph none(BranchAndChain(), {0, 0, 0, 0});
    CPPUNIT_ASSERT(none.AllDone());
    CPPUNIT_ASSERT(none.FinalInputs().empty());
  }

  void ResultsAreSpentWhenNothingNeedsThem() {
    stage_graph graph({{"a", {}, 1}, {"b", {0}, 1}, {"c", {0}, 1}}, {1, 1, 1});
    graph.SetDone(0, {"p"});
    graph.SetDone(1, {"q"});
    CPPUNIT_ASSERT(graph.SpentBy(1).empty());
    graph.SetDone(2, {"r"});
    CPPUNIT_ASSERT(graph.SpentBy(2) == texts({"p"}));
  }

  void LostResultsBeginItAnew() {
    stage_graph graph(BranchAndChain(), {0, 1, 1, 1});
    graph.TakeReady();
    graph.SetDone(1, {"x"});
    graph.Reset();
    CPPUNIT_ASSERT(graph.AllHandles().empty());
    CPPUNIT_ASSERT(graph.TakeReady() == stages({1}));
  }

  void ARequestWithoutStagesIsDone() {
    stage_graph graph({}, {});
    CPPUNIT_ASSERT(graph.AllDone());
    CPPUNIT_ASSERT(graph.Empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_graph_test);

}  // namespace
}  // namespace slatestall
