#pragma once

#include <string>

#include "slatestall/model/ids.h"

namespace slatestall {

/// @brief The id of a host process that starts now; its incarnation is random
/// and never 0.
/// @ingroup model
host_id NewIncarnation(const std::string& name);

}  // namespace slatestall
