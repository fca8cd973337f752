#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "slatestall/config/field_reference.h"
#include "slatestall/config/problem_sink.h"
#include "slatestall/config/yaml_tree.h"
#include "slatestall/model/name_table.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief One value to be read: where it stands and what it should be.
struct field_place {
  const yaml_node& node;
  const std::string& path;
  const field_spec& spec;
  problem_sink& problems;
};

// Readers of single values. Each leaves `value` as it is and adds a problem
// where the node does not fit the field.
void ReadValue(const field_place& place, std::string& value);
void ReadValue(const field_place& place, std::uint32_t& value);
void ReadValue(const field_place& place, double& value);
void ReadValue(const field_place& place, bool& value);
void ReadValue(const field_place& place, milliseconds& value);
void ReadValue(const field_place& place, std::chrono::seconds& value);
void ReadValue(const field_place& place, std::vector<std::string>& value);

/// @brief The text of a choice if it is one of the field's.
std::optional<std::string> ReadChoice(const field_place& place);

template <typename Enum, std::size_t N>
void ReadEnum(const field_place& place, const name_table<Enum, N>& names,
              Enum& value) {
  if (const auto text = ReadChoice(place)) {
    value = *ValueIn(names, *text);
  }
}

// The value as it would be written, for the reference.
std::string WriteValue(const std::string& value);
std::string WriteValue(std::uint32_t value);
std::string WriteValue(double value);
std::string WriteValue(bool value);
std::string WriteValue(milliseconds value);
std::string WriteValue(const std::vector<std::string>& value);

/// @brief "expected a number, found a list".
void AddWrongType(const field_place& place);

/// @brief Expects a map or a list; adds a problem otherwise.
bool ExpectKind(const field_place& place, yaml_kind kind);

}  // namespace slatestall
