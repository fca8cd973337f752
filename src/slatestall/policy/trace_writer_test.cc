#include "slatestall/policy/trace_writer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <sstream>

namespace slatestall {
namespace {

std::string AnyText() {
  return *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("ab.-_ \"\\\n:{}9")));
}

std::vector<std::string> AnyTexts() {
  std::vector<std::string> texts(*rc::gen::inRange<std::size_t>(0, 3));
  std::generate(texts.begin(), texts.end(), AnyText);
  return texts;
}

duration AnySpan() {
  return duration(*rc::gen::inRange<std::int64_t>(0, 86'400'000'000'000));
}

std::uint32_t AnyCount() { return *rc::gen::inRange<std::uint32_t>(0, 5000); }

double AnyShare() { return *rc::gen::inRange(0, 1000) / 1000.0; }

template <typename Item, typename Make>
std::vector<Item> Some(std::size_t least, Make make) {
  std::vector<Item> items(least + *rc::gen::inRange<std::size_t>(0, 4));
  std::generate(items.begin(), items.end(), make);
  return items;
}

trace_arrival AnyArrival() {
  trace_arrival arrival;
  arrival.at = AnySpan();
  arrival.host = AnyCount();
  arrival.pipeline = AnyText();
  arrival.workspace = AnyText();
  if (*rc::gen::arbitrary<bool>()) {
    arrival.deadline = milliseconds(AnyCount());
  }
  arrival.prefix = *rc::gen::arbitrary<std::uint64_t>();
  arrival.work = Some<milliseconds>(0, [] { return milliseconds(AnyCount()); });
  arrival.tokens = AnyCount();
  if (*rc::gen::arbitrary<bool>()) {
    arrival.answer = {
        *rc::gen::elementOf(std::vector<replay_outcome>{
            replay_outcome::kInTime, replay_outcome::kLate,
            replay_outcome::kRefused, replay_outcome::kFailed}),
        AnySpan(),
        *rc::gen::elementOf(std::vector<priority_class>{
            priority_class::kInteractive, priority_class::kBatch})};
  }
  return arrival;
}

trace_fault AnyFault() {
  const auto kind = *rc::gen::elementOf(std::vector<fault_kind>{
      fault_kind::kSlow, fault_kind::kFail, fault_kind::kBusy,
      fault_kind::kSilent, fault_kind::kPaused, fault_kind::kRestart,
      fault_kind::kLeaving});
  return {AnySpan(), AnySpan(), kind, AnyShare(), AnyTexts(), AnyText()};
}

trace_load_report AnyLoad() {
  trace_load_report report{AnySpan(), AnyText(), AnyText(), {}};
  report.load.running = AnyCount();
  report.load.waiting = AnyCount();
  report.load.slots = AnyCount();
  report.load.leaving = *rc::gen::arbitrary<bool>();
  report.load.models = AnyTexts();
  report.load.adapters = AnyTexts();
  return report;
}

trace AnyTrace() {
  trace made;
  made.name = "n" + AnyText();
  made.seed = *rc::gen::arbitrary<std::uint64_t>();
  made.configurations = Some<trace_configuration>(1, [] {
    return trace_configuration{AnySpan(), AnyCount(), AnyText()};
  });
  made.host_lists = Some<trace_host_list>(1, [] {
    return trace_host_list{
        AnySpan(), Some<trace_host>(1, [] {
          return trace_host{AnyText(), AnyText(), AnyCount()};
        })};
  });
  made.network = {AnySpan(), AnySpan()};
  made.models = Some<trace_endpoint_model>(0, [] {
    return trace_endpoint_model{AnyText(),  AnyCount(), AnyShare(), AnyShare(),
                                AnyCount(), AnySpan(),  AnySpan(),  AnyShare()};
  });
  made.endpoints = Some<trace_endpoint>(0, [] {
    return trace_endpoint{AnyText(), AnyText(), AnyText(), AnyTexts()};
  });
  made.faults = Some<trace_fault>(0, AnyFault);
  made.load_reports = Some<trace_load_report>(0, AnyLoad);
  made.arrivals = Some<trace_arrival>(0, AnyArrival);
  std::stable_sort(made.arrivals.begin(), made.arrivals.end(),
                   [](const auto& first, const auto& second) {
                     return first.at < second.at;
                   });
  return made;
}

class trace_writer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(trace_writer_test);
  CPPUNIT_TEST(WhatIsWrittenIsReadBackAsItWas);
  CPPUNIT_TEST(StatedOutcomesAreReadBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WhatIsWrittenIsReadBackAsItWas() {
    CPPUNIT_ASSERT(rc::check("writer -> reader", [] {
      const trace written = AnyTrace();
      std::stringstream text;
      WriteTrace(written, text);
      RC_ASSERT(ReadTrace(text) == written);
    }));
  }

  void StatedOutcomesAreReadBack() {
    trace written;
    written.name = "n";
    written.configurations.resize(1);
    written.host_lists.push_back({{}, {{"entry-1", "a", 1}}});
    // Four lines stand before the first outcome.
    written.outcomes = {{5, "lost", std::nullopt, 0.0, std::nullopt},
                        {6, "batch.requests", 2.0, 3.5, std::nullopt},
                        {7, "decisions", std::nullopt, std::nullopt, "ab"}};
    std::stringstream text;
    WriteTrace(written, text);
    CPPUNIT_ASSERT(ReadTrace(text) == written);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_writer_test);

}  // namespace
}  // namespace slatestall
