#include "slatestall/serve/workspace_auth.h"

#include <algorithm>
#include <string_view>

#include "slatestall/model/sha256.h"

namespace slatestall {
namespace {

constexpr std::string_view kBearer = "Bearer ";

/// Takes equally long wherever the first difference is: an early return would
/// tell a guesser, hash digit by hash digit, how much of a guess is right.
bool EqualInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^
                  static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace

bool HoldsKey(const std::vector<std::string>& key_hashes,
              const http_headers& headers) {
  std::string_view credentials = FindHeader(headers, "Authorization");
  if (!credentials.starts_with(kBearer)) {
    return false;
  }
  credentials.remove_prefix(kBearer.size());
  const std::string hash = Sha256Hex(credentials);
  bool matches = false;
  for (const std::string& each : key_hashes) {
    matches = EqualInConstantTime(hash, each) || matches;
  }
  return matches;
}

bool IsAuthorized(const workspace_config& workspace,
                  const http_headers& headers) {
  return workspace.key_hashes.empty() ||
         HoldsKey(workspace.key_hashes, headers);
}

bool HasRoute(const workspace_config& workspace, const std::string& name) {
  return std::find(workspace.routes.begin(), workspace.routes.end(), name) !=
         workspace.routes.end();
}

}  // namespace slatestall
