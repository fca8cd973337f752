#include "slatestall/config/configuration_checks.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "slatestall/config/nearest_name.h"
#include "slatestall/config/stage_checks.h"
#include "slatestall/config/value_text.h"

namespace slatestall {
namespace {

constexpr std::size_t kFewestStages = 3;
constexpr std::size_t kMostStages = 6;

std::string Indexed(const std::string& path, std::size_t index) {
  return path + "[" + std::to_string(index) + "]";
}

class configuration_checker {
 public:
  configuration_checker(const configuration& content, problem_sink& problems)
      : content_(content), problems_(problems) {}

  void Check() {
    for (const auto& [name, service] : content_.services) {
      CheckService(service, "services." + name);
    }
    for (const auto& [name, pipeline] : content_.pipelines) {
      CheckPipeline(pipeline, "pipelines." + name);
    }
    for (const auto& [name, workspace] : content_.workspaces) {
      CheckWorkspace(workspace, "workspaces." + name);
    }
    CheckNotEmpty();
  }

 private:
  void CheckNotEmpty() {
    if (!problems_.Sound("")) {
      return;
    }
    if (content_.services.empty() && problems_.Sound("services")) {
      problems_.Add("services", "no service is defined");
    }
    if (content_.workspaces.empty() && problems_.Sound("workspaces")) {
      problems_.Add("workspaces",
                    "no workspace is defined: nobody could call anything");
    }
  }

  void CheckService(const service_config& service, const std::string& path) {
    const std::string list = path + ".endpoints";
    if (service.from_host_list && !service.endpoints.empty()) {
      problems_.Add(list, "has both 'endpoints' and 'from'; choose one");
    }
    const bool has_none = !service.from_host_list && service.endpoints.empty();
    if (has_none && problems_.Sound(list) && problems_.Sound(path + ".from") &&
        problems_.Sound(path)) {
      problems_.Add(list, "no endpoints: list them or write 'from: host-list'");
    }
    for (std::size_t i = 0; i < service.endpoints.size(); ++i) {
      CheckAddress(service.endpoints[i].address, Indexed(list, i) + ".address");
    }
  }

  void CheckAddress(const std::string& address, const std::string& path) {
    if (address.empty()) {
      return;
    }
    const auto [first, is_new] = addresses_.emplace(address, path);
    if (!is_new) {
      problems_.Add(path, "duplicate address " + Quoted(address) +
                              ", first at " + first->second);
    }
  }

  void CheckPipeline(const pipeline_config& pipeline, const std::string& path) {
    const std::string list = path + ".stages";
    const std::size_t count = pipeline.stages.size();
    if ((count < kFewestStages || count > kMostStages) &&
        problems_.Sound(list) && problems_.Sound(path)) {
      problems_.Add(list, "has " + std::to_string(count) +
                              " stages; a pipeline has " +
                              std::to_string(kFewestStages) + " to " +
                              std::to_string(kMostStages));
    }
    if (content_.services.contains(pipeline.name)) {
      problems_.Add(path,
                    "a service has this name too; routes could not tell "
                    "them apart");
    }
    CheckStageNames(pipeline, list);
    for (std::size_t i = 0; i < count; ++i) {
      CheckStage(content_, pipeline, i, Indexed(list, i), problems_);
    }
  }

  void CheckStageNames(const pipeline_config& pipeline,
                       const std::string& list) {
    std::map<std::string, std::size_t> first;
    for (std::size_t i = 0; i < pipeline.stages.size(); ++i) {
      const std::string& name = pipeline.stages[i].name;
      const auto [earlier, is_new] = first.emplace(name, i);
      if (!is_new && !name.empty()) {
        problems_.Add(Indexed(list, i) + ".name",
                      "duplicate name " + Quoted(name) + ", first in stage " +
                          std::to_string(earlier->second));
      }
    }
  }

  void CheckWorkspace(const workspace_config& workspace,
                      const std::string& path) {
    for (std::size_t i = 0; i < workspace.key_hashes.size(); ++i) {
      CheckKey(workspace.key_hashes[i], Indexed(path + ".key_hashes", i));
    }
    for (std::size_t i = 0; i < workspace.routes.size(); ++i) {
      CheckRoute(workspace.routes[i], Indexed(path + ".routes", i));
    }
  }

  // One key in two workspaces would let either read and spend what belongs to
  // the other.
  void CheckKey(const std::string& hash, const std::string& path) {
    const auto [first, is_new] = keys_.emplace(hash, path);
    if (!is_new) {
      problems_.Add(path,
                    "another workspace has this key too, at " + first->second);
    }
  }

  void CheckRoute(const std::string& route, const std::string& path) {
    if (content_.pipelines.contains(route)) {
      return;
    }
    const auto service = content_.services.find(route);
    if (service == content_.services.end()) {
      problems_.Add(path, "no pipeline or service is called " + Quoted(route) +
                              Suggestion(route, RouteNames()));
      return;
    }
    const bool kind_known = problems_.Sound("services." + route + ".kind") &&
                            problems_.Sound("services." + route);
    if (kind_known && service->second.kind != service_kind::kPlain) {
      problems_.Add(path, "the service " + Quoted(route) + " is of kind " +
                              std::string(NameIn(kServiceKindNames,
                                                 service->second.kind)) +
                              "; only plain services are called directly");
    }
  }

  std::vector<std::string> RouteNames() const {
    std::vector<std::string> names;
    for (const auto& [name, pipeline] : content_.pipelines) {
      names.push_back(name);
    }
    for (const auto& [name, service] : content_.services) {
      if (service.kind == service_kind::kPlain) {
        names.push_back(name);
      }
    }
    return names;
  }

  const configuration& content_;
  problem_sink& problems_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::string> keys_;
};

}  // namespace

void CheckConfiguration(const configuration& content, problem_sink& problems) {
  configuration_checker(content, problems).Check();
}

}  // namespace slatestall
