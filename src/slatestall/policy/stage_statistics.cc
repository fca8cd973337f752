#include "slatestall/policy/stage_statistics.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

constexpr double kLikely = 0.80;
constexpr double kFewestSamples = 5;
constexpr double kManySamples = 100;
constexpr unsigned kRefreshEvery = 16;

}  // namespace

void stage_latency::Add(duration value, time_point now) {
  histogram_.Add(value, now);
  ++unseen_;
  if (unseen_ >= kRefreshEvery || histogram_.Count() < kManySamples) {
    Refresh();
  }
}

void stage_latency::Refresh() {
  unseen_ = 0;
  summary_.known = histogram_.Count() >= kFewestSamples;
  if (!summary_.known) {
    summary_ = {};
    return;
  }
  summary_.fast = histogram_.Quantile(0.10);
  summary_.median = histogram_.Quantile(0.50);
  summary_.likely = histogram_.Quantile(kLikely);
  summary_.high = histogram_.Quantile(0.95);
  summary_.worst = histogram_.Quantile(0.99);
}

stage_statistics& pipeline_statistics::Stage(const pipeline_config& pipeline,
                                             std::size_t index) {
  if (!Matches(pipeline, index)) {
    Reshape(pipeline);
  }
  return stages_.at(index);
}

stage_statistics* pipeline_statistics::Find(std::size_t index) {
  return index < stages_.size() ? &stages_[index] : nullptr;
}

double pipeline_statistics::SumFrom(std::size_t first,
                                    double latency_summary::*quantile) const {
  double sum = 0;
  for (std::size_t i = first; i < stages_.size(); ++i) {
    sum += stages_[i].answer.Summary().*quantile;
  }
  return sum;
}

double pipeline_statistics::FastFrom(std::size_t first) const {
  return SumFrom(first, &latency_summary::fast);
}

double pipeline_statistics::MedianFrom(std::size_t first) const {
  return SumFrom(first, &latency_summary::median);
}

double pipeline_statistics::LikelyFrom(std::size_t first) const {
  return SumFrom(first, &latency_summary::likely);
}

double pipeline_statistics::HighFrom(std::size_t first) const {
  return SumFrom(first, &latency_summary::high);
}

bool pipeline_statistics::Matches(const pipeline_config& pipeline,
                                  std::size_t index) const {
  return stages_.size() == pipeline.stages.size() && index < stages_.size() &&
         stages_[index].name == pipeline.stages[index].name &&
         stages_[index].service == pipeline.stages[index].service;
}

void pipeline_statistics::Reshape(const pipeline_config& pipeline) {
  std::vector<stage_statistics> old = std::move(stages_);
  stages_.clear();
  for (const stage_config& stage : pipeline.stages) {
    const auto same =
        std::find_if(old.begin(), old.end(), [&](const auto& known) {
          return known.name == stage.name && known.service == stage.service;
        });
    if (same != old.end()) {
      stages_.push_back(std::move(*same));
      old.erase(same);
      continue;
    }
    stages_.push_back({stage.name,
                       stage.service,
                       {},
                       {},
                       {},
                       {},
                       attempt_budget(retry_share_),
                       attempt_budget(hedge_share_)});
  }
}

}  // namespace slatestall
