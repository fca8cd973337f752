#include "standins/endpoint/pool_endpoint.h"

#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <utility>

#include "slatestall/model/ids.h"
#include "standins/common/json_http.h"
#include "standins/endpoint/answer_text.h"
#include "standins/endpoint/pool_answers.h"

namespace slatestall {
namespace {

constexpr const char* kCrossedAttempt = "crossed.0000000000000000.0-0/0/0";
constexpr milliseconds kCutDelay{20};
constexpr const char* kCrossedBody = "marker:crossed";

work_queue_options QueueOptions(const endpoint_spec& spec,
                                const endpoint_options& options) {
  return {options.slots, options.service_ms, options.service_spread,
          StableHash(spec.listen.ip, options.seed + spec.listen.port)};
}

/// Cuts the connection only after the first half has left.
void SendHalf(asio::io_context& context, const http_responder_ptr& responder,
              const http_headers& headers, const std::string& body) {
  responder->StartStream(200, headers);
  responder->Write(body.substr(0, body.size() / 2));
  auto timer = std::make_shared<asio::steady_timer>(context, kCutDelay);
  timer->async_wait(
      [timer, responder](const std::error_code&) { responder->Abort(); });
}

}  // namespace

pool_endpoint::pool_endpoint(asio::io_context& context,
                             const endpoint_spec& spec,
                             const endpoint_options& options,
                             std::shared_ptr<ledger_file> file)
    : core_(context, spec, options, std::move(file)),
      queue_(context, QueueOptions(spec, options),
             [this] { return core_.faults.SlowFactor(); }),
      load_(context, options.load_lag, [this] { return Load(); }),
      server_(context, ServerOptionsOf(spec),
              AnsweringBadInput([this](const http_request& request,
                                       const http_responder_ptr& responder) {
                Handle(request, responder);
              })) {}

void pool_endpoint::Handle(const http_request& request,
                           const http_responder_ptr& responder) {
  if (AnswerControlCall(core_, request, *responder)) {
    return;
  }
  if (request.path == PathOf(core_.spec.kind)) {
    Call(request, responder);
  } else if (request.path == "/load") {
    load_.Answer(request, *responder);
  } else {
    SendJson(*responder, 404, {{"error", "no such path"}});
  }
}

void pool_endpoint::Call(const http_request& request,
                         const http_responder_ptr& responder) {
  const call_identity call = IdentityOf(request);
  const fault_mode fault = core_.faults.NextCall();
  if (EndBeforeWork(core_, fault, call, responder)) {
    return;
  }
  if (queue_.Waiting() >= core_.options.max_waiting) {
    RefuseNotRun(core_, 429, call, *responder,
                 {{"X-Load", LoadHeaderOf(Load())}});
    return;
  }
  const std::string& body = request.body;
  const auto number = queue_.Submit(
      {call.interactive,
       [this, call, body] { core_.runs.Started(call, FirstMarker(body)); },
       [this, call, body, fault, responder](milliseconds service_time) {
         Answer(call, body, service_time, fault, responder);
       }});
  responder->OnClosed([this, number] { queue_.Withdraw(number); });
}

void pool_endpoint::Answer(const call_identity& call, const std::string& body,
                           milliseconds service_time, fault_mode fault,
                           const http_responder_ptr& responder) {
  core_.runs.Completed(call, 0);
  const bool is_crossed_here = fault == fault_mode::kCross;
  const std::string shown = is_crossed_here ? kCrossedAttempt : call.attempt;
  pool_answer answer;
  try {
    const bool hides_body =
        is_crossed_here && core_.spec.kind == service_kind::kPlain;
    answer = AnswerPoolCall(core_.spec.kind, hides_body ? kCrossedBody : body,
                            shown, service_time);
  } catch (const std::exception& problem) {
    SendJson(*responder, 400, {{"error", problem.what()}});
    return;
  }
  if (answer.is_crossed) {
    core_.runs.Crossed(call);
  }
  const http_headers headers = {{"Content-Type", "application/json"},
                                {"X-Attempt-Id", shown},
                                {"X-Load", LoadHeaderOf(Load())}};
  if (fault == fault_mode::kDropAfter) {
    responder->Abort();
  } else if (fault == fault_mode::kTruncate) {
    SendHalf(core_.context, responder, headers, answer.body);
  } else {
    responder->Send(200, headers, answer.body);
  }
}

nlohmann::json pool_endpoint::Load() const {
  return {{"running", queue_.Running()},
          {"waiting", queue_.Waiting()},
          {"slots", core_.options.slots},
          {"leaving", core_.faults.Leaving()}};
}

}  // namespace slatestall
