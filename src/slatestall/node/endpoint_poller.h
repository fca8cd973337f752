#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "slatestall/http/http_client.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What is asked of endpoints and who takes the answers.
struct endpoint_poller_hooks {
  /// Path and query to GET from an endpoint.
  std::function<std::string(const std::string& address)> path;
  /// Takes the body of an answer of status 200.
  std::function<void(const std::string& address, const std::string& body)>
      on_answer;
};

/// @brief Asks endpoints the same thing in turn, spread evenly over time.
class endpoint_poller {
 public:
  /// @param client Outlives the poller.
  endpoint_poller(asio::io_context& context, http_client& client,
                  now_function now, endpoint_poller_hooks hooks);
  ~endpoint_poller();
  endpoint_poller(const endpoint_poller&) = delete;
  endpoint_poller& operator=(const endpoint_poller&) = delete;

  /// @brief Replaces what is polled.
  /// @param interval Between two polls of one endpoint.
  void SetTargets(const std::set<std::string>& addresses,
                  milliseconds interval);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
