#include "slatestall/gateway/version_history.h"

namespace slatestall {
namespace {

/// A host that the store does not answer goes by its last list, and may still
/// begin streams at versions that others no longer list.
constexpr std::chrono::minutes kOldestList{10};

}  // namespace

void version_history::Note(const known_endpoint& endpoint, time_point now) {
  services_[endpoint.service][endpoint.version] = now;
}

std::optional<std::string> version_history::Only(const std::string& service,
                                                 duration time,
                                                 time_point now) {
  if (!since_ || now - *since_ < time) {
    return std::nullopt;
  }
  auto& versions = services_[service];
  std::erase_if(versions, [&](const auto& one) {
    return now - one.second > kOldestList + time;
  });
  if (versions.size() != 1) {
    return std::nullopt;
  }
  return versions.begin()->first;
}

}  // namespace slatestall
