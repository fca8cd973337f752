#include "standins/platform/host_table.h"

#include <stdexcept>

namespace slatestall {
namespace {

void CheckLine(const nlohmann::json& line) {
  for (const char* field : {"service", "name", "address", "failure_domain"}) {
    if (!line.is_object() || !line.contains(field) ||
        !line[field].is_string()) {
      throw std::invalid_argument(std::string(field) + " is missing");
    }
  }
  const std::string state = line.value("state", "live");
  if (state != "live" && state != "leaving" && state != "gone") {
    throw std::invalid_argument("unknown state " + state);
  }
}

}  // namespace

void host_table::Change(const nlohmann::json& line, time_point now) {
  CheckLine(line);
  nlohmann::json kept = line;
  kept["state"] = line.value("state", "live");
  pending_.push_back({now + lag_, std::move(kept)});
}

nlohmann::json host_table::Visible(time_point now) {
  while (!pending_.empty() && pending_.front().due <= now) {
    Apply(pending_.front().line);
    pending_.pop_front();
  }
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& [key, line] : lines_) {
    hosts.push_back(line);
  }
  return {{"hosts", hosts}};
}

void host_table::Apply(const nlohmann::json& line) {
  const line_key key{line["service"], line["name"]};
  if (line["state"] == "gone") {
    lines_.erase(key);
  } else {
    lines_[key] = line;
  }
}

}  // namespace slatestall
