#include "slatestall/subcommands.h"

namespace slatestall {

void AddReport(CLI::App& /*app*/, exit_code& /*result*/) {}

}  // namespace slatestall
