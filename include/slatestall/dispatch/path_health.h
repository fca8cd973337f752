#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/dispatch/endpoint_record.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What became of a call that another host was to pass on.
/// @ingroup dispatch
enum class relay_result {
  kReached,      ///< The endpoint has the connection.
  kUnreachable,  ///< The other host does not reach the endpoint either.
  kRefused,      ///< No other host passed it on.
};

/// @brief Whether this host reaches the endpoints of each service over its own
/// links, by how its connections to them fare.
///
/// An endpoint that is down fails alone; a host that is cut off fails at one
/// endpoint after the other. Whether the endpoints of a service are all down
/// shows in what other hosts report of them.
class path_health {
 public:
  using endpoint_count = std::function<std::size_t(const std::string& service)>;

  /// @param endpoints Usable endpoints of a service.
  explicit path_health(endpoint_count endpoints)
      : endpoints_(std::move(endpoints)) {}

  /// @brief An endpoint answered on a connection made after `sent`.
  void NoteReached(const std::string& service, time_point sent);
  /// @brief A connection was not made, or ended before its first byte.
  /// @returns whether the service has become cut off by it.
  bool NoteUnreached(const known_endpoint& endpoint, time_point now);
  /// @brief How a connection fared that was made to see whether the cut lasts.
  /// @returns whether the service is no longer cut off.
  bool NoteProbe(const std::string& service, bool reached);
  void NoteRelayed(const std::string& service, relay_result result,
                   time_point now);

  bool IsCut(const std::string& service) const;
  /// @brief Whether other hosts are worth a try: not while they do not reach
  /// the service either.
  bool MayRelay(const std::string& service, time_point now) const;
  std::vector<std::string> CutServices() const;

 private:
  struct path {
    std::map<endpoint_incarnation, time_point> unreached;
    unsigned failures = 0;  ///< Since an endpoint was last reached.
    bool is_cut = false;
    unsigned probes_reached = 0;  ///< In a row.
    unsigned relay_failures = 0;  ///< In a row.
    time_point relays_from{};     ///< None before.
  };

  bool AnyCut() const;

  endpoint_count endpoints_;
  std::map<std::string, path> paths_;
};

}  // namespace slatestall
