#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace slatestall {

/// @brief How a request missed what its route promises.
enum class loss_kind { kLate, kRefused, kFailed };

/// @brief Requests of one route that were lost in one span for one cause.
struct loss_row {
  std::int64_t from_second = 0;  ///< Since the first line of the host's log.
  std::string route;
  loss_kind kind = loss_kind::kLate;
  std::string cause;
  std::size_t requests = 0;
};

/// @brief What logs tell of requests that were late, refused or failed.
struct loss_report {
  std::vector<loss_row> rows;  ///< By span, route, kind and cause.
  /// Requests that were in time, from the sampled lines.
  std::size_t in_time = 0;
  std::size_t dropped = 0;     ///< Lines that hosts left out under load.
  std::size_t unreadable = 0;  ///< Lines that looked like JSON and were none.
};

std::string_view NameOf(loss_kind kind);

/// @brief Sums up where requests were lost and for what cause: which service's
/// wait took most of a late one's time, which stage had no room for a refused
/// one, what broke a failed one off. Callers' own mistakes do not count.
class loss_reader {
 public:
  /// @param span_seconds Of the rows; 0: all in one.
  explicit loss_reader(std::int64_t span_seconds)
      : span_seconds_(span_seconds) {}

  /// @brief Reads a log; whatever stands before the JSON of a line is passed
  /// over.
  void Read(std::istream& log);
  loss_report Take();

 private:
  void TakeLine(const nlohmann::json& line);
  void Note(const nlohmann::json& line, loss_kind kind,
            const std::string& cause);

  std::int64_t span_seconds_;
  std::map<std::string, std::int64_t> first_ms_;  ///< By host.
  /// Service whose booking was refused last, by request; refusals follow.
  std::map<std::string, std::string> refused_at_;
  std::map<std::tuple<std::int64_t, std::string, loss_kind, std::string>,
           std::size_t>
      counts_;
  /// Requests whose stage was refused: the home's line may be in a later log.
  std::vector<nlohmann::json> without_room_;
  loss_report report_;
};

}  // namespace slatestall
