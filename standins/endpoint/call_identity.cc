#include "standins/endpoint/call_identity.h"

#include <stdexcept>

namespace slatestall {

call_identity IdentityOf(const http_request& request) {
  call_identity identity;
  identity.attempt = FindHeader(request.headers, "X-Attempt-Id");
  if (identity.attempt.empty()) {
    throw std::invalid_argument("X-Attempt-Id is missing");
  }
  identity.request = FindHeader(request.headers, "X-Request-Id");
  const std::size_t attempt = identity.attempt.rfind('/');
  const std::size_t stage = attempt == std::string::npos || attempt == 0
                                ? std::string::npos
                                : identity.attempt.rfind('/', attempt - 1);
  if (stage != std::string::npos) {
    identity.stage = identity.attempt.substr(stage + 1, attempt - stage - 1);
  }
  identity.interactive = FindHeader(request.headers, "X-Priority") != "batch";
  return identity;
}

}  // namespace slatestall
