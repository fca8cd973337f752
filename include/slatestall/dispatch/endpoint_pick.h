#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "slatestall/dispatch/endpoint_record.h"

namespace slatestall {

/// @brief What is asked of an endpoint, as far as it decides which one.
/// @ingroup dispatch
struct pick_request {
  time_point now{};
  /// Hash of the longest part of the prompt that other requests share; 0:
  /// none. Such requests go to the same few endpoints, which keep it cached.
  std::uint64_t shared_prompt = 0;
  std::vector<endpoint_incarnation> tried;  ///< Not to be used again.
  bool one_home = false;                    ///< A prompt has one home only.
  std::string near;  ///< Failure domain where the inputs lie; may be empty.
  /// Whether an endpoint may have the request at all; not set: each may.
  std::function<bool(const known_endpoint&)> may_use;
  /// Whether one more call may go to an endpoint now; not set: to each.
  std::function<bool(const endpoint_record&)> may_call;
  /// Whether one more call may go to a cold endpoint; asked only where the warm
  /// ones are full. Not set: cold endpoints are like others.
  std::function<bool(const endpoint_record&)> may_use_cold;
};

/// @brief Chooses one endpoint for one call: the least expected wait, with a
/// prompt's home endpoints preferred while they are not much busier.
/// @returns null where none is left.
endpoint_record_ptr PickEndpoint(const std::vector<endpoint_record_ptr>& all,
                                 const pick_request& request);

}  // namespace slatestall
