#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief Levels of lists and objects in a document that is taken.
constexpr std::size_t kMaxJsonNesting = 512;

/// @brief Parses untrusted text; a discarded value where it is not JSON or
/// nested too deeply.
nlohmann::json ParseJson(std::string_view text);

/// @brief The same, for readers that report what is wrong.
/// @throws std::exception where it is not JSON or nested too deeply.
nlohmann::json ParseJsonOrThrow(std::string_view text);

/// @brief Text of `value`. Bytes that are not UTF-8 are replaced: a plain
/// service may answer any bytes, and a serializer that throws on them would
/// turn its answer into an internal error after the call has run.
std::string DumpJson(const nlohmann::json& value);

/// @brief A string member, or nothing where it is missing or of another type.
std::optional<std::string> StringMember(const nlohmann::json& object,
                                        const char* name);

/// @brief An unsigned integer member, or nothing.
std::optional<std::uint64_t> UnsignedMember(const nlohmann::json& object,
                                            const char* name);

/// @brief A boolean member, or nothing.
std::optional<bool> FlagMember(const nlohmann::json& object, const char* name);

/// @brief A list member, of `object`; null where it is missing or of another
/// type.
const nlohmann::json* ListMember(const nlohmann::json& object,
                                 const char* name);

/// @brief A number member, or `fallback`.
double NumberMember(const nlohmann::json& object, const char* name,
                    double fallback);

}  // namespace slatestall
