#include "slatestall/serve/json_read.h"

#include <stdexcept>
#include <string>

namespace slatestall {
namespace {

const nlohmann::json* Member(const nlohmann::json& object, const char* name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

/// The parser takes any depth, but copies, comparisons and texts of a document
/// recurse, and would overflow the stack. Brackets are counted as far as the
/// text may be JSON; the parser refuses the rest.
bool IsNestedTooDeeply(std::string_view text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string && c == '\\') {
      ++i;  // What is escaped ends no string.
    } else if (c == '"') {
      in_string = !in_string;
    } else if (!in_string && (c == '[' || c == '{')) {
      if (++depth > kMaxJsonNesting) {
        return true;
      }
    } else if (!in_string && (c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

}  // namespace

nlohmann::json ParseJson(std::string_view text) {
  return IsNestedTooDeeply(text)
             ? nlohmann::json(nlohmann::json::value_t::discarded)
             : nlohmann::json::parse(text, nullptr, false);
}

nlohmann::json ParseJsonOrThrow(std::string_view text) {
  if (IsNestedTooDeeply(text)) {
    throw std::invalid_argument("JSON is nested deeper than " +
                                std::to_string(kMaxJsonNesting) + " levels");
  }
  return nlohmann::json::parse(text);
}

std::string DumpJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::string> StringMember(const nlohmann::json& object,
                                        const char* name) {
  const nlohmann::json* member = Member(object, name);
  if (member == nullptr || !member->is_string()) {
    return std::nullopt;
  }
  return member->get<std::string>();
}

std::optional<std::uint64_t> UnsignedMember(const nlohmann::json& object,
                                            const char* name) {
  const nlohmann::json* member = Member(object, name);
  if (member == nullptr || !member->is_number_unsigned()) {
    return std::nullopt;
  }
  return member->get<std::uint64_t>();
}

std::optional<bool> FlagMember(const nlohmann::json& object, const char* name) {
  const nlohmann::json* member = Member(object, name);
  if (member == nullptr || !member->is_boolean()) {
    return std::nullopt;
  }
  return member->get<bool>();
}

const nlohmann::json* ListMember(const nlohmann::json& object,
                                 const char* name) {
  const nlohmann::json* member = Member(object, name);
  return member == nullptr || !member->is_array() ? nullptr : member;
}

double NumberMember(const nlohmann::json& object, const char* name,
                    double fallback) {
  const nlohmann::json* member = Member(object, name);
  return member == nullptr || !member->is_number() ? fallback
                                                   : member->get<double>();
}

}  // namespace slatestall
