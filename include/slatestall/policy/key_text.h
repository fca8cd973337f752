#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "slatestall/model/ids.h"

namespace slatestall {

/// @brief A key minted by a host: "h1.HOST.INCARNATION.NUMBER.CHECK".
/// @ingroup policy
struct minted_key {
  host_id home;
  std::uint64_t number = 0;
  std::string check;
};

/// @brief Whether a key claims to be minted. Callers' own keys never may.
bool LooksMinted(std::string_view key);

/// @brief The parts of a minted key, or nothing where it is malformed.
std::optional<minted_key> ParseMintedKey(std::string_view key);

std::string MintedKeyText(const minted_key& key);

/// @brief "HOST.INCARNATION", as in a key.
std::string HostText(const host_id& host);

/// @brief Reverses `HostText`.
std::optional<host_id> ParseHostText(std::string_view text);

}  // namespace slatestall
