#pragma once

#include <string>
#include <string_view>

namespace slatestall {

enum class front_call {
  kUnknown,
  kRunPipeline,
  kCallService,
  kMintKey,
  kKeyState,
  kHealth,
  kReadiness,
  kMetrics,
  kAdmin,
};

/// @brief What a method and path ask for.
struct front_route {
  front_call call = front_call::kUnknown;
  std::string workspace;
  std::string name;  ///< Pipeline or service.
};

front_route RouteOf(std::string_view method, std::string_view path);

}  // namespace slatestall
