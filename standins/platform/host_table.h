#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief The platform's list of hosts; changes show after a lag.
class host_table {
 public:
  explicit host_table(milliseconds lag) : lag_(lag) {}

  /// @brief Takes `{"service", "name", "address", "http_address",
  /// "failure_domain", "state"}`; state "gone" removes the line.
  /// @throws std::invalid_argument where a field is missing or wrong.
  void Change(const nlohmann::json& line, time_point now);

  /// @brief Holds for changes from now on; none overtakes an earlier one.
  void SetLag(milliseconds lag) { lag_ = lag; }

  nlohmann::json Visible(time_point now);

 private:
  using line_key = std::pair<std::string, std::string>;
  struct pending_change {
    time_point due;
    nlohmann::json line;
  };

  void Apply(const nlohmann::json& line);

  milliseconds lag_;
  std::deque<pending_change> pending_;
  std::map<line_key, nlohmann::json> lines_;
};

}  // namespace slatestall
