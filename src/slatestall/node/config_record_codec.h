#pragma once

#include <string>

#include "slatestall/platform/log_service.h"
#include "slatestall/policy/config_record.h"

namespace slatestall {

/// @brief Reads one record of the stream "config". A payload that is none
/// comes back as `malformed`: every host must pass over it alike.
config_record DecodeConfigRecord(const log_record& record);

/// @brief The payload of a record; offset and `malformed` are not part of it.
std::string EncodeConfigRecord(const config_record& record);

config_page DecodeConfigPage(const read_result& read);

}  // namespace slatestall
