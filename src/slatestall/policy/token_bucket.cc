#include "slatestall/policy/token_bucket.h"

#include <algorithm>
#include <utility>

#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

// A thread's part of a limit is often below one request a second, where even
// arrivals come in twos and threes; the burst must hold those. It stays under
// ten seconds of the rate, so that many threads together cannot exceed the
// limit for long.
constexpr double kBurstSeconds = 3;
constexpr double kSmallBurst = 4;
constexpr double kSmallBurstSeconds = 10;

}  // namespace

void token_bucket::SetRate(double rate) {
  rate_ = rate;
  const double small = std::min(kSmallBurst, rate * kSmallBurstSeconds);
  // However small the share, it lets one request through now and then.
  burst_ = std::max({1.0, small, rate * kBurstSeconds});
  level_ = fresh_ ? burst_ : std::min(level_, burst_);
  fresh_ = false;
}

double token_bucket::Add(double tokens) {
  const double wanted = level_ + tokens;
  level_ = std::min(wanted, burst_);
  return wanted - level_;
}

void class_buckets::SetRate(double rate, time_point now) {
  if (limited_) {
    Refill(now);
  }
  refilled_ = now;
  limited_ = rate > 0;
  if (!limited_) {
    buckets_ = {};
    return;
  }
  buckets_[IndexOf(priority_class::kInteractive)].SetRate(rate *
                                                          (1 - batch_share_));
  buckets_[IndexOf(priority_class::kBatch)].SetRate(rate * batch_share_);
}

void class_buckets::Refill(time_point now) {
  const double elapsed = std::max(0.0, Seconds(now - refilled_));
  refilled_ = std::max(refilled_, now);
  std::array<double, kPriorityClasses> spill{};
  for (std::size_t i = 0; i < kPriorityClasses; ++i) {
    spill[i] = buckets_[i].Add(buckets_[i].Rate() * elapsed);
  }
  for (std::size_t i = 0; i < kPriorityClasses; ++i) {
    buckets_[i].Add(spill[1 - i]);
  }
}

bool class_buckets::Covers(priority_class priority, double tokens,
                           time_point now) {
  if (!limited_) {
    return true;
  }
  Refill(now);
  // Rounding in the refill must not hold back a token that is due.
  constexpr double kSlack = 1e-9;
  return buckets_[IndexOf(priority)].Level() + kSlack >= tokens;
}

void class_buckets::Charge(priority_class priority, double tokens) {
  if (limited_) {
    buckets_[IndexOf(priority)].Charge(tokens);
  }
}

double class_buckets::SecondsUntil(priority_class priority,
                                   double tokens) const {
  const token_bucket& bucket = buckets_[IndexOf(priority)];
  if (!limited_ || bucket.Rate() <= 0) {
    return 0;
  }
  return std::max(0.0, tokens - bucket.Level()) / bucket.Rate();
}

}  // namespace slatestall
