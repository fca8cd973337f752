#pragma once

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "slatestall/gateway/platform_link.h"

namespace slatestall {

/// @brief A topic whose reads a test answers by hand.
/// @ingroup gateway
struct fake_topic {
  using done_hook = std::function<void(keyed_read)>;

  keyed_topic Topic() {
    keyed_topic topic;
    topic.read_newest = [this](done_hook done) { newest = std::move(done); };
    topic.read_from = [this](std::uint64_t, milliseconds, done_hook done) {
      next = std::move(done);
    };
    return topic;
  }

  static void Answer(done_hook& hook, std::vector<keyed_record> records,
                     std::uint64_t era = 1) {
    keyed_read read;
    read.outcome = store_outcome::kDone;
    read.records = std::move(records);
    read.era = era;
    std::exchange(hook, nullptr)(read);
  }

  done_hook newest;
  done_hook next;
};

}  // namespace slatestall
