#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "slatestall/dispatch/endpoint_record.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief This host's part of the calls that an endpoint may get in a window
/// from all hosts together.
///
/// Such calls are too few to be divided by hundreds of hosts. So a few hosts
/// may send there, by rendezvous hashing, each its whole part in a window: all
/// hosts where they are fewer than the calls, else as many as the calls.
///
/// The sum holds for any number of hosts, parted or not, as long as those who
/// send are listed in every list that is in use: a list may hold more hosts
/// than another, and then allows no host that the shorter one does not. Pure
/// state; the time comes in.
/// @ingroup dispatch
class call_limit {
 public:
  /// @param window In which calls are counted.
  call_limit(std::string self, milliseconds window);

  /// @param hosts All listed hosts; this one counts whether listed or not.
  void SetHosts(const std::vector<std::string>& hosts);

  /// @brief Calls in a window that are this host's; none for most hosts.
  /// @param calls Of all hosts together.
  std::size_t Part(const endpoint_incarnation& endpoint, std::size_t calls);
  /// @brief Whether this host may send one more call to the endpoint now.
  bool Allows(const endpoint_incarnation& endpoint, std::size_t calls,
              time_point now);
  /// @brief Calls of this host that are in the window.
  std::size_t Sent(const endpoint_incarnation& endpoint, time_point now);
  void NoteSent(const endpoint_incarnation& endpoint, time_point now);

 private:
  std::size_t RankAt(const endpoint_incarnation& endpoint);
  void Forget(time_point now);

  std::string self_;
  duration window_;
  std::vector<std::string> others_;
  /// Hosts that come before this one at an endpoint.
  std::map<endpoint_incarnation, std::size_t> ranks_;
  std::map<endpoint_incarnation, std::deque<time_point>> sent_;
};

}  // namespace slatestall
