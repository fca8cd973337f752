#pragma once

#include <cstdint>

#include "slatestall/policy/domain_circuit.h"
#include "slatestall/policy/endpoint_set.h"

namespace slatestall {

/// @brief How many calls to the endpoints of one model one traffic thread may
/// have in flight: its share of the slots, more while load reports show idle
/// ones.
struct service_capacity {
  double nominal = 1;      ///< For batch calls.
  double interactive = 1;  ///< Interactive calls may go a bit further.
};

/// @param sharers Threads over all hosts among which the slots are divided.
/// @param in_flight Calls of this thread that hold slots of these endpoints.
/// @param lending Whether idle slots of others may be borrowed.
service_capacity MeasureCapacity(const endpoint_set::subset& endpoints,
                                 const domain_circuit& circuit, double sharers,
                                 double in_flight, bool lending,
                                 time_point now);

}  // namespace slatestall
