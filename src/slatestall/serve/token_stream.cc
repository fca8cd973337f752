#include "slatestall/serve/token_stream.h"

#include <algorithm>
#include <utility>

namespace slatestall {

token_stream::token_stream(sink on_text) : on_text_(std::move(on_text)) {}

void token_stream::Repeat(const token_stream& given) {
  text_ = given.text_;
  boundaries_ = given.boundaries_;
  next_ = given.next_;
  if (next_ > 0) {
    repeated_ = boundary{0, 0};
  }
}

splice token_stream::Take(const token_event& event) {
  if (repeated_) {
    return TakeRepeated(event);
  }
  if (event.offset > next_) {
    return splice::kGap;
  }
  if (event.offset < next_) {
    return TakeOverlapping(event);
  }
  Append(event.offset, event.count, event.text);
  return splice::kAppended;
}

// Another generation may be cut into other events, so its bytes are compared.
// Where its words run past the known ones, its tokens must do so too.
splice token_stream::TakeRepeated(const token_event& event) {
  if (event.offset != repeated_->offset) {
    return event.offset > repeated_->offset ? splice::kGap : splice::kDoubled;
  }
  const std::string_view whole = text_;
  const std::string_view known = whole.substr(repeated_->bytes);
  const std::string_view words = event.text;
  const std::uint64_t end = event.offset + event.count;
  const std::size_t shared = std::min(known.size(), words.size());
  const bool same = known.substr(0, shared) == words.substr(0, shared);
  if (!same || (end > next_) != (words.size() > known.size()) ||
      (end == next_) != (words.size() == known.size())) {
    return splice::kDiverged;
  }
  repeated_ = boundary{end, repeated_->bytes + shared};
  if (end >= next_) {
    repeated_.reset();
  }
  if (end > next_) {
    Append(next_, end - next_, words.substr(shared));
  }
  return splice::kAppended;
}

splice token_stream::TakeOverlapping(const token_event& event) {
  const boundary* start = BoundaryAt(event.offset);
  const std::uint64_t end = event.offset + event.count;
  if (start == nullptr) {
    // Starts inside an event taken before: where its first token lies in our
    // text is not known. All of it old is harmless, anything new in it cannot
    // be cut out exactly.
    return end <= next_ ? splice::kDoubled : splice::kDiverged;
  }
  const std::string_view whole = text_;
  const std::string_view known = whole.substr(start->bytes);
  const std::string_view repeated = event.text;
  if (end <= next_) {
    return known.starts_with(repeated) ? splice::kDoubled : splice::kDiverged;
  }
  if (!repeated.starts_with(known)) {
    return splice::kDiverged;
  }
  Append(next_, end - next_, repeated.substr(known.size()));
  return splice::kAppended;
}

void token_stream::Append(std::uint64_t offset, std::uint64_t count,
                          std::string_view text) {
  boundaries_.push_back({offset, text_.size()});
  text_ += text;
  next_ = offset + count;
  if (!text.empty()) {
    on_text_(offset, text);
  }
}

const token_stream::boundary* token_stream::BoundaryAt(
    std::uint64_t offset) const {
  const auto found =
      std::lower_bound(boundaries_.begin(), boundaries_.end(), offset,
                       [](const boundary& each, std::uint64_t wanted) {
                         return each.offset < wanted;
                       });
  if (found == boundaries_.end() || found->offset != offset) {
    return nullptr;
  }
  return &*found;
}

}  // namespace slatestall
