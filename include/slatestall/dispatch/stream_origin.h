#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What an endpoint must be of to go on with a stream: what two software
/// versions of a service write does not fit together.
/// @ingroup dispatch
struct stream_origin {
  std::string service;
  std::string version;

  friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/// @brief Origins of streams by the id of the request that began them, each
/// kept while callers may take its stream up. Pure state; the time comes in.
class stream_origins {
 public:
  /// @param most Entries kept; those that end first make room.
  explicit stream_origins(std::size_t most) : most_(most) {}

  /// @brief The first origin of a stream stands; a repeat prolongs its life.
  void Note(const std::string& stream, const stream_origin& origin,
            duration lifetime, time_point now);
  std::optional<stream_origin> Find(const std::string& stream,
                                    time_point now) const;
  std::size_t size() const { return by_stream_.size(); }

 private:
  struct entry {
    stream_origin origin;
    time_point until{};
  };

  void Forget(time_point now);

  std::size_t most_;
  std::unordered_map<std::string, entry> by_stream_;
  std::multimap<time_point, std::string> ends_;  ///< May name earlier ends.
};

}  // namespace slatestall
