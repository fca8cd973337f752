#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "slatestall/config/field_values.h"
#include "slatestall/config/nearest_name.h"
#include "slatestall/config/value_text.h"

namespace slatestall {

/// @brief A field and how it is read into a `T`. The tables of these drive
/// the parser and the reference alike, so neither can lack what the other has.
template <typename T>
struct field {
  field_spec spec;
  std::function<void(const field_place&, T&)> read;
};

template <typename T>
using field_table = std::vector<field<T>>;

/// @brief Whether a default is one that could be written: a 0 below the range
/// stands for "not given".
template <typename Value>
bool IsAllowed(const field_spec& spec, const Value& value) {
  if constexpr (std::is_same_v<Value, std::uint32_t>) {
    return static_cast<double>(value) >= spec.minimum;
  }
  return true;
}

/// @brief A field kept in one member; its default is that of the member.
template <typename T, typename Member>
field<T> MemberField(Member T::*member, field_spec spec) {
  if (!spec.required && IsAllowed(spec, T{}.*member)) {
    spec.default_text = WriteValue(T{}.*member);
  }
  return {std::move(spec), [member](const field_place& place, T& into) {
            ReadValue(place, into.*member);
          }};
}

/// @brief A field whose choices are the names of an enumeration.
template <typename T, typename Enum, std::size_t N>
field<T> EnumField(Enum T::*member, const name_table<Enum, N>& names,
                   field_spec spec) {
  spec.type = field_type::kChoice;
  for (const auto& entry : names) {
    spec.choices.emplace_back(entry.name);
  }
  if (!spec.required) {
    spec.default_text = NameIn(names, T{}.*member);
  }
  return {std::move(spec), [member, &names](const field_place& place, T& into) {
            ReadEnum(place, names, into.*member);
          }};
}

template <typename T>
std::vector<std::string> NamesOf(const field_table<T>& table) {
  std::vector<std::string> names;
  for (const field<T>& row : table) {
    names.push_back(row.spec.name);
  }
  return names;
}

template <typename T>
field_section SectionOf(const std::string& name, const field_table<T>& table) {
  field_section section{name, {}};
  for (const field<T>& row : table) {
    section.fields.push_back(row.spec);
  }
  return section;
}

inline std::string ChildPath(const std::string& path, const std::string& key) {
  return (path.empty() ? "" : path + ".") + Shortened(key);
}

/// @brief Where a problem of the entry is shown: at a single value itself, at
/// the key of anything larger.
inline text_position PlaceOf(const yaml_entry& entry) {
  const bool is_single = entry.value->kind == yaml_kind::kScalar;
  return is_single ? entry.value->position : entry.key_position;
}

template <typename T>
const field<T>* FindField(const field_table<T>& table, const std::string& key) {
  for (const field<T>& row : table) {
    if (row.spec.name == key) {
      return &row;
    }
  }
  return nullptr;
}

/// @brief Reads a map by its table: every entry, and what is missing.
template <typename T>
void ReadFields(const field_place& place, const field_table<T>& table,
                T& into) {
  if (!ExpectKind(place, yaml_kind::kMap)) {
    return;
  }
  std::set<std::string> seen;
  for (const yaml_entry& entry : place.node.entries) {
    const std::string path = ChildPath(place.path, entry.key);
    place.problems.Remember(path, PlaceOf(entry));
    const field<T>* row = FindField(table, entry.key);
    if (row == nullptr) {
      place.problems.AddAt(
          entry.key_position, path,
          "unknown field" + Suggestion(entry.key, NamesOf(table)));
      continue;
    }
    seen.insert(entry.key);
    row->read({*entry.value, path, row->spec, place.problems}, into);
  }
  for (const field<T>& row : table) {
    if (row.spec.required && !seen.contains(row.spec.name)) {
      place.problems.Add(ChildPath(place.path, row.spec.name),
                         "missing: this field is required");
    }
  }
}

/// @brief Reads a list of maps.
template <typename T>
void ReadObjects(const field_place& place, const field_table<T>& table,
                 std::vector<T>& into) {
  if (!ExpectKind(place, yaml_kind::kList)) {
    return;
  }
  field_spec item_spec = place.spec;
  item_spec.type = field_type::kObject;
  for (std::size_t i = 0; i < place.node.items.size(); ++i) {
    const yaml_node& item = *place.node.items[i];
    const std::string path = place.path + "[" + std::to_string(i) + "]";
    place.problems.Remember(path, item.position);
    into.emplace_back();
    ReadFields({item, path, item_spec, place.problems}, table, into.back());
  }
}

/// @brief Reads a map from names to maps; a `T` keeps its own name.
template <typename T>
void ReadNamedObjects(const field_place& place, const field_table<T>& table,
                      std::map<std::string, T>& into) {
  if (!ExpectKind(place, yaml_kind::kMap)) {
    return;
  }
  field_spec item_spec = place.spec;
  item_spec.type = field_type::kObject;
  for (const yaml_entry& entry : place.node.entries) {
    const std::string path = ChildPath(place.path, entry.key);
    place.problems.Remember(path, entry.key_position);
    if (!IsName(entry.key)) {
      place.problems.Add(path, Quoted(entry.key) + " is no name: " + kNameRule);
    }
    T& value = into[entry.key];
    value.name = entry.key;
    ReadFields({*entry.value, path, item_spec, place.problems}, table, value);
  }
}

}  // namespace slatestall
