#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/dispatch/home_ranking.h"
#include "slatestall/dispatch/stream_origin.h"
#include "slatestall/gateway/gateway_metrics.h"
#include "slatestall/model/time.h"
#include "slatestall/peer/peer_node.h"

namespace slatestall {

/// @brief Finds which software version began a stream, whichever host did.
///
/// The host that begins a stream sends its origin to a few others, chosen by
/// rendezvous hashing of the stream's id; the one where a caller takes it up
/// queries these. Used from the thread of the traffic only.
/// @ingroup gateway
class stream_directory {
 public:
  using done_hook = std::function<void(std::optional<stream_origin>)>;

  /// @param peers Outlives this.
  /// @param metrics Outlives this, too.
  stream_directory(peer_node& peers, gateway_metrics& metrics, std::string self,
                   now_function now);

  /// @brief All hosts but this one.
  void SetHosts(std::vector<home_candidate> others);
  /// @brief A stream of this host begins, or goes on.
  void Note(const std::string& stream, const stream_origin& origin,
            milliseconds lifetime);
  /// @brief Looks an origin up; `done` may run from inside the call.
  void Find(const std::string& stream, done_hook done);

 private:
  struct search;

  void ServePeers();
  const std::vector<std::string>& HoldersOf(const std::string& stream);

  peer_node& peers_;
  gateway_metrics& metrics_;
  const std::string self_;
  now_function now_;
  stream_origins origins_;
  std::vector<home_candidate> others_;
  /// Other hosts by rank, of each part of the streams that was needed.
  std::map<std::uint64_t, std::vector<std::string>> holders_;
};

}  // namespace slatestall
