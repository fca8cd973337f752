#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief One server-sent event.
/// @ingroup http
struct sse_event {
  std::string type;  ///< Of the field `event`; empty for a plain message.
  std::string data;  ///< Lines joined by `\n`.
};

/// @brief Parses a server-sent event stream as it arrives, whatever the
/// borders of its pieces. Events with no data are passed over, and an event
/// that the stream breaks off in is never reported.
class sse_parser {
 public:
  using event_hook = std::function<void(const sse_event&)>;

  /// @param max_event_bytes bounds what is held of one event, its lines
  /// included.
  sse_parser(std::size_t max_event_bytes, event_hook on_event);

  /// @returns false once an event has passed the bound; the rest of the
  /// stream is then ignored.
  bool Feed(std::string_view piece);

 private:
  /// @brief How many bytes may still be held of the event under way.
  std::size_t Room() const;
  void TakeLine(std::string_view line);
  void TakeField(std::string_view name, std::string_view value);
  void Dispatch();

  std::size_t max_event_bytes_;
  event_hook on_event_;
  std::string line_;
  sse_event event_;
  bool has_data_ = false;
  bool after_carriage_return_ = false;
  bool first_line_ = true;
  bool too_large_ = false;
};

/// @brief The text of an event with this data, ready to be written. Line
/// breaks of any kind in `data` arrive as `\n`.
std::string SseEvent(std::string_view data);

}  // namespace slatestall
