#pragma once

#include <set>
#include <string>
#include <vector>

namespace slatestall {

/// @brief A record of the operator's about one failure domain.
/// @ingroup gateway
struct evacuation_record {
  std::string failure_domain;
  bool evacuated = true;  ///< False: it was taken back.
};

/// @brief The failure domains that the operator has evacuated, as a host has
/// read them. Pure state.
/// @ingroup gateway
class evacuation_list {
 public:
  /// @brief All records were read: a domain without one is taken back.
  /// @returns whether the list has changed.
  bool ReplaceAll(const std::vector<evacuation_record>& records);
  /// @brief Records that were written since.
  /// @returns whether the list has changed.
  bool Change(const std::vector<evacuation_record>& records);
  /// @brief All records were read of a store that came back from an older copy.
  /// What it lacks may have been lost, and what it holds may be over: no
  /// evacuation ends, and none that was seen to end begins again.
  /// @returns whether the list has changed.
  bool AddRestored(const std::vector<evacuation_record>& records);

  const std::set<std::string>& Domains() const { return evacuated_; }
  bool Contains(const std::string& failure_domain) const {
    return evacuated_.contains(failure_domain);
  }

 private:
  bool Set(std::set<std::string> evacuated);

  std::set<std::string> evacuated_;
  std::set<std::string> taken_back_;  ///< Whose evacuation was seen to end.
};

}  // namespace slatestall
