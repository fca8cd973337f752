#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "slatestall/serve/request_trace.h"

namespace slatestall {

/// @brief The traces of the last requests of one traffic thread. Written by
/// that thread, asked from any.
/// @ingroup serve
class explain_ring {
 public:
  /// @param capacity Number of traces kept, at least 1.
  explicit explain_ring(std::size_t capacity);

  void Add(request_trace_ptr trace);
  /// @brief The trace of a request id, or null.
  request_trace_ptr Find(const std::string& request) const;

 private:
  mutable std::mutex mutex_;
  std::vector<request_trace_ptr> slots_;
  std::size_t next_ = 0;
  std::unordered_map<std::string, request_trace_ptr> by_id_;
};

}  // namespace slatestall
