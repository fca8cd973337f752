#include "slatestall/serve/front_route.h"

#include <algorithm>
#include <vector>

namespace slatestall {
namespace {

constexpr std::string_view kAdminPrefix = "/v1/admin/";

std::vector<std::string_view> Segments(std::string_view path) {
  std::vector<std::string_view> segments;
  while (path.starts_with('/')) {
    path.remove_prefix(1);
    const std::size_t end = std::min(path.find('/'), path.size());
    segments.push_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return segments;
}

front_call FixedCall(std::string_view path) {
  if (path == "/healthz") {
    return front_call::kHealth;
  }
  if (path == "/readyz") {
    return front_call::kReadiness;
  }
  if (path == "/metrics") {
    return front_call::kMetrics;
  }
  return front_call::kUnknown;
}

front_call WorkspaceCall(std::string_view method,
                         const std::vector<std::string_view>& segments) {
  const bool named = segments.size() == 5 && !segments[4].empty();
  const bool unnamed = segments.size() == 4;
  if (method == "POST" && named && segments[3] == "pipelines") {
    return front_call::kRunPipeline;
  }
  if (method == "POST" && named && segments[3] == "services") {
    return front_call::kCallService;
  }
  if (method == "POST" && unnamed && segments[3] == "keys") {
    return front_call::kMintKey;
  }
  if (method == "GET" && unnamed && segments[3] == "requests") {
    return front_call::kKeyState;
  }
  return front_call::kUnknown;
}

}  // namespace

front_route RouteOf(std::string_view method, std::string_view path) {
  if (path.starts_with(kAdminPrefix)) {
    return {front_call::kAdmin, {}, {}};
  }
  if (method == "GET" && FixedCall(path) != front_call::kUnknown) {
    return {FixedCall(path), {}, {}};
  }
  const auto segments = Segments(path);
  if (segments.size() < 4 || segments[0] != "v1" ||
      segments[1] != "workspaces" || segments[2].empty()) {
    return {};
  }
  const front_call call = WorkspaceCall(method, segments);
  return {call, std::string(segments[2]),
          segments.size() == 5 ? std::string(segments[4]) : std::string()};
}

}  // namespace slatestall
