#include "slatestall/serve/request_front.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/http/uri.h"
#include "slatestall/model/error_kind.h"
#include "slatestall/serve/caller_request.h"
#include "slatestall/serve/json_read.h"
#include "slatestall/serve/lane_metrics.h"
#include "slatestall/serve/problem.h"
#include "slatestall/serve/repeatability.h"
#include "slatestall/serve/workspace_auth.h"

namespace slatestall {
namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kUnavailable = 503;

void SendText(http_responder& responder, int status, std::string text) {
  responder.Send(status, {{"Content-Type", "text/plain; charset=utf-8"}},
                 std::move(text));
}

void SendProblem(http_responder& responder, const problem& failure) {
  responder.Send(StatusOf(failure), ProblemHeaders(failure),
                 ProblemAsJson(failure));
}

[[noreturn]] void ThrowNotFound(const std::string& detail) {
  throw request_error(error_kind::kNotFound, detail);
}

/// A plain service called directly runs as a pipeline of one stage.
std::shared_ptr<const pipeline_config> PipelineOf(const service_config& service,
                                                  milliseconds deadline) {
  auto pipeline = std::make_shared<pipeline_config>();
  pipeline->name = service.name;
  pipeline->deadline = deadline;
  stage_config stage;
  stage.name = service.name;
  stage.service = service.name;
  pipeline->stages.push_back(std::move(stage));
  return pipeline;
}

}  // namespace

request_front::request_front(const lane_environment& environment,
                             const host_id& host, unsigned lane)
    : environment_(environment),
      ids_(host, lane),
      snapshot_(std::make_shared<control_snapshot>()),
      key_queries_(environment) {}

void request_front::UseSnapshot(control_snapshot_ptr snapshot) {
  snapshot_ = std::move(snapshot);
}

void request_front::Handle(const http_request& request,
                           const http_responder_ptr& responder) {
  try {
    Serve(RouteOf(request.method, request.path), request, responder);
  } catch (const request_error& error) {
    environment_.counters.Count(lane_event::kRefused);
    const auto failure = UnsentProblem(error.Kind(), error.what(),
                                       ids_.Next().text, error.RetryAfter());
    const bool has_key =
        !FindHeader(request.headers, "Idempotency-Key").empty();
    SendProblem(*responder, has_key ? UndecidedProblem(failure) : failure);
  }
}

void request_front::Serve(const front_route& route, const http_request& request,
                          const http_responder_ptr& responder) {
  switch (route.call) {
    case front_call::kHealth:
      return SendText(*responder, kOk, "ok\n");
    case front_call::kReadiness:
      return ServeReadiness(*responder);
    case front_call::kMetrics:
      return ServeMetrics(*responder);
    case front_call::kAdmin:
      if (environment_.hooks.admin) {
        return environment_.hooks.admin(request, responder);
      }
      break;
    case front_call::kUnknown:
      break;
    default:
      return ServeWorkspace(route, request, responder);
  }
  ThrowNotFound("no such path or method");
}

void request_front::ServeReadiness(http_responder& responder) const {
  if (state_ != front_state::kServing || snapshot_->draining) {
    return SendText(responder, kUnavailable, "draining\n");
  }
  if (!snapshot_->configuration) {
    return SendText(responder, kUnavailable, "no configuration\n");
  }
  SendText(responder, kOk, "ready\n");
}

void request_front::ServeMetrics(http_responder& responder) const {
  std::string text = environment_.hooks.metrics
                         ? environment_.hooks.metrics()
                         : LaneMetricsText(environment_.counters);
  responder.Send(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                 std::move(text));
}

void request_front::ServeWorkspace(const front_route& route,
                                   const http_request& request,
                                   const http_responder_ptr& responder) {
  CheckTakesRequests();
  switch (route.call) {
    case front_call::kMintKey:
      return ServeMintedKey(route, request, *responder);
    case front_call::kKeyState:
      return ServeKeyState(route, request, responder);
    default:
      return Begin(route, request, responder);
  }
}

void request_front::ServeMintedKey(const front_route& route,
                                   const http_request& request,
                                   http_responder& responder) const {
  Authorized(route, request);
  const std::string key = environment_.guard->mint_key(route.workspace);
  if (key.empty()) {
    throw request_error(error_kind::kDraining,
                        "this host hands its keys over; ask another");
  }
  const nlohmann::json body = {{"key", key}};
  responder.Send(kCreated, {{"Content-Type", "application/json"}},
                 DumpJson(body));
}

void request_front::CheckTakesRequests() const {
  if (state_ == front_state::kClosed) {
    throw request_error(error_kind::kDraining,
                        "this host is about to go; send it to another");
  }
  if (!snapshot_->configuration) {
    throw request_error(error_kind::kNoConfiguration,
                        "this host has not yet got a configuration");
  }
}

const workspace_config& request_front::Authorized(
    const front_route& route, const http_request& request) const {
  const auto& workspaces = snapshot_->configuration->content.workspaces;
  const auto found = workspaces.find(route.workspace);
  if (found == workspaces.end()) {
    ThrowNotFound("no workspace \"" + route.workspace + "\"");
  }
  if (!IsAuthorized(found->second, request.headers)) {
    throw request_error(error_kind::kUnauthorized,
                        "the workspace's key is missing or wrong");
  }
  return found->second;
}

void request_front::ServeKeyState(const front_route& route,
                                  const http_request& request,
                                  const http_responder_ptr& responder) {
  Authorized(route, request);
  const auto key = QueryValue(request.query, "key");
  if (!key || !IsIdempotencyKey(*key)) {
    throw request_error(error_kind::kInvalidRequest,
                        "the query parameter \"key\" is missing or malformed");
  }
  key_queries_.Ask(route.workspace, *key, responder);
}

std::shared_ptr<const pipeline_config> request_front::Target(
    const front_route& route, const workspace_config& workspace) const {
  const accepted_configuration_ptr& accepted = snapshot_->configuration;
  const configuration& content = accepted->content;
  if (!HasRoute(workspace, route.name)) {
    ThrowNotFound("workspace \"" + route.workspace + "\" has no route to \"" +
                  route.name + "\"");
  }
  if (route.call == front_call::kRunPipeline) {
    const auto found = content.pipelines.find(route.name);
    if (found == content.pipelines.end()) {
      ThrowNotFound("no pipeline \"" + route.name + "\"");
    }
    // Shares the configuration's life: a new one may come into force while
    // the request runs.
    return {accepted, &found->second};
  }
  const auto found = content.services.find(route.name);
  if (found == content.services.end() ||
      found->second.kind != service_kind::kPlain) {
    ThrowNotFound("no plain service \"" + route.name + "\"");
  }
  return PipelineOf(found->second, environment_.options.service_deadline);
}

flow_spec request_front::Flow(const front_route& route,
                              const http_request& request) const {
  const workspace_config& workspace = Authorized(route, request);
  flow_spec flow;
  flow.workspace = route.workspace;
  flow.configuration = snapshot_->configuration;
  flow.pipeline = Target(route, workspace);
  flow.request = route.call == front_call::kRunPipeline
                     ? ReadPipelineRequest(request)
                     : ReadServiceRequest(request);
  const bool needs_key = NeedsKey(flow.configuration->content, *flow.pipeline);
  if (needs_key && !flow.request.key) {
    throw request_error(error_kind::kKeyRequired,
                        "send an Idempotency-Key; POST /v1/workspaces/" +
                            route.workspace + "/keys gives one");
  }
  flow.arrived = environment_.now();
  const milliseconds allowed = flow.pipeline->deadline;
  flow.deadline =
      flow.arrived + std::min(flow.request.deadline.value_or(allowed), allowed);
  if (needs_key) {
    flow.keyed = keyed_request{route.workspace,
                               *flow.request.key,
                               BodyHash(request.path, request.body),
                               {},
                               flow.deadline};
  }
  return flow;
}

void request_front::Begin(const front_route& route, const http_request& request,
                          const http_responder_ptr& responder) {
  flow_spec flow = Flow(route, request);
  flow.id = ids_.Next();
  if (flow.keyed) {
    flow.keyed->id = flow.id;
  }
  environment_.counters.Count(lane_event::kRequest);
  const std::string id = flow.id.text;
  const auto started =
      std::make_shared<request_flow>(environment_, std::move(flow), responder,
                                     [this](const request_id& ended) {
                                       flows_.erase(ended.text);
                                       --in_hand_;
                                     });
  flows_.emplace(id, started);
  ++in_hand_;
  started->Start();
}

}  // namespace slatestall
