#pragma once

#include "slatestall/model/configuration.h"

namespace slatestall {

/// @brief The longest deadline that the configuration allows.
milliseconds LongestDeadlineOf(const configuration& content);

}  // namespace slatestall
