#pragma once

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief A planned stop of this host, from the moment it was told.
/// @ingroup gateway
struct host_stop {
  time_point told_at{};
};

}  // namespace slatestall
