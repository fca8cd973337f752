#pragma once

#include <map>
#include <set>
#include <string>

#include "slatestall/model/time.h"
#include "slatestall/platform/weight_store.h"

namespace slatestall {

/// @brief Which model versions the weight store is known to have, asked one at
/// a time and no more often than it wants.
class weight_gate {
 public:
  /// @param now Monotonic clock.
  weight_gate(fetch_weights fetch, now_function now);

  /// @brief Labels among `wanted` that may be loaded; asks for the others.
  std::set<std::string> Available(const std::set<std::string>& wanted);

 private:
  void AskNext(const std::set<std::string>& wanted);

  fetch_weights fetch_;
  now_function now_;
  std::map<std::string, time_point> known_until_;
  std::map<std::string, time_point> ask_again_;  ///< After an answer "no".
  time_point next_ask_{};
  bool asking_ = false;
};

}  // namespace slatestall
