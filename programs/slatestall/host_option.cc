#include "slatestall/host_option.h"

namespace slatestall {
namespace {

constexpr const char* kScheme = "http://";

// CLI11 shows what this returns; an empty text means that the value is fine.
std::string HostProblem(const std::string& url) {
  const std::string scheme = kScheme;
  const bool has_port = url.find(':', scheme.size()) != std::string::npos;
  const bool has_path = url.find('/', scheme.size()) != std::string::npos;
  if (url.rfind(scheme, 0) == 0 && has_port && !has_path) {
    return "";
  }
  return "expected http://IP:port such as http://10.0.0.7:8080, found '" + url +
         "'";
}

}  // namespace

void AddHostOption(CLI::App& command, std::string& host) {
  command.add_option("--host", host, "Any host of the system, http://IP:port")
      ->required()
      ->check(HostProblem);
}

void AddHostsOption(CLI::App& command, std::vector<std::string>& hosts) {
  command
      .add_option("--host", hosts,
                  "A host of the system, http://IP:port; the others are found "
                  "by its status. May be given again for hosts it cannot name")
      ->required()
      ->check(HostProblem);
}

}  // namespace slatestall
