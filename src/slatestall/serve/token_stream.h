#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace slatestall {

/// @brief One event of an engine's stream.
struct token_event {
  std::uint64_t offset = 0;  ///< Tokens before this event.
  std::uint64_t count = 0;
  std::string text;
};

enum class splice {
  kAppended,
  kDoubled,   ///< All of it was there already; dropped.
  kGap,       ///< Tokens are missing before it; dropped.
  kDiverged,  ///< Repeats tokens with other text; dropped.
};

/// @brief The text of one generation, put together by token offset. A resumed
/// stream may repeat tokens that were already taken: they are trimmed when
/// they are the same, and refused when they are not, since then the engine
/// generated anew and its text fits nothing the caller has.
class token_stream {
 public:
  using sink = std::function<void(std::uint64_t offset, std::string_view text)>;

  /// @param on_text Takes each new piece once, in order.
  explicit token_stream(sink on_text);

  splice Take(const token_event& event);

  /// @brief What comes next is a generation of its own, from its first token,
  /// which has to repeat `given` word by word before it may go on.
  void Repeat(const token_stream& given);
  bool IsRepeating() const { return repeated_.has_value(); }

  /// @brief Tokens of the text so far.
  std::uint64_t NextOffset() const { return next_; }
  /// @brief Tokens that the generation heard last has given; fewer than those
  /// of the text while it repeats.
  std::uint64_t Generated() const {
    return repeated_ ? repeated_->offset : next_;
  }
  const std::string& Text() const { return text_; }

 private:
  struct boundary {
    std::uint64_t offset;
    std::size_t bytes;  ///< Bytes of text before `offset`.
  };

  splice TakeRepeated(const token_event& event);
  splice TakeOverlapping(const token_event& event);
  void Append(std::uint64_t offset, std::uint64_t count, std::string_view text);
  const boundary* BoundaryAt(std::uint64_t offset) const;

  sink on_text_;
  std::uint64_t next_ = 0;
  std::string text_;
  std::vector<boundary> boundaries_;  ///< Starts of the events taken.
  std::optional<boundary> repeated_;  ///< How far a repetition has come.
};

}  // namespace slatestall
