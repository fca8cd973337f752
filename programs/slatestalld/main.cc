#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include "platform/platform_adapter.h"
#include "slatestall/config/config_problem.h"
#include "slatestall/config/settings.h"
#include "slatestall/node/entry_host.h"
#include "slatestall/serve/event_log.h"
#include "slatestalld/gateway_command.h"

namespace slatestall {
namespace {

constexpr int kBadSettings = 2;

constexpr const char* kRecordField = "record_path";
constexpr const char* kRecordFlag = "--record";  ///< Short for its setting.

constexpr const char* kFooter =
    "Settings are taken from the file, then from variables named "
    "SLATESTALL_..., then from the flags; the later wins.\n"
    "SIGTERM and SIGINT begin a graceful shutdown: readiness fails first, "
    "requests in hand are finished, the exit status is 0.\n"
    "\n"
    "Example:\n"
    "  slatestalld --settings /etc/slatestall/settings.yaml\n";

struct command_line {
  settings_sources sources;
  bool check_only = false;
  bool is_gateway = false;
};

void AddGateway(CLI::App& app, command_line& line) {
  auto* gateway = app.add_subcommand(
      "gateway", "Serve on a platform whose store holds routes and endpoints");
  gateway->add_option("--settings", line.sources.file,
                      "Settings file (YAML); else that named by "
                      "SLATESTALL_SETTINGS");
  gateway->add_flag("--check", line.check_only,
                    "Check the settings, say what is wrong and exit");
  gateway->callback([&line] { line.is_gateway = true; });
}

void AddOptions(CLI::App& app, command_line& line) {
  app.add_option("--settings", line.sources.file, "Settings file (YAML)");
  app.add_flag("--check", line.check_only,
               "Check the settings, say what is wrong and exit");
  app.set_version_flag("--version", "slatestalld " SLATESTALL_VERSION);
  app.footer(kFooter);
  for (const auto& setting : SettingsFlags()) {
    const bool is_record = setting.field == kRecordField;
    app.add_option_function<std::string>(
           is_record ? kRecordFlag + ("," + setting.flag) : setting.flag,
           [&line, field = setting.field](const std::string& value) {
             line.sources.flags[field] = value;
           },
           setting.help + " [" + setting.variable + "]")
        ->group("Settings");
  }
}

void Print(const std::vector<config_problem>& problems) {
  for (const auto& problem : problems) {
    std::cerr << Describe(problem) << "\n";
  }
}

int Run(int argc, char** argv) {
  command_line line;
  CLI::App app{"Entry host of slatestall: serves pipelines of model stages"};
  AddOptions(app, line);
  AddGateway(app, line);
  CLI11_PARSE(app, argc, argv);
  if (line.is_gateway) {
    return RunGateway(line.sources.file, line.check_only);
  }

  line.sources.environment = SettingsEnvironment();
  const auto loaded = LoadSettings(line.sources);
  if (!loaded.Ok()) {
    Print(loaded.problems);
    return kBadSettings;
  }
  if (line.check_only) {
    std::cout << "the settings are good\n";
    return 0;
  }
  ConfigureLog(loaded.content.log_level);
  entry_host host(loaded.content, MakePlatformServices(loaded.content));
  std::cout << "slatestalld " << loaded.content.host_name << " port "
            << host.Port() << " peer-port " << host.PeerPort();
  if (host.OperatorPort() != 0) {
    std::cout << " operator-port " << host.OperatorPort();
  }
  std::cout << std::endl;
  host.Run();
  return 0;
}

}  // namespace
}  // namespace slatestall

int main(int argc, char** argv) {
  try {
    return slatestall::Run(argc, argv);
  } catch (const std::exception& problem) {
    std::cerr << "slatestalld: " << problem.what() << "\n";
    return 1;
  }
}
