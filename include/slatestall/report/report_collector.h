#pragma once

#include <memory>
#include <optional>
#include <string>

#include "slatestall/model/error_kind.h"
#include "slatestall/model/priority_class.h"
#include "slatestall/model/stage_usage.h"
#include "slatestall/model/time.h"
#include "slatestall/report/report_data.h"

namespace slatestall {

/// @brief One request that ended, as its caller saw it.
/// @ingroup report
struct request_record {
  std::string workspace;
  std::string route;  ///< Pipeline or plain service.
  priority_class priority = priority_class::kInteractive;
  /// Share of requests to be attained; of the pipeline. Kept as last seen.
  double objective = 0.99;
  duration deadline{};  ///< Allowed from arrival to the last byte.
  duration latency{};   ///< From arrival to the last byte of the answer.
  std::optional<error_kind> error;  ///< Nothing: answered in full.
  time_point ended{};
};

/// @brief How a record counts towards the service level.
request_outcome OutcomeOf(const request_record& record);

/// @brief Counts requests and usage on one traffic thread; `Snapshot` may be
/// called from any thread.
class report_collector {
 public:
  explicit report_collector(time_point started);
  ~report_collector();
  report_collector(const report_collector&) = delete;
  report_collector& operator=(const report_collector&) = delete;

  void RecordRequest(const request_record& record);
  void RecordUsage(const stage_usage& usage);

  /// @brief The counts so far, windows ending at `now`.
  report_data Snapshot(time_point now) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
