#pragma once

namespace slatestall {

/// @brief Exit codes of the program, the same for all subcommands; listed in
/// --help and docs/OPERATORS.md.
enum class exit_code {
  kOk = 0,
  kNegative = 1,
  kBadInput = 2,
  kUnknown = 3,
  kUnreachable = 4,
};

inline constexpr const char* kExitCodeHelp =
    "Exit codes:\n"
    "  0  done, or nothing wrong\n"
    "  1  a negative outcome: refused, not published, behind, not found,\n"
    "     an outcome of a replay differs\n"
    "  2  bad input: a wrong file, flag or argument; nothing was sent\n"
    "  3  the outcome is unknown; the message says what to do\n"
    "  4  a host could not be reached\n";

inline constexpr const char* kProgramHelp =
    "Examples:\n"
    "  slatestall check shop.yaml\n"
    "  slatestall apply shop.yaml --host http://10.0.0.7:8080\n"
    "  slatestall status --host http://10.0.0.7:8080\n"
    "  slatestall report burn --host http://10.0.0.7:8080 --html burn.html\n"
    "\n"
    "An operator's key is taken from the variable SLATE_OPERATOR_KEY.\n"
    "\n";

}  // namespace slatestall
