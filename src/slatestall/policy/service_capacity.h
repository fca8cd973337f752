#pragma once

#include <cstdint>

#include "slatestall/policy/domain_circuit.h"
#include "slatestall/policy/endpoint_set.h"

namespace slatestall {

/// @brief How many calls of a service one traffic thread may have in flight:
/// its share of the slots, more while load reports show idle ones.
struct service_capacity {
  double nominal = 1;      ///< For batch calls.
  double interactive = 1;  ///< Interactive calls may go a bit further.
};

/// @param sharers Threads over all hosts among which the slots are divided.
service_capacity MeasureCapacity(const endpoint_set& endpoints,
                                 const domain_circuit& circuit, double sharers,
                                 time_point now);

}  // namespace slatestall
