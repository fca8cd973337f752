#pragma once

#include <map>
#include <string>
#include <vector>

#include "slatestall/dispatch/endpoint_record.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Endpoints that look crashed to a host that takes itself for cut off
/// from their service.
///
/// Lost links look the same: calls break off, and new connections are refused.
/// A host without links reaches no endpoint of the service. One that is reached
/// later shows that the others can be looked at again, however few they are: an
/// endpoint that is still not reached then has crashed.
/// @ingroup dispatch
class crash_suspicions {
 public:
  /// @brief Calls broke off there, and a connection was refused then.
  void Note(const known_endpoint& endpoint, time_point now);
  /// @brief An endpoint of the service answered on a connection made after
  /// `sent`.
  /// @returns suspects to look at again, which are no longer held.
  std::vector<known_endpoint> NoteReached(const std::string& service,
                                          time_point sent, time_point now);
  /// @brief Whether it crashed is known.
  void Settle(const endpoint_incarnation& endpoint);
  bool Has(const endpoint_incarnation& endpoint) const {
    return suspects_.contains(endpoint);
  }

 private:
  struct suspect {
    known_endpoint endpoint;
    time_point since{};
  };

  std::map<endpoint_incarnation, suspect> suspects_;
};

}  // namespace slatestall
