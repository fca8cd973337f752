#include "slatestall/dispatch/endpoint_pick.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// A home endpoint is used while it has at most this many times the mean
/// number of calls, and some more: the usual bound of consistent hashing with
/// bounded loads. A cached part of some thousand tokens saves as long as three
/// other requests cost.
constexpr double kHomeLoadFactor = 1.25;
constexpr double kHomeLoadExtra = 3.0;
/// An endpoint that runs less than this part of what it can run at a time makes
/// nobody wait for a place.
constexpr double kLightPart = 0.25;
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
                   record.Info().Incarnation()) != request.tried.end();
}

struct service_means {
  double busy = 0;
  double slowness = 0;
  double failures = 0;
};

/// Its load is estimated once a choice: that takes most of the choice's time.
struct candidate {
  const endpoint_record_ptr* whole;
  double busy;

  const endpoint_record& Record() const { return **whole; }
};

class endpoint_picker {
 public:
  endpoint_picker(const std::vector<endpoint_record_ptr>& all,
                  const pick_request& request)
      : request_(request) {
    candidates_.reserve(all.size());
    for (const auto& record : all) {
      if (!record->TakesCalls(request.now) || Tried(request, *record) ||
          (request.may_use && !request.may_use(record->Info())) ||
          (request.may_call && !request.may_call(*record))) {
        continue;
      }
      const bool is_cold = request.may_use_cold && record->Cold(request.now);
      auto& into = is_cold ? cold_ : candidates_;
      into.push_back({&record, record->Busy(request.now)});
    }
    DropAvoided();
    AddColdWhereNeeded();
    Average();
  }

  endpoint_record_ptr Pick() const {
    if (candidates_.empty()) {
      return nullptr;
    }
    const candidate* home = request_.shared_prompt != 0 ? Home() : nullptr;
    return *(home != nullptr ? home : Least())->whole;
  }

 private:
  /// Endpoints that fail are left alone, unless no other is left: then the one
  /// that was left alone longest may have recovered.
  void DropAvoided() {
    const auto is_avoided = [this](const candidate& one) {
      return one.Record().Avoided(request_.now);
    };
    if (candidates_.empty()) {
      return;
    }
    if (!std::all_of(candidates_.begin(), candidates_.end(), is_avoided)) {
      std::erase_if(candidates_, is_avoided);
      return;
    }
    const auto first = *std::min_element(
        candidates_.begin(), candidates_.end(),
        [](const candidate& a, const candidate& b) {
          return a.Record().AvoidUntil() < b.Record().AvoidUntil();
        });
    candidates_ = {first};
  }

  /// A cold endpoint bears little, and looks like the emptiest to all hosts at
  /// once.
  void AddColdWhereNeeded() {
    const bool warm_suffice = std::any_of(
        candidates_.begin(), candidates_.end(), [this](const candidate& one) {
          return one.busy < std::max(1U, one.Record().Info().slots) &&
                 !one.Record().Avoided(request_.now);
        });
    if (warm_suffice) {
      return;
    }
    std::copy_if(cold_.begin(), cold_.end(), std::back_inserter(candidates_),
                 [this](const candidate& one) {
                   return request_.may_use_cold(one.Record());
                 });
  }

  void Average() {
    if (candidates_.empty()) {
      return;
    }
    for (const auto& one : candidates_) {
      means_.busy += one.busy;
      means_.slowness += one.Record().Slowness();
      means_.failures += one.Record().FailureShare();
    }
    const auto count = static_cast<double>(candidates_.size());
    means_.busy /= count;
    means_.slowness /= count;
    means_.failures /= count;
  }

  /// The first of the prompt's homes, by rendezvous, that has room.
  const candidate* Home() const {
    std::array<std::pair<std::uint64_t, const candidate*>, kHomesOfPrompt>
        homes{};
    for (const auto& one : candidates_) {
      std::pair ranked{
          StableHash(one.Record().Info().id, request_.shared_prompt), &one};
      for (auto& home : homes) {
        if (home.second == nullptr || ranked.first > home.first) {
          std::swap(home, ranked);
        }
        if (ranked.second == nullptr) {
          break;
        }
      }
    }
    for (const auto& [rank, home] : homes) {
      if (home != nullptr && HasRoom(*home)) {
        return home;
      }
      if (request_.one_home) {
        break;
      }
    }
    return nullptr;
  }

  bool HasRoom(const candidate& one) const {
    const double light = kLightPart * one.Record().Info().slots;
    const double bound =
        std::max(light, kHomeLoadFactor * means_.busy + kHomeLoadExtra);
    return one.busy <= bound &&
           one.Record().Slowness() <= kHomeSlownessFactor * means_.slowness &&
           FailureFactor(one.Record()) < kHomeSlownessFactor;
  }

  double FailureFactor(const endpoint_record& record) const {
    return 1.0 + kFailureWeight *
                     std::max(0.0, record.FailureShare() - means_.failures);
  }

  double Cost(const candidate& one) const {
    const auto& record = one.Record();
    const double slots = std::max(1U, record.Info().slots);
    const double busy = one.busy / slots;
    const bool is_far =
        !request_.near.empty() && request_.near != record.Info().failure_domain;
    return (kOwnCall + busy) * record.Slowness() * record.Pace(request_.now) *
           FailureFactor(record) * (is_far ? kFarFactor : 1.0);
  }

  /// Ties go by a hash of the moment, so that hosts that know equally little
  /// do not all choose the same endpoint.
  const candidate* Least() const {
    const auto seed =
        static_cast<std::uint64_t>(request_.now.time_since_epoch().count());
    const candidate* best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    std::uint64_t tie = 0;
    for (const auto& one : candidates_) {
      const double cost = Cost(one);
      if (cost > least) {
        continue;
      }
      const std::uint64_t draw = StableHash(one.Record().Info().id, seed);
      if (cost < least || draw > tie) {
        best = &one;
        least = cost;
        tie = draw;
      }
    }
    return best;
  }

  const pick_request& request_;
  std::vector<candidate> candidates_;
  std::vector<candidate> cold_;
  service_means means_;
};

}  // namespace

endpoint_record_ptr PickEndpoint(const std::vector<endpoint_record_ptr>& all,
                                 const pick_request& request) {
  return endpoint_picker(all, request).Pick();
}

}  // namespace slatestall
