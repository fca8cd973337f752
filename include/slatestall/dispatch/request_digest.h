#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief What two requests have in common where an endpoint cannot tell them
/// apart.
/// @ingroup dispatch
struct request_content {
  std::string_view host;  ///< As routes name it.
  std::string_view method;
  std::string_view target;
  std::string_view workspace;  ///< Empty where the route needs no key.
  std::string_view body;
};

/// @brief Hash of what requests have in common that may crash endpoints: their
/// whole content, or a part of their prompts. The same on all hosts.
using request_digest = std::uint64_t;

request_digest DigestOf(const request_content& content);
/// @param part Id of a part of a prompt.
request_digest DigestOfPart(std::string_view part);
bool IsOfPart(request_digest digest);

/// @brief For logs and records: 16 hexadecimal digits.
std::string DigestText(request_digest digest);
std::optional<request_digest> DigestIn(std::string_view text);

}  // namespace slatestall
