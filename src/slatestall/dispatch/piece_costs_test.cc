#include "slatestall/dispatch/piece_costs.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace slatestall {
namespace {

constexpr milliseconds kTold{9};
constexpr std::uint64_t kLight = 1;
constexpr std::uint64_t kHeavy = 2;

class piece_costs_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(piece_costs_test);
  CPPUNIT_TEST(TwoKindsInTheSameCallsAreToldApart);
  CPPUNIT_TEST(AnUnknownKindCostsWhatTheOthersDo);
  CPPUNIT_TEST(ACallOfSecondsIsNotLearntWhole);
  CPPUNIT_TEST(ManyKindsAreBounded);
  CPPUNIT_TEST(ManyKindsInOneCallAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against one figure for kinds that differ by three times: room was
  // refused to light ones, and calls of heavy ones ended late.
  void TwoKindsInTheSameCallsAreToldApart() {
    piece_costs costs;
    std::mt19937 random(7);  // NOLINT(cert-msc32-c,cert-msc51-cpp)
    std::uniform_int_distribution<unsigned> light(0, 10);
    std::uniform_real_distribution<double> noise(0.97, 1.03);
    for (int call = 0; call < 50; ++call) {
      const unsigned of_light = light(random);
      const unsigned of_heavy = 10 - of_light;
      const double usual = 3.0 * of_light + 9.0 * of_heavy;
      const std::chrono::duration<double, std::milli> taken(usual *
                                                            noise(random));
      costs.Note({{kLight, of_light}, {kHeavy, of_heavy}},
                 std::chrono::duration_cast<duration>(taken), kTold);
    }
    const auto of = [&costs](std::uint64_t kind) {
      return std::chrono::duration<double, std::milli>(
                 costs.PieceTime(kind, duration(0)))
          .count();
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, of(kLight), 0.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9.0, of(kHeavy), 0.9);
  }

  void AnUnknownKindCostsWhatTheOthersDo() {
    const piece_costs costs;
    CPPUNIT_ASSERT(costs.PieceTime(kLight, milliseconds(4)) == milliseconds(4));
  }

  // An endpoint that stalled says nothing of its pieces.
  void ACallOfSecondsIsNotLearntWhole() {
    piece_costs costs;
    costs.Note({{kLight, 1}}, std::chrono::seconds(5), kTold);
    CPPUNIT_ASSERT(costs.PieceTime(kLight, duration(0)) <= milliseconds(14));
    costs.Note({{kLight, 1}}, -std::chrono::seconds(5), kTold);
    CPPUNIT_ASSERT(costs.PieceTime(kLight, duration(0)) > duration(0));
  }

  void ManyKindsAreBounded() {
    piece_costs costs;
    for (std::uint64_t kind = 0; kind < 1000; ++kind) {
      costs.Note({{kind, 1}}, milliseconds(3), kTold);
    }
    CPPUNIT_ASSERT(costs.PieceTime(0, duration(-1)) == duration(-1));
    CPPUNIT_ASSERT(costs.PieceTime(999, duration(-1)) > duration(0));
  }

  // Guards against a call of more kinds than are told apart: those that had
  // given way came back with a cost of nothing, and stayed above the bound.
  void ManyKindsInOneCallAreBounded() {
    constexpr std::uint64_t kKinds = 96;
    piece_costs costs;
    piece_costs::kind_counts pieces;
    for (std::uint64_t kind = 0; kind < kKinds; ++kind) {
      pieces[kind] = 1;
    }
    costs.Note(pieces, kTold * kKinds, kTold);
    std::size_t known = 0;
    for (std::uint64_t kind = 0; kind < kKinds; ++kind) {
      const auto cost = costs.PieceTime(kind, duration(-1));
      known += cost == duration(-1) ? 0 : 1;
      CPPUNIT_ASSERT(cost == duration(-1) || cost > kTold / 2);
    }
    CPPUNIT_ASSERT(known <= 64);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(piece_costs_test);

}  // namespace
}  // namespace slatestall
