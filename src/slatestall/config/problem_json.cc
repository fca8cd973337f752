#include "slatestall/config/problem_json.h"

#include <nlohmann/json.hpp>

namespace slatestall {

nlohmann::json ProblemsToJson(const std::vector<config_problem>& problems) {
  nlohmann::json list = nlohmann::json::array();
  for (const config_problem& problem : problems) {
    list.push_back({{"file", problem.file},
                    {"line", problem.line},
                    {"column", problem.column},
                    {"path", problem.path},
                    {"message", problem.message}});
  }
  return list;
}

std::vector<config_problem> ProblemsFromJson(const nlohmann::json& json) {
  std::vector<config_problem> problems;
  problems.reserve(json.size());
  for (const nlohmann::json& item : json) {
    problems.push_back(
        {item.at("file").get<std::string>(), item.at("line").get<int>(),
         item.at("column").get<int>(), item.at("path").get<std::string>(),
         item.at("message").get<std::string>()});
  }
  return problems;
}

}  // namespace slatestall
