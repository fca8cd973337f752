#include "bench/load/answer_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/model/ids.h"
#include "standins/endpoint/answer_text.h"
#include "standins/endpoint/pool_answers.h"

namespace slatestall {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20U;

std::uint32_t CountTokens(const std::string& text) {
  return static_cast<std::uint32_t>(std::count(text.begin(), text.end(), ' '));
}

std::string Shortened(const std::string& text) {
  constexpr std::size_t kShown = 160;
  return text.substr(0, kShown);
}

}  // namespace

answer_check::answer_check(const load_flow& flow, const std::string& marker,
                           std::string body)
    : flow_(flow),
      marker_(marker),
      sent_body_(std::move(body)),
      expected_(AnswerText(marker, flow.max_tokens)),
      expected_tokens_(AnswerLength(marker, flow.max_tokens)),
      parser_(kMaxEventBytes,
              [this](const sse_event& event) { TakeEvent(event); }) {}

void answer_check::Feed(std::string_view piece) { parser_.Feed(piece); }

void answer_check::TakeEvent(const sse_event& event) {
  if (event.type == "done" || event.data == "[DONE]") {
    ended_ = true;
  } else if (event.type == "error") {
    problem_ = event.data;
  } else {
    TakeTokens(event.data);
  }
}

void answer_check::TakeTokens(const std::string& data) {
  if (!wrong_.empty()) {
    return;
  }
  const json event = json::parse(data, nullptr, false);
  if (!event.is_object() || !event.contains("offset")) {
    wrong_ = "not an event: " + Shortened(data);
    return;
  }
  const std::string text = event.value("text", "");
  const bool goes_on = event["offset"].get<std::uint32_t>() == tokens_;
  if (!goes_on || expected_.compare(received_.size(), text.size(), text) != 0) {
    wrong_ =
        "does not go on at " + std::to_string(tokens_) + ": " + Shortened(data);
    return;
  }
  received_ += text;
  tokens_ += CountTokens(text);
}

checked_answer answer_check::StreamEnd() const {
  if (!wrong_.empty()) {
    return {answer_verdict::kWrong, false, false, wrong_};
  }
  if (!problem_.empty()) {
    return ProblemIn(200, problem_);
  }
  if (!ended_) {
    return {answer_verdict::kNotWhole, false, false, "the stream broke off"};
  }
  if (received_ != expected_) {
    return {answer_verdict::kWrong, false, false,
            "called whole at " + std::to_string(tokens_) + " of " +
                std::to_string(expected_tokens_) + " tokens"};
  }
  return {answer_verdict::kWhole, false, false, ""};
}

checked_answer answer_check::Whole(int status, const std::string& body) const {
  if (status != 200) {
    return ProblemIn(status, body);
  }
  if (!Matches(body)) {
    return {answer_verdict::kWrong, false, false,
            "another answer: " + Shortened(body)};
  }
  return {answer_verdict::kWhole, false, false, ""};
}

bool answer_check::Matches(const std::string& body) const {
  if (flow_.target == flow_target::kService ||
      flow_.target == flow_target::kDirectPlain) {
    return body == PlainAnswer(sent_body_);
  }
  const json answer = json::parse(body, nullptr, false);
  return answer.is_object() && answer.value("answer", "") == expected_;
}

checked_answer answer_check::ProblemIn(int status,
                                       const std::string& body) const {
  const json problem = json::parse(body, nullptr, false);
  const std::string detail = std::to_string(status) + " " + Shortened(body);
  if (!problem.is_object() || !problem.contains("ran")) {
    return {answer_verdict::kProblem, false, false, detail};
  }
  const std::string type = problem.value("type", "");
  const std::string reason = std::to_string(status) + " " +
                             type.substr(type.rfind(':') + 1) + ": " +
                             problem.value("detail", "");
  if (type.ends_with(":request-in-progress")) {
    return {answer_verdict::kInProgress, false, false, reason};
  }
  return {answer_verdict::kProblem, problem["ran"] == "no",
          problem.value("retry_is_safe", false), reason};
}

}  // namespace slatestall
