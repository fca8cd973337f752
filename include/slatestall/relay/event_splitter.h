#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace slatestall {

/// @brief One whole event of a server-sent event stream, as its bytes stood.
/// @ingroup relay
struct whole_event {
  std::string text;  ///< Up to and with its blank line.
  std::optional<std::uint64_t> id;
};

/// @brief Cuts a stream into whole events.
///
/// Only these are passed on: an endpoint that dies in the middle of an event
/// leaves a piece that must not be joined to the next endpoint's events.
class event_splitter {
 public:
  /// @param max_event_bytes bounds what is held of one event.
  explicit event_splitter(std::size_t max_event_bytes);

  /// @returns the events that became whole with these bytes, in order.
  std::vector<whole_event> Feed(std::string_view bytes);
  /// @brief Whether the stream ends here in the middle of an event.
  bool InsideEvent() const { return !held_.empty(); }
  /// @brief An event has passed the bound; what came of it is dropped.
  bool Overflowed() const { return overflowed_; }

 private:
  std::size_t max_event_bytes_;
  std::string held_;
  std::size_t scanned_ = 0;
  bool overflowed_ = false;
};

}  // namespace slatestall
