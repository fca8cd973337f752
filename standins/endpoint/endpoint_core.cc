#include "standins/endpoint/endpoint_core.h"

#include <utility>

#include "slatestall/model/ids.h"
#include "standins/common/json_http.h"

namespace slatestall {
namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{8} << 20U;

std::string SpecText(const endpoint_spec& spec) {
  return std::string(NameIn(kServiceKindNames, spec.kind)) + ":" +
         spec.listen.ip + ":" + std::to_string(spec.listen.port) + ":" +
         spec.failure_domain;
}

/// Keeps the connection open without an answer until the caller closes it.
void Hang(const http_responder_ptr& responder) {
  responder->OnClosed([responder] {});
}

}  // namespace

endpoint_core::endpoint_core(asio::io_context& event_loop,
                             const endpoint_spec& served,
                             const endpoint_options& behaviour,
                             std::shared_ptr<ledger_file> file)
    : context(event_loop),
      spec(served),
      options(behaviour),
      runs(SpecText(served), NameIn(kServiceKindNames, served.kind),
           std::move(file)),
      faults(StableHash(SpecText(served), behaviour.seed)) {}

http_server_options ServerOptionsOf(const endpoint_spec& spec) {
  http_server_options options;
  options.address = spec.listen.ip;
  options.port = spec.listen.port;
  options.max_body_bytes = kMaxBodyBytes;
  return options;
}

bool AnswerControlCall(endpoint_core& core, const http_request& request,
                       http_responder& responder) {
  if (request.path == "/faults" && request.method == "POST") {
    core.faults.Change(JsonBody(request));
    SendJson(responder, 200, nlohmann::json::object());
    return true;
  }
  if (request.path == "/ledger") {
    SendJson(responder, 200, core.runs.Report());
    return true;
  }
  return false;
}

bool EndBeforeWork(endpoint_core& core, fault_mode fault,
                   const call_identity& call,
                   const http_responder_ptr& responder) {
  switch (fault) {
    case fault_mode::kHang:
      Hang(responder);
      return true;
    case fault_mode::kDropBefore:
      responder->Abort();
      return true;
    case fault_mode::kError:
      SendJson(*responder, 500, {{"error", "set to fail"}},
               {{"X-Attempt-Id", call.attempt}});
      return true;
    case fault_mode::kLeaving:
      RefuseNotRun(core, 503, call, *responder, {{"X-Leaving", "1"}});
      return true;
    case fault_mode::kRefuse:
      RefuseNotRun(core, 429, call, *responder);
      return true;
    default:
      return false;
  }
}

void RefuseNotRun(endpoint_core& core, int status, const call_identity& call,
                  http_responder& responder, http_headers extra) {
  core.runs.Refused();
  extra.push_back({"X-Not-Run", "1"});
  extra.push_back({"X-Attempt-Id", call.attempt});
  SendJson(responder, status, {{"error", "not run"}}, std::move(extra));
}

}  // namespace slatestall
