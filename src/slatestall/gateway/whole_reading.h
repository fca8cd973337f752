#pragma once

#include "slatestall/gateway/shared_topic.h"

namespace slatestall {

/// @brief Reads the newest of every key from the host that this one follows,
/// page by page; from others or the store where that one is behind.
void ReadWhole(const shared_topic_ptr& topic, const read_done& done);

/// @brief Reads it from the store; where that fails, from any other host that
/// knows more.
void ReadWholeDirectly(const shared_topic_ptr& topic, const read_done& done);

}  // namespace slatestall
