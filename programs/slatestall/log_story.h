#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace slatestall {

/// @brief One line of a host's log that bears on a request.
struct story_line {
  std::string host;
  std::int64_t ms = 0;  ///< On the host's monotonic clock.
  std::string event;
  nlohmann::json fields;  ///< The rest of the line.
  bool is_own = true;     ///< Names the request; else the host's own affairs.
};

/// @brief What logs tell of one request, in the order of each host's clock.
struct log_story {
  std::vector<story_line> lines;
  std::int64_t arrived_ms = 0;  ///< By the host that took it.
  std::size_t unreadable = 0;   ///< Lines that looked like JSON and were none.
};

/// @brief Collects the lines of hosts' logs and picks those of a request: its
/// own, and what its host noted about itself, the store or homes meanwhile.
class story_reader {
 public:
  explicit story_reader(std::string request) : request_(std::move(request)) {}

  /// @brief Reads a log; whatever stands before the JSON of a line, such as a
  /// collector's time, is passed over.
  void Read(std::istream& log);
  log_story Take();

 private:
  std::string request_;
  std::vector<story_line> own_;
  std::vector<story_line> others_;
  std::size_t unreadable_ = 0;
};

}  // namespace slatestall
