#include "slatestall/console.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

namespace slatestall {
namespace {

constexpr std::size_t kProgressWidth = 78;

bool OnTerminal() { return isatty(STDERR_FILENO) == 1; }

std::vector<std::size_t> WidthsOf(
    const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  return widths;
}

}  // namespace

void Print(const std::string& line) { std::cout << line << "\n"; }

void PrintJson(const nlohmann::json& value) {
  Print(value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace));
}

void PrintError(const std::string& line) {
  std::cerr << "slatestall: " << line << "\n";
}

void PrintProblems(const std::vector<config_problem>& problems) {
  for (const config_problem& problem : problems) {
    std::cerr << Describe(problem) << "\n";
  }
}

void ShowProgress(const std::string& line) {
  if (!OnTerminal()) {
    return;
  }
  std::string padded = line.substr(0, kProgressWidth);
  padded.resize(kProgressWidth, ' ');
  std::cerr << "\r" << padded << std::flush;
}

void EndProgress() {
  if (OnTerminal()) {
    std::cerr << "\r" << std::string(kProgressWidth, ' ') << "\r" << std::flush;
  }
}

std::string TextTable(const std::vector<std::vector<std::string>>& rows) {
  const std::vector<std::size_t> widths = WidthsOf(rows);
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::string cell = row[i];
      cell.resize(widths[i], ' ');
      line += (i == 0 ? "" : "  ") + cell;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string ShortDuration(milliseconds value) {
  const std::int64_t seconds = value.count() / 1000;
  if (seconds == 0) {
    return std::to_string(value.count()) + "ms";
  }
  if (seconds < 60) {
    return std::to_string(seconds) + "s";
  }
  if (seconds < 3600) {
    return std::to_string(seconds / 60) + "m " + std::to_string(seconds % 60) +
           "s";
  }
  return std::to_string(seconds / 3600) + "h " +
         std::to_string(seconds % 3600 / 60) + "m";
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream.is_open()) {
    return std::nullopt;
  }
  std::string text{std::istreambuf_iterator<char>(stream), {}};
  if (stream.bad()) {
    return std::nullopt;
  }
  return text;
}

}  // namespace slatestall
