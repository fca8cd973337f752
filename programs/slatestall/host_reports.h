#pragma once

#include <string>
#include <vector>

#include "slatestall/admin_client.h"
#include "slatestall/report/report_data.h"

namespace slatestall {

/// @brief Reports of all hosts that could be asked, merged.
struct host_reports {
  report_data merged;
  std::vector<std::string> asked;    ///< Hosts whose figures are in `merged`.
  std::vector<std::string> missing;  ///< "host: why" of each that is not.
};

/// @brief Asks `hosts` for the system's hosts and all of them for their
/// reports, each once.
host_reports CollectReports(const send_admin_calls& send,
                            const std::vector<std::string>& hosts);

}  // namespace slatestall
