#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

#include "slatestall/serve/test_lane.h"

namespace slatestall {
namespace {

constexpr std::size_t kRequests = 6;
constexpr std::uint64_t kTokens = 3;

/// What a fake endpoint does with one call.
enum class act {
  kAnswer,
  kRefuse,
  kFail,
  kCut,
  kCross,
  kDouble,
  kGap,
  kHang,
  kForget,
};

constexpr int kActs = 9;

/// @brief Endpoints that take their next act from a list.
class scripted_lane : public test_lane {
 public:
  explicit scripted_lane(std::vector<int> acts) : acts_(std::move(acts)) {
    encoder.Act(Scripted(Encoder()));
    letters.Act([this, normal = Scripted(Encoder())](
                    const seen_call& call, const http_responder_ptr& answer) {
      CountRun(call);
      normal(call, answer);
    });
    BothEngines(
        [this](const seen_call& call, const http_responder_ptr& answer) {
          if (IsBilled(call) && !call.body.contains("resume")) {
            CountRun(call);
          }
          ActAsEngine(call, answer);
        });
  }

  /// Calls that must not be repeated, but for those proven not run.
  const std::map<std::string, int>& RunsByRequest() const { return runs_; }

 private:
  act Peek() const {
    return next_ < acts_.size() ? static_cast<act>(acts_[next_]) : act::kAnswer;
  }

  act Next() {
    const act next = Peek();
    ++next_;
    return next;
  }

  /// Of the pipelines, "billed" alone has an engine as its second stage.
  static bool IsBilled(const seen_call& call) {
    return call.attempt.find("/1/") != std::string::npos;
  }

  void CountRun(const seen_call& call) {
    if (Peek() != act::kRefuse) {
      ++runs_[call.attempt.substr(0, call.attempt.find('/'))];
    }
  }

  test_endpoint::behaviour Scripted(const test_endpoint::behaviour& normal) {
    return [this, normal](const seen_call& call,
                          const http_responder_ptr& answer) {
      seen_call other = call;
      other.attempt += "9";
      switch (Next()) {
        case act::kRefuse:
          return answer->Send(429, {{"X-Not-Run", "1"}}, "");
        case act::kFail:
          return answer->Send(500, {}, "");
        case act::kCut:
          return CutLater(context, answer);
        case act::kCross:
          return normal(other, answer);
        case act::kHang:
          held.push_back(answer);
          return;
        default:
          return normal(call, answer);
      }
    };
  }

  void ActAsEngine(const seen_call& call, const http_responder_ptr& answer) {
    const std::uint64_t first = call.body.value("resume_offset", 0U);
    switch (Next()) {
      case act::kAnswer:
        return Engine(kTokens)(call, answer);
      case act::kRefuse:
        return answer->Send(429, {{"X-Not-Run", "1"}}, "");
      case act::kFail:
        return answer->Send(500, {}, "");
      case act::kForget:
        return answer->Send(410, {{"X-Not-Run", "1"}}, "");
      case act::kCut:
        StreamTokens(call, *answer, first, 2);
        return CutLater(context, answer);
      case act::kCross:
        StreamTokens(call, *answer, first, 1);
        WriteText(*answer, call.attempt + "9", 1, " of another");
        break;
      case act::kDouble:
        StreamTokens(call, *answer, first, kTokens);
        WriteToken(*answer, call.attempt, 0);
        WriteEnd(*answer, call.attempt, kTokens);
        WriteEnd(*answer, call.attempt, kTokens);
        break;
      case act::kGap:
        StreamTokens(call, *answer, 2, kTokens);
        break;
      case act::kHang:
        break;
    }
    held.push_back(answer);
  }

  std::vector<int> acts_;
  std::size_t next_ = 0;
  std::map<std::string, int> runs_;
};

class answered_once_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answered_once_test);
  CPPUNIT_TEST(WhateverEndpointsDo);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WhateverEndpointsDo() {
    // Callers of several pipelines are answered once, in time, and either with
    // the whole text of their own request or with a failure, while endpoints
    // refuse, fail, cut, cross, double, skip, hang and forget in any order.
    // No call that must not be repeated reaches an endpoint twice.
    CPPUNIT_ASSERT(rc::check([] {
      const auto acts =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kActs));
      const auto kinds = *rc::gen::container<std::vector<int>>(
          kRequests, rc::gen::inRange(0, 6));
      scripted_lane t(acts);
      t.Start();
      std::vector<test_answer_ptr> answers;
      for (std::size_t i = 0; i < kinds.size(); ++i) {
        answers.push_back(Send(t, kinds[i], i));
      }
      for (std::size_t i = 0; i < kinds.size(); ++i) {
        t.Await(answers[i]);
        CheckAnswer(*answers[i], kinds[i]);
      }
      RC_ASSERT(t.lane->InHand() == 0U);
      for (const auto& [address, calls] : t.lane->InFlight()) {
        RC_ASSERT(calls == 0U);
      }
      CheckRunsOnce(t);
    }));
  }

 private:
  static test_answer_ptr Send(test_lane& t, int kind, std::size_t number) {
    http_headers headers{{"X-Deadline-Ms", "60"},
                         {"Idempotency-Key", "k" + std::to_string(number)}};
    const std::string body =
        R"({"input": "request )" + std::to_string(number) + "\"}";
    if (kind % 2 == 1) {
      headers.push_back({"Accept", "text/event-stream"});
    }
    const char* pipelines[] = {"chain", "billed", "send"};
    return t.Run(pipelines[kind / 2], std::move(headers), body);
  }

  static void CheckAnswer(const test_answer& answer, int kind) {
    RC_ASSERT(answer.ends == 1U);
    RC_ASSERT(answer.result.end == call_end::kComplete);
    const bool is_letter = kind / 2 == 2;
    if (answer.events.empty()) {
      const auto json = answer.Json();
      RC_ASSERT(json.is_object());
      RC_ASSERT(json.contains("type") != json.contains("answer"));
      if (json.contains("answer") && !is_letter) {
        RC_ASSERT(json.value("answer", "") == GeneratedText(kTokens));
      }
      return;
    }
    RC_ASSERT(answer.Last() == "done" || answer.Last() == "error");
    if (!is_letter) {
      RC_ASSERT(GeneratedText(kTokens).starts_with(answer.streamed));
      RC_ASSERT(answer.Last() == "error" ||
                answer.streamed == GeneratedText(kTokens));
    }
  }

  static void CheckRunsOnce(const scripted_lane& t) {
    for (const auto& [request, runs] : t.RunsByRequest()) {
      RC_ASSERT(runs == 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answered_once_test);

}  // namespace
}  // namespace slatestall
