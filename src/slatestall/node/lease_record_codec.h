#pragma once

#include <optional>
#include <string>

#include "slatestall/platform/log_service.h"
#include "slatestall/policy/lease_table.h"

namespace slatestall {

/// @brief Reads one record of the stream "leases"; nothing where it is none.
std::optional<lease_record> DecodeLeaseRecord(const log_record& record);

/// @brief The payload of a record; its offset is not part of it.
std::string EncodeLeaseRecord(const lease_record& record);

}  // namespace slatestall
