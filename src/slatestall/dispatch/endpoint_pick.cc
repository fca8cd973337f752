#include "slatestall/dispatch/endpoint_pick.h"

#include <algorithm>
#include <limits>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// A home endpoint is used while it has at most this many times the mean
/// number of calls, and some more: the usual bound of consistent hashing with
/// bounded loads. A cached part of some thousand tokens saves as long as three
/// other requests cost.
constexpr double kHomeLoadFactor = 1.25;
constexpr double kHomeLoadExtra = 3.0;
constexpr std::size_t kHomesOfPrompt = 2;
/// Slower than this against the mean, a home has lost its advantage.
constexpr double kHomeSlownessFactor = 2.0;
/// Weight of a failure share above the service's mean. A seventh of failures
/// is ordinary for some services; an endpoint that fails a third more than the
/// others is worth four times the wait elsewhere.
constexpr double kFailureWeight = 10.0;
/// A fetch of inputs from another failure domain against half a call's wait.
constexpr double kFarFactor = 1.5;
/// Cost of a call that waits for nobody, in calls.
constexpr double kOwnCall = 1.0;

bool Tried(const pick_request& request, const endpoint_record& record) {
  return std::find(request.tried.begin(), request.tried.end(),
                   record.Info().id) != request.tried.end();
}

struct service_means {
  double busy = 0;
  double slowness = 0;
  double failures = 0;
};

class endpoint_picker {
 public:
  endpoint_picker(const std::vector<endpoint_record_ptr>& all,
                  const pick_request& request)
      : request_(request) {
    for (const auto& record : all) {
      if (record->Usable() && !Tried(request, *record)) {
        usable_.push_back(record.get());
        whole_.push_back(record);
      }
    }
    DropAvoided();
    Average();
  }

  endpoint_record_ptr Pick() const {
    if (usable_.empty()) {
      return nullptr;
    }
    if (request_.shared_prompt != 0) {
      if (const auto* home = Home()) {
        return Whole(home);
      }
    }
    return Whole(Least());
  }

 private:
  /// Endpoints that fail are left alone, unless no other is left: then the one
  /// that was left alone longest may have recovered.
  void DropAvoided() {
    std::vector<const endpoint_record*> calm;
    for (const auto* record : usable_) {
      if (!record->Avoided(request_.now)) {
        calm.push_back(record);
      }
    }
    if (!calm.empty()) {
      usable_ = std::move(calm);
      return;
    }
    std::sort(usable_.begin(), usable_.end(), [](const auto* a, const auto* b) {
      return a->AvoidUntil() < b->AvoidUntil();
    });
    if (usable_.size() > 1) {
      usable_.resize(1);
    }
  }

  void Average() {
    if (usable_.empty()) {
      return;
    }
    for (const auto* record : usable_) {
      means_.busy += record->Busy(request_.now);
      means_.slowness += record->Slowness();
      means_.failures += record->FailureShare();
    }
    const auto count = static_cast<double>(usable_.size());
    means_.busy /= count;
    means_.slowness /= count;
    means_.failures /= count;
  }

  const endpoint_record* Home() const {
    std::vector<std::pair<std::uint64_t, const endpoint_record*>> ranked;
    ranked.reserve(usable_.size());
    for (const auto* record : usable_) {
      ranked.emplace_back(StableHash(record->Info().id, request_.shared_prompt),
                          record);
    }
    const std::size_t homes = std::min(kHomesOfPrompt, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(homes),
                      ranked.end(), std::greater<>());
    for (std::size_t i = 0; i < homes; ++i) {
      if (HasRoom(*ranked[i].second)) {
        return ranked[i].second;
      }
    }
    return nullptr;
  }

  bool HasRoom(const endpoint_record& record) const {
    return record.Busy(request_.now) <=
               kHomeLoadFactor * means_.busy + kHomeLoadExtra &&
           record.Slowness() <= kHomeSlownessFactor * means_.slowness &&
           FailureFactor(record) < kHomeSlownessFactor;
  }

  double FailureFactor(const endpoint_record& record) const {
    return 1.0 + kFailureWeight *
                     std::max(0.0, record.FailureShare() - means_.failures);
  }

  double Cost(const endpoint_record& record) const {
    const double slots = std::max(1U, record.Info().slots);
    const double busy = record.Busy(request_.now) / slots;
    const bool is_far =
        !request_.near.empty() && request_.near != record.Info().failure_domain;
    return (kOwnCall + busy) * record.Slowness() * FailureFactor(record) *
           (is_far ? kFarFactor : 1.0);
  }

  /// Ties go by a hash of the moment, so that hosts that know equally little
  /// do not all choose the same endpoint.
  const endpoint_record* Least() const {
    const auto seed =
        static_cast<std::uint64_t>(request_.now.time_since_epoch().count());
    const endpoint_record* best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    std::uint64_t tie = 0;
    for (const auto* record : usable_) {
      const double cost = Cost(*record);
      const std::uint64_t draw = StableHash(record->Info().id, seed);
      if (cost < least || (cost == least && draw > tie)) {
        best = record;
        least = cost;
        tie = draw;
      }
    }
    return best;
  }

  endpoint_record_ptr Whole(const endpoint_record* record) const {
    for (const auto& candidate : whole_) {
      if (candidate.get() == record) {
        return candidate;
      }
    }
    return nullptr;
  }

  const pick_request& request_;
  std::vector<const endpoint_record*> usable_;
  std::vector<endpoint_record_ptr> whole_;
  service_means means_;
};

}  // namespace

endpoint_record_ptr PickEndpoint(const std::vector<endpoint_record_ptr>& all,
                                 const pick_request& request) {
  return endpoint_picker(all, request).Pick();
}

}  // namespace slatestall
