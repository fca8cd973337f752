#pragma once

#include <string>
#include <vector>

#include "slatestall/model/name_table.h"

namespace slatestall {

/// @brief How the value of a field is written.
/// @ingroup config
enum class field_type {
  kText,
  kName,
  kWhole,
  kNumber,
  kFlag,
  kDuration,
  kAddress,
  kUrl,
  kDigests,
  kChoice,
  kNames,
  kObject,
  kObjects,
  kNamedObjects,
};

inline constexpr name_table<field_type, 14> kFieldTypeNames{{
    {field_type::kText, "text"},
    {field_type::kName, "name"},
    {field_type::kWhole, "whole number"},
    {field_type::kNumber, "number"},
    {field_type::kFlag, "`true` or `false`"},
    {field_type::kDuration, "duration"},
    {field_type::kAddress, "`IP:port`"},
    {field_type::kUrl, "`http://IP:port`"},
    {field_type::kDigests, "list of SHA-256 digests"},
    {field_type::kChoice, "one of"},
    {field_type::kNames, "list of names"},
    {field_type::kObject, "map"},
    {field_type::kObjects, "list of maps"},
    {field_type::kNamedObjects, "map by name"},
}};

/// @brief One field of a file as parser and reference know it.
struct field_spec {
  std::string name = {};
  field_type type = field_type::kText;
  std::string unit = {};  ///< Empty: none.
  bool required = false;
  double minimum = 0;  ///< Numbers; milliseconds for durations.
  double maximum = 0;  ///< Above `minimum` where it holds.
  std::vector<std::string> choices = {};  ///< `kChoice`.
  std::string default_text = {};          ///< Empty: none.
  std::string meaning = {};
};

/// @brief The fields of one kind of map.
struct field_section {
  std::string name;
  std::vector<field_spec> fields;
};

/// @brief Every field of pipeline files and settings, by section.
std::vector<field_section> FieldReference();

/// @brief The section as a Markdown table, as it stands in docs/CONFIG.md.
std::string MarkdownTable(const field_section& section);

}  // namespace slatestall
