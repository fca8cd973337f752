#include "bench/load/request_run.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "bench/load/direct_chain.h"

namespace slatestall {
namespace {

using nlohmann::json;

constexpr unsigned kMaxSendings = 4;
/// A caller who got no answer asks once more even past the deadline, since
/// it must learn what became of the request.
constexpr milliseconds kLeastDeadline{1000};
constexpr milliseconds kPatience{1500};
constexpr milliseconds kInProgressPause{250};
constexpr milliseconds kResendPause{50};

milliseconds InMilliseconds(duration value) {
  return std::chrono::duration_cast<milliseconds>(value);
}

bool IsDirect(const load_flow& flow) {
  return flow.target == flow_target::kDirectChain ||
         flow.target == flow_target::kDirectPlain;
}

outcome_kind KindOf(const checked_answer& problem) {
  if (problem.not_run) {
    return outcome_kind::kRefused;
  }
  return problem.retry_is_safe ? outcome_kind::kFailed : outcome_kind::kUnknown;
}

std::string InputOf(const load_flow& flow, const std::string& marker) {
  std::string input = "marker:" + marker + " ";
  while (input.size() < flow.input_bytes) {
    input += "Which rice is in stock? ";
  }
  return input;
}

std::string BodyOf(const load_flow& flow, const std::string& marker) {
  const std::string input = InputOf(flow, marker);
  switch (flow.target) {
    case flow_target::kPipeline:
      return json({{"input", input}, {"max_tokens", flow.max_tokens}}).dump();
    case flow_target::kDirectChain:
      return {};
    case flow_target::kService:
    case flow_target::kDirectPlain:
      break;
  }
  return json({{"input", input}}).dump();
}

}  // namespace

request_run::request_run(load_context shared, const load_flow& flow,
                         std::string marker, std::string workspace,
                         completion done)
    : shared_(shared),
      flow_(flow),
      marker_(std::move(marker)),
      workspace_(std::move(workspace)),
      body_(BodyOf(flow, marker_)),
      done_(std::move(done)) {}

void request_run::Start() {
  started_ = std::chrono::steady_clock::now();
  if (flow_.key == key_source::kMinted) {
    MintKey(0, "");
    return;
  }
  if (flow_.key == key_source::kOwn) {
    key_ = "own-" + marker_;
  }
  if (flow_.target == flow_target::kDirectChain) {
    RunChain();
    return;
  }
  SendCopies();
}

void request_run::RunChain() {
  open_copies_ = 1;
  const auto chain = std::make_shared<direct_chain>(
      shared_.client, flow_, marker_, InputOf(flow_, marker_));
  chain->Start([self = shared_from_this()](const std::string& engine_call) {
    if (engine_call.empty()) {
      self->Finish(std::make_shared<copy_state>(), outcome_kind::kLost,
                   "the chain broke");
      return;
    }
    self->body_ = engine_call;
    auto copy = std::make_shared<copy_state>();
    copy->host = self->shared_.hosts.Pick("");
    self->Send(copy);
  });
}

void request_run::MintKey(unsigned sendings, const std::string& avoided) {
  const std::string host = shared_.hosts.Pick(avoided);
  http_call call;
  call.method = "POST";
  call.url = host + "/v1/workspaces/" + workspace_ + "/keys";
  call.timeout = kLeastDeadline;
  shared_.client.Start(std::move(call), [self = shared_from_this(), host,
                                         sendings](const http_result& result) {
    const json answer = json::parse(result.body, nullptr, false);
    if (result.status == 201 && answer.is_object()) {
      self->key_ = answer.value("key", "");
      self->SendCopies();
    } else if (sendings + 1 < kMaxSendings) {
      self->MintKey(sendings + 1, host);
    } else {
      self->open_copies_ = 1;
      self->Finish(std::make_shared<copy_state>(), outcome_kind::kRefused,
                   "no key: " + std::to_string(result.status));
    }
  });
}

void request_run::SendCopies() {
  started_ = std::chrono::steady_clock::now();
  open_copies_ = flow_.copies;
  std::string previous;
  for (unsigned i = 0; i < flow_.copies; ++i) {
    auto copy = std::make_shared<copy_state>();
    copy->host = shared_.hosts.Pick(previous);
    previous = copy->host;
    Send(copy);
  }
}

std::string request_run::Url(const std::string& host) const {
  switch (flow_.target) {
    case flow_target::kPipeline:
      return host + "/v1/workspaces/" + workspace_ + "/pipelines/" +
             flow_.called;
    case flow_target::kService:
      return host + "/v1/workspaces/" + workspace_ + "/services/" +
             flow_.called;
    case flow_target::kDirectChain:
      return host + "/v1/completions";
    case flow_target::kDirectPlain:
      break;
  }
  return host + "/v1/call";
}

http_call request_run::CallOf(const copy_ptr& copy) {
  const milliseconds left =
      std::max(kLeastDeadline, flow_.deadline - InMilliseconds(Elapsed()));
  http_call call;
  call.method = "POST";
  call.url = Url(copy->host);
  call.body = body_;
  call.timeout = left + kPatience;
  call.headers = {{"Content-Type", "application/json"},
                  {"X-Deadline-Ms", std::to_string(left.count())}};
  if (!key_.empty()) {
    call.headers.push_back({"Idempotency-Key", key_});
  }
  if (IsDirect(flow_)) {
    call.headers.push_back({"X-Request-Id", marker_});
    call.headers.push_back({"X-Attempt-Id", marker_ + "/0/0"});
  }
  if (flow_.stream) {
    call.headers.push_back({"Accept", "text/event-stream"});
    call.on_data = [self = shared_from_this(), copy](std::string_view piece) {
      const duration now = self->Elapsed();
      if (copy->first_byte == duration{}) {
        copy->first_byte = now;
      } else {
        copy->gaps_ms.push_back(
            std::chrono::duration<float, std::milli>(now - copy->last_piece)
                .count());
      }
      copy->last_piece = now;
      copy->check->Feed(piece);
    };
  }
  return call;
}

void request_run::Send(const copy_ptr& copy) {
  ++copy->sendings;
  copy->check = std::make_unique<answer_check>(flow_, marker_, body_);
  shared_.client.Start(CallOf(copy), [self = shared_from_this(),
                                      copy](const http_result& result) {
    self->Ended(copy, result);
  });
}

void request_run::Ended(const copy_ptr& copy, const http_result& result) {
  const bool was_streamed = flow_.stream && result.status == 200;
  checked_answer checked;
  if (was_streamed) {
    checked = copy->check->StreamEnd();
  } else if (result.end == call_end::kComplete) {
    checked = copy->check->Whole(result.status, result.body);
  }
  switch (checked.verdict) {
    case answer_verdict::kWhole: {
      const bool is_late = Elapsed() > flow_.deadline;
      Finish(copy, is_late ? outcome_kind::kLate : outcome_kind::kFull, "");
      return;
    }
    case answer_verdict::kWrong:
      Finish(copy, outcome_kind::kCrossed, checked.detail);
      return;
    case answer_verdict::kProblem:
      Finish(copy, KindOf(checked), checked.detail);
      return;
    case answer_verdict::kInProgress:
      if (!SendAgain(copy, kInProgressPause)) {
        Finish(copy, outcome_kind::kUnknown, checked.detail);
      }
      return;
    case answer_verdict::kNotWhole:
      if (!SendAgain(copy, kResendPause)) {
        Finish(copy, outcome_kind::kLost, result.detail);
      }
      return;
  }
}

bool request_run::SendAgain(const copy_ptr& copy, milliseconds after) {
  if (copy->sendings >= kMaxSendings) {
    return false;
  }
  ++outcome_.resends;
  copy->host = shared_.hosts.Pick(copy->host);
  auto timer = std::make_shared<asio::steady_timer>(shared_.event_loop, after);
  timer->async_wait([self = shared_from_this(), copy,
                     timer](const std::error_code&) { self->Send(copy); });
  return true;
}

void request_run::Finish(const copy_ptr& copy, outcome_kind kind,
                         const std::string& detail) {
  if (!has_outcome_ || kind < outcome_.kind) {
    has_outcome_ = true;
    outcome_.kind = kind;
    outcome_.detail = detail;
    outcome_.total = Elapsed();
    outcome_.first_byte = copy->first_byte;
    outcome_.gaps_ms = std::move(copy->gaps_ms);
    outcome_.tokens = copy->check ? copy->check->Tokens() : 0;
  }
  if (--open_copies_ == 0) {
    done_(outcome_);
  }
}

duration request_run::Elapsed() const {
  return std::chrono::steady_clock::now() - started_;
}

}  // namespace slatestall
