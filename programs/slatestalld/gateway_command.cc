#include "slatestalld/gateway_command.h"

#include <cstdlib>
#include <iostream>

#include "platform/platform_adapter.h"
#include "slatestall/gateway/gateway_host.h"
#include "slatestall/gateway/gateway_settings.h"

namespace slatestall {
namespace {

constexpr int kBadSettings = 2;
constexpr const char* kSettingsVariable = "SLATESTALL_SETTINGS";

}  // namespace

int RunGateway(std::string settings_file, bool check_only) {
  if (settings_file.empty()) {
    const char* named = std::getenv(kSettingsVariable);
    settings_file = named == nullptr ? "" : named;
  }
  const auto loaded = LoadGatewaySettings(settings_file);
  for (const auto& problem : loaded.problems) {
    std::cerr << Describe(problem) << "\n";
  }
  if (!loaded.problems.empty()) {
    return kBadSettings;
  }
  if (check_only) {
    std::cout << "the settings are good\n";
    return 0;
  }
  gateway_host host(loaded.content, MakePlatformAdapter(), settings_file);
  host.Run();
  return 0;
}

}  // namespace slatestall
