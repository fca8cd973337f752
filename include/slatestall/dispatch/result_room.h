#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "slatestall/dispatch/endpoint_record.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Room that results take up at their makers, as their home has seen
/// them made and freed. Makers refuse pieces that they have no room for, and a
/// refused piece costs a whole call.
/// @ingroup dispatch
class result_room {
 public:
  /// @param piece Identifies the piece that the result is of.
  /// @param keep_time After which makers drop a result by themselves.
  void NoteMade(const endpoint_incarnation& endpoint, const std::string& handle,
                std::uint64_t piece, std::uint64_t bytes, time_point now,
                duration keep_time);
  /// @brief Whether the handle stands for the result of another piece.
  bool IsOfAnother(const std::string& handle, std::uint64_t piece,
                   time_point now);
  void NoteFreed(const std::string& handle);
  /// @brief Bytes taken up at an endpoint.
  std::uint64_t Used(const endpoint_incarnation& endpoint, time_point now);

 private:
  struct result {
    endpoint_incarnation endpoint;
    std::uint64_t piece = 0;
    std::uint64_t bytes = 0;
  };
  struct expiry {
    time_point at{};
    std::string handle;
  };

  void Expire(time_point now);

  std::unordered_map<std::string, result> results_;  ///< By handle.
  std::map<endpoint_incarnation, std::uint64_t> used_;
  std::deque<expiry> expiries_;
};

}  // namespace slatestall
