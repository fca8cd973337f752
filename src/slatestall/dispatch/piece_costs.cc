#include "slatestall/dispatch/piece_costs.h"

#include <algorithm>

namespace slatestall {
namespace {

/// Kinds of one shard whose costs are learnt.
constexpr std::size_t kMostKinds = 64;
/// Part of a call's difference that is learnt at once. Calls differ by some
/// per cent for reasons of their own.
constexpr double kStep = 0.3;
/// The configured time of a piece differs by stage, as a rule downwards.
constexpr double kLeastPart = 0.1;
constexpr double kMostPart = 1.5;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

double PlausiblePieceTime(double seconds, duration configured) {
  return std::clamp(seconds, Seconds(configured) * kLeastPart,
                    Seconds(configured) * kMostPart);
}

void piece_costs::Note(const kind_counts& pieces, duration taken,
                       duration configured) {
  ++calls_;
  double expected = 0;
  double square = 0;
  for (const auto& [kind, count] : pieces) {
    if (!kinds_.contains(kind)) {
      MakeRoom();
      kinds_[kind].seconds = Seconds(configured);
    }
    auto& one = kinds_[kind];
    one.last_seen = calls_;
    expected += one.seconds * count;
    square += static_cast<double>(count) * count;
  }
  if (square <= 0) {
    return;
  }
  const double difference = Seconds(taken) - expected;
  for (const auto& [kind, count] : pieces) {
    const auto found = kinds_.find(kind);
    if (found == kinds_.end()) {
      continue;  // Gave way to another kind of the same call.
    }
    auto& seconds = found->second.seconds;
    seconds = PlausiblePieceTime(seconds + kStep * difference * count / square,
                                 configured);
  }
}

duration piece_costs::PieceTime(std::uint64_t kind, duration otherwise) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end()
             ? otherwise
             : std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(found->second.seconds));
}

/// The kind that came least recently gives way.
void piece_costs::MakeRoom() {
  if (kinds_.size() >= kMostKinds) {
    kinds_.erase(std::min_element(
        kinds_.begin(), kinds_.end(), [](const auto& a, const auto& b) {
          return a.second.last_seen < b.second.last_seen;
        }));
  }
}

}  // namespace slatestall
