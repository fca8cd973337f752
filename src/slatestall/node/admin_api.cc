#include "slatestall/node/admin_api.h"

#include <algorithm>
#include <array>
#include <exception>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "slatestall/config/pipeline_file.h"
#include "slatestall/model/error_kind.h"
#include "slatestall/model/name_table.h"
#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/v1/admin/";
constexpr std::string_view kExplain = "explain/";

struct publish_answer {
  publish_end end;
  int status;
  std::string_view outcome;
};

constexpr std::array<publish_answer, 4> kPublishAnswers{{
    {publish_end::kAccepted, 200, "accepted"},
    {publish_end::kRefused, 409, "refused"},
    {publish_end::kUnknown, 504, "unknown"},
    {publish_end::kNotPublished, 503, "not-published"},
}};

admin_answer Problem(error_kind kind, const std::string& detail) {
  const auto& row = AnswerFor(kind);
  const json body{{"type", "urn:slatestall:error:" + std::string(row.name)},
                  {"title", row.title},
                  {"status", row.http_status},
                  {"detail", detail}};
  return {row.http_status, body.dump()};
}

json HostJson(const host_status& host, config_revision newest) {
  return {{"name", host.host.name},
          {"peer_address", host.peer_address},
          {"http_address", host.http_address},
          {"revision", host.revision},
          {"since_ms", host.since.count()},
          {"draining", host.draining},
          {"reachable", host.reachable},
          {"behind", host.revision < newest}};
}

config_revision NewestOf(const system_status& status) {
  config_revision newest = status.self.revision;
  for (const auto& host : status.hosts) {
    newest = std::max(newest, host.revision);
  }
  return newest;
}

admin_answer StatusAnswer(const system_status& status) {
  json hosts = json::array();
  const auto newest = NewestOf(status);
  for (const auto& host : status.hosts) {
    hosts.push_back(HostJson(host, newest));
  }
  json endpoints = json::object();
  for (const auto& service : status.services) {
    endpoints[service.name] = {{"known", service.known},
                               {"leaving", service.leaving},
                               {"reporting", service.reporting}};
  }
  const json body{{"host", status.self.host.name},
                  {"incarnation", status.self.host.incarnation},
                  {"revision", status.self.revision},
                  {"since_ms", status.self.since.count()},
                  {"draining", status.self.draining},
                  {"hosts", hosts},
                  {"endpoints", endpoints},
                  {"log",
                   {{"reachable", status.log_reachable},
                    {"trust", NameIn(kLogTrustNames, status.trust)}}}};
  return {200, body.dump()};
}

admin_answer PublishAnswer(const publish_result& result) {
  const auto& row = *std::find_if(
      kPublishAnswers.begin(), kPublishAnswers.end(),
      [&result](const auto& answer) { return answer.end == result.end; });
  json body{{"outcome", row.outcome}, {"revision", result.revision}};
  if (!result.detail.empty()) {
    body["detail"] = result.detail;
  }
  return {row.status, body.dump()};
}

admin_answer InvalidAnswer(const std::vector<config_problem>& problems) {
  json list = json::array();
  for (const auto& problem : problems) {
    list.push_back({{"file", problem.file},
                    {"line", problem.line},
                    {"column", problem.column},
                    {"path", problem.path},
                    {"message", problem.message}});
  }
  return {422, json{{"outcome", "invalid"}, {"problems", list}}.dump()};
}

struct publish_body {
  config_revision base = 0;
  std::string source;
  std::string file;
};

publish_body ReadPublishBody(const std::string& text) {
  const auto body = ParseJsonOrThrow(text);
  publish_body read;
  if (!body.at("base").is_number_unsigned()) {
    throw std::invalid_argument("\"base\" must be a revision");
  }
  read.base = body.at("base").get<config_revision>();
  read.source = body.at("source").get<std::string>();
  read.file = body.value("file", "configuration");
  return read;
}

void Publish(const admin_actions& actions, const http_request& request,
             const admin_reply& reply) {
  publish_body body;
  try {
    body = ReadPublishBody(request.body);
  } catch (const std::exception& error) {
    reply(Problem(error_kind::kInvalidRequest, error.what()));
    return;
  }
  const auto parsed = ParseConfiguration(body.source, body.file);
  if (!parsed.Ok()) {
    reply(InvalidAnswer(parsed.problems));
    return;
  }
  actions.publish(
      body.base, std::move(body.source),
      [reply](const publish_result& result) { reply(PublishAnswer(result)); });
}

admin_answer ConfigurationAnswer(const accepted_configuration_ptr& accepted) {
  if (!accepted) {
    return Problem(error_kind::kNoConfiguration, "nothing is published yet");
  }
  return {200,
          json{{"revision", accepted->revision}, {"source", accepted->source}}
              .dump()};
}

admin_answer ExplainAnswer(const admin_actions& actions,
                           const std::string& request) {
  auto trace = actions.explain(request);
  if (trace.empty()) {
    return Problem(error_kind::kNotFound,
                   "this host keeps no trace of the request; ask the host "
                   "that its id begins with");
  }
  return {200, std::move(trace)};
}

}  // namespace

admin_answer UnauthorizedAnswer() {
  return Problem(error_kind::kUnauthorized,
                 "send an operator's key: Authorization: Bearer KEY");
}

void HandleAdmin(const admin_actions& actions, const http_request& request,
                 const admin_reply& reply) {
  if (request.path.rfind(kPrefix, 0) != 0) {
    reply(Problem(error_kind::kNotFound, "no such path: " + request.path));
    return;
  }
  const std::string call =
      request.method + " " + request.path.substr(kPrefix.size());
  if (call == "GET status") {
    actions.status(
        [reply](const system_status& status) { reply(StatusAnswer(status)); });
  } else if (call == "POST config") {
    Publish(actions, request, reply);
  } else if (call == "GET config") {
    reply(ConfigurationAnswer(actions.configuration()));
  } else if (call == "POST drain") {
    reply({202, R"({"draining":true})"});
    actions.drain();
  } else if (call == "GET report") {
    reply({200, actions.report()});
  } else if (call.rfind("GET " + std::string(kExplain), 0) == 0) {
    reply(ExplainAnswer(actions, call.substr(4 + kExplain.size())));
  } else {
    reply(Problem(error_kind::kNotFound, "no such call: " + request.path));
  }
}

}  // namespace slatestall
