#pragma once

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Monotonic time that also counts while the machine is suspended.
///
/// The ordinary steady clock stands still then: a host that wakes after five
/// seconds would take deadlines and reads of the platform for five seconds
/// younger than they are.
/// @ingroup relay
time_point BootTimeNow();

}  // namespace slatestall
