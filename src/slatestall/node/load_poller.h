#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "slatestall/http/http_client.h"
#include "slatestall/model/load_report.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Reads the body of GET /load; nothing where it is none.
std::optional<load_report> LoadReportOf(const std::string& body,
                                        time_point received);

/// @brief Asks endpoints for their load in turn, spread evenly over time.
class load_poller {
 public:
  using load_handler =
      std::function<void(const std::string& address, load_report load)>;

  /// @param client Outlives the poller.
  load_poller(asio::io_context& context, http_client& client, now_function now,
              load_handler on_load);
  ~load_poller();
  load_poller(const load_poller&) = delete;
  load_poller& operator=(const load_poller&) = delete;

  /// @brief Replaces what is polled.
  /// @param interval Between two polls of one endpoint.
  void SetTargets(const std::set<std::string>& addresses,
                  milliseconds interval);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
