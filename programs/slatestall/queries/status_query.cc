#include <memory>

#include "slatestall/console.h"
#include "slatestall/host_option.h"
#include "slatestall/subcommands.h"
#include "slatestall/system_view.h"

namespace slatestall {
namespace {

struct status_options {
  std::string host;
  bool json = false;
};

std::string StateOf(const host_view& host) {
  if (host.Gone()) {
    return "gone after a drain";
  }
  if (!host.reachable) {
    return "unreachable";
  }
  if (host.draining) {
    return host.behind ? "draining, behind" : "draining";
  }
  return host.behind ? "behind" : "ok";
}

std::string HostTable(const system_view& view) {
  std::vector<std::vector<std::string>> rows{
      {"HOST", "REVISION", "SINCE", "STATE"}};
  for (const host_view& host : view.hosts) {
    rows.push_back(
        {host.name, host.reachable ? std::to_string(host.revision) : "?",
         host.reachable ? ShortDuration(host.since) : "?", StateOf(host)});
  }
  return TextTable(rows);
}

std::string EndpointTable(const system_view& view) {
  std::vector<std::vector<std::string>> rows{
      {"SERVICE", "ENDPOINTS", "LEAVING", "REPORTING"}};
  for (const auto& [service, counts] : view.endpoints.items()) {
    rows.push_back({service, std::to_string(counts.value("known", 0)),
                    std::to_string(counts.value("leaving", 0)),
                    std::to_string(counts.value("reporting", 0))});
  }
  return TextTable(rows);
}

bool AllWell(const system_view& view) {
  bool well = view.log_reachable;
  for (const host_view& host : view.hosts) {
    well = well && (host.Gone() || (host.reachable && !host.behind));
  }
  return well;
}

void Show(const system_view& view) {
  Print(HostTable(view));
  Print(EndpointTable(view));
  const std::string trust =
      view.log_trust.empty() ? "" : " (" + view.log_trust + ")";
  Print((view.log_reachable ? "log: reachable" : "log: NOT REACHABLE") + trust);
}

exit_code RunStatus(const status_options& options) {
  admin_call call;
  call.host = options.host;
  call.path = "/v1/admin/status";
  const admin_answer answer = SendOverHttp({call}).front();
  if (!answer.answered || answer.status != 200) {
    PrintError(options.host + ": " + DetailOf(answer));
    return answer.answered ? exit_code::kNegative : exit_code::kUnreachable;
  }
  const system_view view = SystemViewFrom(answer.body);
  if (options.json) {
    PrintJson(answer.body);
  } else {
    Show(view);
  }
  return AllWell(view) ? exit_code::kOk : exit_code::kNegative;
}

}  // namespace

void AddStatus(CLI::App& app, exit_code& result) {
  auto options = std::make_shared<status_options>();
  CLI::App* command = app.add_subcommand(
      "status",
      "Show each host: revision in force, since when, and whether it "
      "is behind or unreachable");
  AddHostOption(*command, options->host);
  command->add_flag("--json", options->json, "Answer in JSON");
  command->footer(kExitCodeHelp);
  command->callback([options, &result] { result = RunStatus(*options); });
}

}  // namespace slatestall
