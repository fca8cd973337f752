#include "slatestall/policy/latency_histogram.h"

#include <boost/histogram/make_histogram.hpp>

#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

constexpr unsigned kBuckets = 84;  // 14 a decade: steps of 18 %.
constexpr double kShortest = 1e-4;
constexpr double kLongest = 100;

// Half-life of 32 s, applied in quarters: long enough to hold a tail quantile
// at a few calls a second, short enough to follow a slow hour of an engine.
constexpr auto kFadeInterval = std::chrono::seconds(8);
constexpr float kFadeFactor = 0.8409F;  // 2^(-1/4)
constexpr int kMostSteps = 64;          // Beyond it nothing is left.

}  // namespace

latency_histogram::latency_histogram()
    : buckets_(std::make_tuple(log_axis(kBuckets, kShortest, kLongest)),
               boost::histogram::storage_adaptor<std::vector<float>>{}) {}

void latency_histogram::Add(duration value, time_point now) {
  Fade(now);
  buckets_(Seconds(value));
  count_ += 1;
}

void latency_histogram::Fade(time_point now) {
  if (faded_ == time_point{}) {
    faded_ = now;
  }
  for (int steps = 0; now - faded_ >= kFadeInterval; ++steps) {
    if (steps == kMostSteps) {
      faded_ = now;
      return;
    }
    buckets_ *= kFadeFactor;
    count_ *= kFadeFactor;
    faded_ += kFadeInterval;
  }
}

double latency_histogram::Quantile(double share) const {
  const double wanted = share * count_;
  const log_axis& axis = buckets_.axis();
  double below = buckets_.at(-1);
  if (count_ <= 0 || below >= wanted) {
    return count_ <= 0 ? 0 : kShortest;
  }
  for (int i = 0; i < axis.size(); ++i) {
    const double here = buckets_.at(i);
    if (here > 0 && below + here >= wanted) {
      const double part = (wanted - below) / here;
      return axis.value(i + part);
    }
    below += here;
  }
  return kLongest;
}

}  // namespace slatestall
