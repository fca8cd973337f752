#pragma once

#include <map>
#include <optional>
#include <string>

#include "slatestall/dispatch/endpoint_record.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Software versions of each service that the list of endpoints has
/// shown. Pure state; the time comes in.
/// @ingroup gateway
class version_history {
 public:
  /// @brief The whole list was read: what came and went before is not known.
  void Begin(time_point now) { since_ = now; }
  /// @brief An endpoint is or was listed at that time.
  void Note(const known_endpoint& endpoint, time_point now);
  /// @param time For which it must have been the only one on any host's list.
  /// @returns nothing where there was another, or none, or where it is not
  /// known for that long.
  std::optional<std::string> Only(const std::string& service, duration time,
                                  time_point now);

 private:
  using version_map = std::map<std::string, time_point>;  ///< Last listed.

  std::optional<time_point> since_;
  std::map<std::string, version_map> services_;
};

}  // namespace slatestall
