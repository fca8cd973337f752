#include "slatestall/config/field_values.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "slatestall/config/nearest_name.h"
#include "slatestall/config/value_text.h"

namespace slatestall {
namespace {

constexpr std::size_t kLongestText = 512;

std::string FoundText(const yaml_node& node) {
  switch (node.kind) {
    case yaml_kind::kNull:
      return "nothing";
    case yaml_kind::kList:
      return "a list";
    case yaml_kind::kMap:
      return "a map";
    case yaml_kind::kScalar:
      break;
  }
  return Quoted(node.text) + (node.quoted ? " in quotes" : "");
}

std::string ExpectedText(const field_spec& spec) {
  if (spec.type == field_type::kDuration) {
    return "a duration such as 6s or 900ms";
  }
  if (spec.type == field_type::kChoice) {
    return "one of " + Listed(spec.choices);
  }
  std::string name;
  for (const char c : NameIn(kFieldTypeNames, spec.type)) {
    if (c != '`') {
      name += c;
    }
  }
  const bool has_article = spec.type == field_type::kFlag;
  return (has_article ? "" : "a ") + name;
}

bool IsText(const field_place& place) {
  if (place.node.kind == yaml_kind::kScalar) {
    return true;
  }
  AddWrongType(place);
  return false;
}

bool IsNumberLike(const field_place& place) {
  if (place.node.kind == yaml_kind::kScalar && !place.node.quoted) {
    return true;
  }
  AddWrongType(place);
  return false;
}

bool InRange(const field_place& place, double value) {
  const field_spec& spec = place.spec;
  if (spec.maximum <= spec.minimum ||
      (value >= spec.minimum && value <= spec.maximum)) {
    return true;
  }
  const bool is_duration = spec.type == field_type::kDuration;
  const auto write = [&](double bound) {
    return is_duration ? WriteValue(milliseconds(std::llround(bound)))
                       : WriteValue(bound);
  };
  place.problems.Add(
      place.path, place.node.text + " is out of range: " + write(spec.minimum) +
                      " to " + write(spec.maximum));
  return false;
}

std::optional<double> NumberIn(std::string_view text) {
  double value = 0;
  const auto end = text.data() + text.size();  // NOLINT
  const auto result = std::from_chars(text.data(), end, value);
  if (text.empty() || result.ec != std::errc() || result.ptr != end ||
      !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

struct duration_unit {
  std::string_view name;
  double in_ms;
};

constexpr std::array<duration_unit, 4> kDurationUnits{
    {{"ms", 1}, {"s", 1000}, {"min", 60000}, {"h", 3600000}}};

std::optional<double> UnitInMs(std::string_view name) {
  for (const duration_unit& unit : kDurationUnits) {
    if (unit.name == name) {
      return unit.in_ms;
    }
  }
  return std::nullopt;
}

std::string FormProblem(const field_spec& spec, const std::string& text) {
  switch (spec.type) {
    case field_type::kName:
      return IsName(text) ? "" : Quoted(text) + " is no name: " + kNameRule;
    case field_type::kAddress:
      return AddressProblem(text, spec.minimum > 0);
    case field_type::kUrl:
      return text.empty() ? "" : UrlProblem(text);
    default:
      return "";
  }
}

// A list element: the same field, one value.
void ReadItem(const field_place& place, std::vector<std::string>& value) {
  field_spec spec = place.spec;
  const bool is_digest = spec.type == field_type::kDigests;
  spec.type = is_digest ? field_type::kText : field_type::kName;
  std::string text;
  const field_place item{place.node, place.path, spec, place.problems};
  ReadValue(item, text);
  if (!place.problems.Sound(place.path)) {
    return;
  }
  if (is_digest && !IsDigest(text)) {
    place.problems.Add(place.path,
                       "expected 64 lowercase hexadecimal digits (SHA-256)");
    return;
  }
  if (std::find(value.begin(), value.end(), text) != value.end()) {
    place.problems.Add(place.path, Quoted(text) + " stands twice in the list");
    return;
  }
  value.push_back(text);
}

}  // namespace

void AddWrongType(const field_place& place) {
  place.problems.Add(place.path, "expected " + ExpectedText(place.spec) +
                                     ", found " + FoundText(place.node));
}

bool ExpectKind(const field_place& place, yaml_kind kind) {
  if (place.node.kind == kind) {
    return true;
  }
  AddWrongType(place);
  return false;
}

void ReadValue(const field_place& place, std::string& value) {
  if (!IsText(place)) {
    return;
  }
  const std::string& text = place.node.text;
  std::string problem;
  if (text.empty() && place.spec.required) {
    problem = "must not be empty";
  } else if (text.size() > kLongestText) {
    problem = "longer than " + std::to_string(kLongestText) + " bytes";
  } else {
    problem = FormProblem(place.spec, text);
  }
  if (!problem.empty()) {
    place.problems.Add(place.path, problem);
    return;
  }
  value = text;
}

void ReadValue(const field_place& place, std::uint32_t& value) {
  if (!IsNumberLike(place)) {
    return;
  }
  const auto number = NumberIn(place.node.text);
  if (!number || *number != std::floor(*number)) {
    AddWrongType(place);
    return;
  }
  if (InRange(place, *number)) {
    value = static_cast<std::uint32_t>(*number);
  }
}

void ReadValue(const field_place& place, double& value) {
  if (!IsNumberLike(place)) {
    return;
  }
  const auto number = NumberIn(place.node.text);
  if (!number) {
    AddWrongType(place);
    return;
  }
  if (InRange(place, *number)) {
    value = *number;
  }
}

void ReadValue(const field_place& place, bool& value) {
  const std::string& text = place.node.text;
  if (!IsNumberLike(place)) {
    return;
  }
  if (text != "true" && text != "false") {
    AddWrongType(place);
    return;
  }
  value = text == "true";
}

void ReadValue(const field_place& place, milliseconds& value) {
  if (!IsText(place)) {
    return;
  }
  const std::string_view text = place.node.text;
  const std::size_t unit_at = text.find_first_not_of("0123456789.");
  const auto number = NumberIn(text.substr(0, unit_at));
  if (!number) {
    AddWrongType(place);
    return;
  }
  if (unit_at == std::string_view::npos) {
    place.problems.Add(place.path,
                       Quoted(place.node.text) + " has no unit: write " +
                           place.node.text + "s or " + place.node.text + "ms");
    return;
  }
  const std::string_view unit = text.substr(unit_at);
  const auto unit_ms = UnitInMs(unit);
  if (!unit_ms) {
    place.problems.Add(place.path, "unknown unit " + Quoted(unit) +
                                       "; durations are in ms, s, min or h");
    return;
  }
  const double in_ms = *number * *unit_ms;
  if (InRange(place, in_ms)) {
    value = milliseconds(std::llround(in_ms));
  }
}

void ReadValue(const field_place& place, std::chrono::seconds& value) {
  milliseconds precise = value;
  ReadValue(place, precise);
  value = std::chrono::duration_cast<std::chrono::seconds>(precise);
}

void ReadValue(const field_place& place, std::vector<std::string>& value) {
  if (!ExpectKind(place, yaml_kind::kList)) {
    return;
  }
  for (std::size_t i = 0; i < place.node.items.size(); ++i) {
    const yaml_node& item = *place.node.items[i];
    const std::string path = place.path + "[" + std::to_string(i) + "]";
    place.problems.Remember(path, item.position);
    ReadItem({item, path, place.spec, place.problems}, value);
  }
}

std::optional<std::string> ReadChoice(const field_place& place) {
  if (!IsText(place)) {
    return std::nullopt;
  }
  for (const std::string& choice : place.spec.choices) {
    if (choice == place.node.text) {
      return choice;
    }
  }
  place.problems.Add(place.path,
                     "expected " + ExpectedText(place.spec) + ", found " +
                         FoundText(place.node) +
                         Suggestion(place.node.text, place.spec.choices));
  return std::nullopt;
}

std::string WriteValue(const std::string& value) { return value; }

std::string WriteValue(std::uint32_t value) { return std::to_string(value); }

std::string WriteValue(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.10g", value);  // NOLINT
  return text.data();
}

std::string WriteValue(bool value) { return value ? "true" : "false"; }

std::string WriteValue(milliseconds value) {
  constexpr std::int64_t kSecond = 1000;
  constexpr std::int64_t kHour = 3600 * kSecond;
  if (value.count() > 0 && value.count() % kHour == 0) {
    return std::to_string(value.count() / kHour) + "h";
  }
  return value.count() % kSecond == 0
             ? std::to_string(value.count() / kSecond) + "s"
             : std::to_string(value.count()) + "ms";
}

std::string WriteValue(const std::vector<std::string>& value) {
  return Listed(value);
}

}  // namespace slatestall
