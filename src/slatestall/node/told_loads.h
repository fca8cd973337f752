#pragma once

#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "slatestall/model/told_load.h"

namespace slatestall {

/// @brief What answers told, on its way from the traffic threads to the
/// control thread: the last word of each endpoint. Any thread.
class told_loads {
 public:
  /// @return Whether it is the first since `Take`.
  bool Put(const std::string& address, const told_load& load) {
    const std::lock_guard lock(mutex_);
    const bool first = loads_.empty();
    auto& kept = loads_[address];
    if (load.at >= kept.at) {
      kept = load;
    }
    return first;
  }

  std::map<std::string, told_load> Take() {
    const std::lock_guard lock(mutex_);
    return std::exchange(loads_, {});
  }

 private:
  std::mutex mutex_;
  std::map<std::string, told_load> loads_;
};

}  // namespace slatestall
