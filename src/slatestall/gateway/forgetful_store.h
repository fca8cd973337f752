#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace slatestall {

/// @brief A topic of a store that may come back from an older copy, for tests.
/// What was written is then written again, in any order.
/// @ingroup gateway
template <typename Value>
class forgetful_store {
 public:
  using record = std::pair<std::string, Value>;

  void Write(const std::string& key, Value value) {
    truth_[key] = value;
    log_.emplace_back(key, value);
  }

  /// @brief Comes back from a copy that lacks the last records.
  void Restore(std::size_t lost) {
    log_.resize(log_.size() - std::min(lost, log_.size()));
    ++era_;
    to_write_.clear();
    for (const auto& [key, value] : truth_) {
      to_write_.push_back(key);
    }
  }

  void WriteAgain(std::size_t which) {
    if (to_write_.empty()) {
      return;
    }
    const auto at = to_write_.begin() +
                    static_cast<std::ptrdiff_t>(which % to_write_.size());
    log_.emplace_back(*at, truth_.at(*at));
    to_write_.erase(at);
  }

  bool IsWhole() const { return to_write_.empty(); }
  std::uint64_t Era() const { return era_; }
  const std::vector<record>& Log() const { return log_; }
  /// @brief What would be the newest of each key if nothing had been lost.
  const std::map<std::string, Value>& Truth() const { return truth_; }

  std::map<std::string, Value> Newest() const {
    std::map<std::string, Value> newest;
    for (const auto& [key, value] : log_) {
      newest[key] = value;
    }
    return newest;
  }

 private:
  std::vector<record> log_;
  std::map<std::string, Value> truth_;
  std::vector<std::string> to_write_;
  std::uint64_t era_ = 1;
};

}  // namespace slatestall
