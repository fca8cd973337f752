#include "standins/endpoint/fault_switch.h"

#include <stdexcept>
#include <string>

namespace slatestall {

void fault_switch::Change(const nlohmann::json& change) {
  const std::string name = change.value("mode", "none");
  const auto mode = ValueIn(kFaultModeNames, name);
  if (!mode) {
    throw std::invalid_argument("unknown mode " + name);
  }
  mode_ = *mode;
  factor_ = change.value("factor", 10.0);
  probability_ = change.value("probability", 1.0);
  calls_left_.reset();
  if (change.contains("count")) {
    calls_left_ = change["count"].get<std::uint64_t>();
  }
}

fault_mode fault_switch::NextCall() {
  const bool is_state = mode_ == fault_mode::kNone ||
                        mode_ == fault_mode::kSlow ||
                        mode_ == fault_mode::kLeaving;
  if (is_state) {
    return mode_;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  if (draw(random_) >= probability_) {
    return fault_mode::kNone;
  }
  const fault_mode mode = mode_;
  if (calls_left_ && (*calls_left_ == 0 || --*calls_left_ == 0)) {
    mode_ = fault_mode::kNone;
  }
  return mode;
}

double fault_switch::SlowFactor() const {
  return mode_ == fault_mode::kSlow ? factor_ : 1;
}

}  // namespace slatestall
