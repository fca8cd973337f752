#pragma once

#include "slatestall/model/name_table.h"

namespace slatestall {

/// @brief Class of a request: a person waits for an interactive one, a batch
/// one is a large draft that may yield.
/// @ingroup model
enum class priority_class { kInteractive, kBatch };

inline constexpr name_table<priority_class, 2> kPriorityClassNames{{
    {priority_class::kInteractive, "interactive"},
    {priority_class::kBatch, "batch"},
}};

}  // namespace slatestall
