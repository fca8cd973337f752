#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "slatestall/peer/peer_node.h"

namespace slatestall {

/// @brief A host of the system as it announced itself.
/// @ingroup gateway
struct listed_gateway {
  peer_address address;
  double weight = 1.0;  ///< Share of a processor that it has.
  /// "IP:port" where it passes calls on to endpoints; empty: it does not.
  std::string relay{};
  std::string failure_domain{};  ///< Empty: not announced.
  /// It records software versions before it uses them; see `version_ledger`.
  bool records_versions = true;

  friend bool operator==(const listed_gateway& a, const listed_gateway& b) {
    return a.address.host == b.address.host &&
           a.address.address == b.address.address && a.weight == b.weight &&
           a.relay == b.relay && a.failure_domain == b.failure_domain;
  }
};

/// @brief The value of a host's record in the topic of hosts.
std::string WriteHostEntry(const listed_gateway& host);

/// @param host Key of the record.
/// @returns nothing where the value names no address for other hosts. Other
/// fields of an unexpected type count as absent.
std::optional<listed_gateway> ReadHostEntry(const std::string& host,
                                            std::string_view value);

}  // namespace slatestall
