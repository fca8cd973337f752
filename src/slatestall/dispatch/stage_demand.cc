#include "slatestall/dispatch/stage_demand.h"

#include <algorithm>

namespace slatestall {
namespace {

/// Kinds that are told apart at one shard.
constexpr std::size_t kMostKinds = 64;
/// A kind that is admitted less often than this part of what all are is served
/// badly, however urgent the others are.
constexpr double kLeastPart = 0.5;
/// Seconds of work that a kind must have asked to be judged.
constexpr double kLeastAsked = 0.05;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void stage_demand::NoteAsked(std::uint64_t kind, int rank, duration work,
                             duration horizon, time_point now) {
  if (!kinds_.contains(kind)) {
    MakeRoom(now);
  }
  auto& one = kinds_[kind];
  one.rank = rank;
  one.horizon = horizon;
  one.asked.Add(Seconds(work), now);
  asked_.Add(Seconds(work), now);
}

void stage_demand::NoteAdmitted(std::uint64_t kind, duration work,
                                time_point now) {
  const auto found = kinds_.find(kind);
  if (found != kinds_.end()) {
    found->second.admitted.Add(Seconds(work), now);
  }
  admitted_.Add(Seconds(work), now);
}

void stage_demand::MakeRoom(time_point now) {
  if (kinds_.size() < kMostKinds) {
    return;
  }
  kinds_.erase(std::min_element(
      kinds_.begin(), kinds_.end(), [now](const auto& a, const auto& b) {
        return a.second.asked.Value(now) < b.second.asked.Value(now);
      }));
}

duration stage_demand::ExpectedBefore(time_point due, int rank,
                                      time_point now) const {
  double seconds = 0;
  for (const auto& [kind, one] : kinds_) {
    const duration window = due - now - one.horizon;
    if (one.rank < rank && window > duration(0)) {
      seconds += one.asked.Rate(now) * Seconds(window);
    }
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

double stage_demand::Ratio(const kind_demand& one, time_point now) const {
  const double asked = one.asked.Value(now);
  return asked < kLeastAsked ? 1.0 : one.admitted.Value(now) / asked;
}

double stage_demand::RatioOfAll(time_point now) const {
  const double asked = asked_.Value(now);
  return asked < kLeastAsked ? 1.0 : admitted_.Value(now) / asked;
}

bool stage_demand::IsStarved(const kind_demand& one, double ratio_of_all,
                             time_point now) const {
  return Ratio(one, now) < kLeastPart * ratio_of_all;
}

bool stage_demand::IsStarved(std::uint64_t kind, time_point now) const {
  const auto found = kinds_.find(kind);
  return found != kinds_.end() &&
         IsStarved(found->second, RatioOfAll(now), now);
}

bool stage_demand::AnyStarved(time_point now) const {
  const double ratio_of_all = RatioOfAll(now);
  return std::any_of(kinds_.begin(), kinds_.end(), [&](const auto& known) {
    return IsStarved(known.second, ratio_of_all, now);
  });
}

bool stage_demand::IsFavoured(std::uint64_t kind, time_point now) const {
  const auto found = kinds_.find(kind);
  return found != kinds_.end() && Ratio(found->second, now) > RatioOfAll(now);
}

}  // namespace slatestall
