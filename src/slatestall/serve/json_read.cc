#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

const nlohmann::json* Member(const nlohmann::json& object, const char* name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

}  // namespace

nlohmann::json ParseJson(std::string_view text) {
  return nlohmann::json::parse(text, nullptr, false);
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
