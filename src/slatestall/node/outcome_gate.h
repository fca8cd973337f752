#pragma once

#include <mutex>
#include <string>
#include <unordered_map>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Requests of this host that may still dispatch. Asked by traffic
/// threads and changed by the control thread, so a mutex guards it; it is held
/// for one lookup, a few times per keyed request.
/// @ingroup node
class outcome_gate {
 public:
  /// @brief Lets `request` dispatch until `deadline`.
  void Open(const std::string& request, time_point deadline);
  void Close(const std::string& request);
  void CloseAll();
  /// @brief Drops requests whose deadline has passed.
  void Expire(time_point now);
  bool IsOpen(const std::string& request, time_point now) const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::string, time_point> open_;
};

}  // namespace slatestall
