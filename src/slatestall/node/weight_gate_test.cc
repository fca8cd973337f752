#include "slatestall/node/weight_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <vector>

namespace slatestall {
namespace {

using std::chrono::seconds;

class weight_gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(weight_gate_test);
  CPPUNIT_TEST(AsksOneAtATimeAndKeepsToTheStoresWish);
  CPPUNIT_TEST(AMissingVersionDoesNotHoldUpOthers);
  CPPUNIT_TEST_SUITE_END();

  time_point now_ = time_point{} + seconds{100};
  std::vector<std::string> asked_;
  std::function<void(weight_result)> answer_;
  weight_gate gate_{[this](const std::string& label, auto done) {
                      asked_.push_back(label);
                      answer_ = done;
                    },
                    [this] { return now_; }};

 public:
  // A new file names many versions at once and the store allows few questions
  // a second. Asked in a burst it would refuse, and the loads would stall.
  void AsksOneAtATimeAndKeepsToTheStoresWish() {
    CPPUNIT_ASSERT(gate_.Available({"a@1", "b@1"}).empty());
    gate_.Available({"a@1", "b@1"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked_.size());
    weight_result busy;
    busy.retry_after = milliseconds{2000};
    answer_(busy);
    gate_.Available({"a@1", "b@1"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked_.size());
    now_ += seconds{2};
    gate_.Available({"a@1", "b@1"});
    weight_result good;
    good.ok = true;
    answer_(good);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         gate_.Available({"a@1", "b@1"}).count("a@1"));
  }

  void AMissingVersionDoesNotHoldUpOthers() {
    gate_.Available({"a@9", "b@1"});
    answer_(weight_result{});
    gate_.Available({"a@9", "b@1"});
    CPPUNIT_ASSERT_EQUAL(std::string("b@1"), asked_.back());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(weight_gate_test);

}  // namespace
}  // namespace slatestall
