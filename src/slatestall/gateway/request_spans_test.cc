#include "slatestall/gateway/request_spans.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

namespace slatestall {
namespace {

using json = nlohmann::json;

const time_point kArrived{std::chrono::hours(1)};

time_point At(int after) { return kArrived + milliseconds(after); }

class request_spans_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_spans_test);
  CPPUNIT_TEST(TimesAreToldFromTheArrival);
  CPPUNIT_TEST(WhatDidNotComeIsNull);
  CPPUNIT_TEST(OfAStageThatWasRunAgainTheLastRunCounts);
  CPPUNIT_TEST_SUITE_END();

  void TimesAreToldFromTheArrival() {
    request_spans spans(kArrived);
    spans.NoteBegun(1, At(2));
    spans.NoteMade(1, At(300));
    spans.NoteSent(At(301));
    spans.NoteFirstEvent(At(700));
    CPPUNIT_ASSERT(spans.SinceSent(At(701)) == milliseconds(400));
    CPPUNIT_ASSERT(spans.FirstEvent() == At(700));
    CPPUNIT_ASSERT_EQUAL(
        json::parse(R"({"objective_ms":1600,"sent_ms":301,"first_event_ms":700,
            "stages":[{"service":"t","begun_ms":2,"made_ms":300}]})"),
        spans.Fields({{"s", {}, 0}, {"t", {}, 0}}, At(1600)));
  }

  void WhatDidNotComeIsNull() {
    request_spans spans(kArrived);
    spans.NoteBegun(0, At(2));
    CPPUNIT_ASSERT(!spans.FirstEvent());
    CPPUNIT_ASSERT_EQUAL(json::parse(R"({"objective_ms":null,"sent_ms":null,
            "first_event_ms":null,
            "stages":[{"service":"s","begun_ms":2,"made_ms":null}]})"),
                         spans.Fields({{"s", {}, 0}}, {}));
  }

  void OfAStageThatWasRunAgainTheLastRunCounts() {
    request_spans spans(kArrived);
    spans.NoteBegun(0, At(2));
    spans.NoteMade(0, At(300));
    spans.NoteBegun(0, At(400));
    const auto stage = spans.Fields({{"s", {}, 0}}, {}).at("stages").at(0);
    CPPUNIT_ASSERT_EQUAL(json(400), stage.at("begun_ms"));
    CPPUNIT_ASSERT(stage.at("made_ms").is_null());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_spans_test);

}  // namespace
}  // namespace slatestall
