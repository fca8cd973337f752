#include "slatestall/policy/claim_layout.h"

#include <algorithm>

namespace slatestall {
namespace {

constexpr std::chrono::seconds kConfirmEvery{3600};  // Retention not known.
constexpr int kMarksPerRetention = 4;

}  // namespace

claim_layout::claim_layout(std::uint32_t partitions,
                           std::chrono::seconds retention)
    : partitions_(std::max(partitions, 1U)),
      confirm_every_(retention.count() > 0
                         ? duration(retention) / kMarksPerRetention
                         : duration(kConfirmEvery)) {}

// Two hosts that found the stream empty at the same time both write a first
// mark, and an append whose answer was lost may land late. Only one of them
// lands where it was meant to, so the other never counts, also not once the log
// has forgotten the one that did.
void claim_layout::Read(
    std::uint64_t first, std::uint64_t next,
    const std::vector<std::pair<std::uint64_t, layout_mark>>& marks,
    time_point now) {
  if (first >= next) {
    in_log_.reset();  // All marks have expired: nobody has claimed for long.
  }
  for (const auto& [position, mark] : marks) {
    const bool counts = !mark.founded_at || *mark.founded_at == position;
    if (position < read_from_ || !counts) {
      continue;
    }
    if (!in_log_) {
      in_log_ = mark.partitions;
    }
    marked_ = now;
  }
  const std::uint64_t end = marks.empty() ? next : marks.back().first + 1;
  read_from_ = std::max({read_from_, first, end});
  complete_ = read_from_ >= next;
}

std::optional<layout_mark> claim_layout::Due(time_point now) const {
  if (!complete_) {
    return std::nullopt;
  }
  if (!in_log_) {
    return layout_mark{partitions_, read_from_};
  }
  if (!Agrees() || now - marked_ < confirm_every_) {
    return std::nullopt;
  }
  return layout_mark{partitions_, std::nullopt};
}

void claim_layout::Sent(time_point now) {
  complete_ = false;
  marked_ = now;
}

}  // namespace slatestall
