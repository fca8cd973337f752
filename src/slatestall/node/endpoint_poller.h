#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "slatestall/http/http_client.h"
#include "slatestall/model/time.h"
#include "slatestall/node/poll_schedule.h"

namespace slatestall {

/// @brief What is asked of endpoints and who takes the answers.
struct endpoint_poller_hooks {
  /// Path and query to GET from an endpoint.
  std::function<std::string(const std::string& address)> path;
  /// Takes an answer of status 200, or of 204: nothing changed.
  std::function<void(const std::string& address, time_point asked,
                     const http_result& answer)>
      on_answer;
};

/// @brief Asks endpoints the same thing as a `poll_schedule` has it. Polls
/// that are due within some 50 ms go together.
class endpoint_poller {
 public:
  /// @param client Outlives the poller.
  endpoint_poller(asio::io_context& context, http_client& client,
                  now_function now, endpoint_poller_hooks hooks);
  ~endpoint_poller();
  endpoint_poller(const endpoint_poller&) = delete;
  endpoint_poller& operator=(const endpoint_poller&) = delete;

  /// @brief Replaces what is polled.
  void SetTargets(const std::map<std::string, poll_reason>& targets,
                  poll_pace pace);
  /// @brief An answer told the endpoint's load, so that no poll need.
  void NoteTold(const std::string& address, time_point when);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
