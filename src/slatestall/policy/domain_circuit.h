#pragma once

#include <map>
#include <string>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Notices the loss of a whole failure domain: several of its endpoints
/// fail within a short time while other domains answer. All its endpoints are
/// then avoided at once instead of one failed call each.
class domain_circuit {
 public:
  void Answered(const std::string& failure_domain, time_point now);
  void Failed(const std::string& failure_domain, const std::string& address,
              time_point now);

  bool Open(const std::string& failure_domain, time_point now) const;

 private:
  struct failed_endpoint {
    std::string address;
    time_point when{};
  };
  struct domain_state {
    std::vector<failed_endpoint> failed;  ///< Since the last answer.
    time_point answered{};
    time_point open_until{};
    unsigned openings = 0;
  };

  bool OthersAnswer(const std::string& failure_domain, time_point now) const;

  std::map<std::string, domain_state> domains_;
};

}  // namespace slatestall
