#include "slatestall/serve/pipeline_run.h"

#include <algorithm>
#include <utility>

#include "slatestall/serve/repeatability.h"

namespace slatestall {

pipeline_run::pipeline_run(const lane_environment& environment, run_spec spec,
                           run_hooks hooks)
    : environment_(environment),
      spec_(std::move(spec)),
      hooks_(std::move(hooks)) {
  for (std::size_t i = 0; i < spec_.pipeline->stages.size(); ++i) {
    at_most_once_.push_back(
        IsAtMostOnce(spec_.configuration->content, *spec_.pipeline, i));
  }
}

void pipeline_run::Start() { StartStage(); }

void pipeline_run::Cancel(attempt_use use) {
  ended_ = true;
  if (runner_) {
    runner_->Cancel(use);
  }
}

const service_config* pipeline_run::Service(std::size_t stage) const {
  const auto& services = spec_.configuration->content.services;
  const auto found = services.find(spec_.pipeline->stages[stage].service);
  return found == services.end() ? nullptr : &found->second;
}

bool pipeline_run::IsLastEngine(std::size_t stage) const {
  for (std::size_t i = spec_.pipeline->stages.size(); i-- > 0;) {
    const service_config* service = Service(i);
    if (service != nullptr && service->kind == service_kind::kEngine) {
      return i == stage;
    }
  }
  return false;
}

void pipeline_run::StartStage() {
  const service_config* service = Service(stage_);
  if (service == nullptr) {
    return OnStageFailure(
        {error_kind::kInternal, "the stage's service is not configured", {}});
  }
  stage_spec stage;
  stage.request = spec_.request;
  stage.workspace = spec_.workspace;
  stage.pipeline = spec_.pipeline.get();
  stage.stage = stage_;
  stage.kind = service->kind;
  stage.data = &spec_.data;
  stage.deadline = spec_.deadline;
  stage.at_most_once = at_most_once_[stage_];
  stage.streams = spec_.stream && service->kind == service_kind::kEngine &&
                  stage_ + 1 == spec_.pipeline->stages.size();
  stage.lower_max_tokens = IsLastEngine(stage_);
  runner_ =
      std::make_shared<stage_runner>(environment_, std::move(stage), Hooks());
  const auto runner = runner_;
  runner->Start();
}

stage_hooks pipeline_run::Hooks() {
  const auto weak = weak_from_this();
  stage_hooks hooks;
  hooks.on_text = [weak](std::uint64_t offset, std::string_view text) {
    if (const auto self = weak.lock(); self && !self->ended_) {
      self->hooks_.on_text(offset, text);
    }
  };
  hooks.on_answer = [weak](stage_output output, stage_summary summary) {
    if (const auto self = weak.lock()) {
      self->OnStageAnswer(std::move(output), std::move(summary));
    }
  };
  hooks.on_failure = [weak](request_failure failure) {
    if (const auto self = weak.lock()) {
      self->OnStageFailure(std::move(failure));
    }
  };
  hooks.may_dispatch = hooks_.may_dispatch;
  hooks.on_usage = hooks_.on_usage;
  hooks.note = hooks_.note;
  return hooks;
}

void pipeline_run::OnStageAnswer(stage_output output, stage_summary summary) {
  if (ended_) {
    return;
  }
  spec_.data.Apply(std::move(output),
                   Service(stage_)->kind == service_kind::kEngine);
  summaries_.push_back(std::move(summary));
  ++stage_;
  if (stage_ == spec_.pipeline->stages.size()) {
    return Answer();
  }
  StartStage();
}

void pipeline_run::OnStageFailure(request_failure failure) {
  if (ended_) {
    return;
  }
  ended_ = true;
  hooks_.on_failure(std::move(failure));
}

bool pipeline_run::HasText() const {
  for (std::size_t i = 0; i < spec_.pipeline->stages.size(); ++i) {
    const service_kind kind = Service(i)->kind;
    if (kind == service_kind::kEngine || kind == service_kind::kPlain) {
      return true;
    }
  }
  return false;
}

void pipeline_run::Answer() {
  ended_ = true;
  run_answer answer;
  if (HasText()) {
    answer.text = std::move(spec_.data.text);
  }
  answer.documents = std::move(spec_.data.documents);
  answer.raw = std::move(spec_.data.raw);
  answer.stages = std::move(summaries_);
  hooks_.on_answer(std::move(answer));
}

ran pipeline_run::RanOf(bool at_most_once_only) const {
  ran worst = ran::kNo;
  for (std::size_t i = 0; i < at_most_once_.size() && i <= stage_; ++i) {
    if (at_most_once_only && !at_most_once_[i]) {
      continue;
    }
    if (i < stage_) {
      worst = ran::kYes;
    } else if (runner_ && worst == ran::kNo && runner_->MayHaveRun()) {
      worst = ran::kMaybe;
    }
  }
  return worst;
}

ran pipeline_run::CommittedRan() const { return RanOf(true); }

ran pipeline_run::Ran() const {
  const bool has_at_most_once =
      std::any_of(at_most_once_.begin(), at_most_once_.end(),
                  [](bool each) { return each; });
  return RanOf(has_at_most_once);
}

bool pipeline_run::RetryIsSafe() const { return !Committed(); }

}  // namespace slatestall
