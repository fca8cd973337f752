#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief One call of a host's operators' interface.
struct admin_call {
  std::string method = "GET";
  std::string host;  ///< "http://IP:port".
  std::string path;  ///< "/v1/admin/...".
  std::string body;
  milliseconds timeout{5000};
};

struct admin_answer {
  bool answered = false;  ///< A whole answer with a JSON object, of any status.
  /// False only where no byte of the call can have left.
  bool may_have_been_sent = false;
  int status = 0;
  nlohmann::json body;
  std::string detail;  ///< Why it was not answered.
};

/// @brief Runs calls side by side and returns the answers in their order.
using send_admin_calls =
    std::function<std::vector<admin_answer>(const std::vector<admin_call>&)>;

/// @brief `send_admin_calls` over HTTP.
std::vector<admin_answer> SendOverHttp(const std::vector<admin_call>& calls);

admin_answer SendOne(const send_admin_calls& send, const admin_call& call);

/// @brief "detail" of a problem answer, else its status.
std::string DetailOf(const admin_answer& answer);

}  // namespace slatestall
