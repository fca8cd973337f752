#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/config/config_problem.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Writes a line to standard output.
void Print(const std::string& line);
/// @brief Writes indented JSON to standard output.
void PrintJson(const nlohmann::json& value);
/// @brief Writes "slatestall: line" to standard error.
void PrintError(const std::string& line);
void PrintProblems(const std::vector<config_problem>& problems);

/// @brief Shows what is under way, in one line that is written over; nothing
/// where standard error is no terminal.
void ShowProgress(const std::string& line);
void EndProgress();

/// @brief Rows under headings, columns padded to their widest cell.
std::string TextTable(const std::vector<std::vector<std::string>>& rows);

/// @brief "2h 5m", "3m 20s", "850ms".
std::string ShortDuration(milliseconds value);

/// @brief The bytes of a file, or nothing where it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace slatestall
