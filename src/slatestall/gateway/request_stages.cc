// The stages of a request: where, when and for how long.
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/dispatch/endpoint_pick.h"
#include "slatestall/gateway/request_run.h"
#include "slatestall/model/ids.h"

namespace slatestall {

/// Room in all stages is asked for before the first begins: a request that
/// would not get through the last one takes nothing from those that do.
void request_run::Book() {
  if (graph_->AllDone()) {
    Dispatch();
    return;
  }
  PlaceStages();
  if (!environment_.options.Uses(mechanism::kBookings)) {
    Advance();
    return;
  }
  std::vector<stage_need> needs;
  for (auto& [stage, one] : in_hand_) {
    needs.push_back(NeedOf(stage, one.shard));
    one.booking = needs.back();
  }
  stages_.book(std::move(needs),
               [self = shared_from_this()](const booking_answer& answer) {
                 self->OnBooked(answer);
               });
}

/// Chooses the shard of each stage that has pieces.
void request_run::PlaceStages() {
  std::string chain_domain;
  for (std::size_t i = 0; i < graph_->Size(); ++i) {
    if (graph_->Pieces(i) == 0) {
      continue;
    }
    const auto engine_domain =
        booked_elsewhere_ ? std::string() : EngineDomain(i);
    const auto& near = engine_domain.empty() ? chain_domain : engine_domain;
    const auto shard =
        stages_.shard_for(route_->stages[i].service, facts_.id, near, regions_);
    if (engine_domain.empty() && !shard.domain.empty()) {
      chain_domain = shard.domain;
    }
    in_hand_[i].shard = shard;
  }
}

int request_run::StageRank() const {
  return environment_.options.Uses(mechanism::kRankMargins) ? rank_ : 0;
}

/// Hosts that have the same configuration agree on it.
std::uint64_t request_run::KindOf(std::size_t stage) const {
  return StableHash(route_->name, stage);
}

stage_need request_run::NeedOf(std::size_t stage,
                               const stage_shard& shard) const {
  stage_need need;
  need.shard = shard;
  need.booking.request = facts_.id;
  need.booking.content = Digest();
  need.booking.workspace = workspace_;
  need.booking.kind = KindOf(stage);
  need.booking.stage = static_cast<unsigned>(stage);
  need.booking.pieces = graph_->Pieces(stage);
  need.booking.rank = StageRank();
  need.booking.due = environment_.now() + TimeBefore(stage);
  const duration rest = TimeAfter(stage);
  need.booking.useful_by = objective_ - rest;
  need.booking.worthless_after = deadline_ - rest;
  if (!environment_.options.Uses(mechanism::kLateAdmission)) {
    need.booking.worthless_after = need.booking.due;
  }
  return need;
}

void request_run::OnBooked(const booking_answer& answer) {
  if (finished_) {
    return;
  }
  const bool refused = answer.verdict == booking_verdict::kRefused;
  // A place near the bytes is worth less than an answer in time.
  if (refused) {
    TakeBookings();
  }
  if (refused && !booked_elsewhere_ && HasChoice()) {
    booked_elsewhere_ = true;
    Book();
    return;
  }
  if (!refused) {
    booked_ = answer.verdict;
    Advance();
    return;
  }
  Refuse({error_kind::kOverloaded, "a stage has no room for it in time",
          ReturnTime(WholeMilliseconds(answer.room_after))});
}

/// Whether some stage could be made in another failure domain.
bool request_run::HasChoice() const {
  return std::any_of(in_hand_.begin(), in_hand_.end(), [](const auto& item) {
    return !item.second.shard.domain.empty();
  });
}

std::vector<stage_need> request_run::TakeBookings() {
  std::vector<stage_need> needs;
  for (auto& [stage, one] : in_hand_) {
    if (const auto need = std::exchange(one.booking, std::nullopt)) {
      needs.push_back(*need);
    }
  }
  return needs;
}

void request_run::ReleaseBookings() {
  if (const auto needs = TakeBookings(); !needs.empty()) {
    stages_.release(needs);
  }
}

void request_run::Advance() {
  if (graph_->AllDone()) {
    Dispatch();
    return;
  }
  for (const auto stage : graph_->TakeReady()) {
    BeginStage(stage);
  }
}

void request_run::BeginStage(std::size_t stage) {
  piece_group group;
  group.request = facts_.id;
  group.content = Digest();
  group.workspace = workspace_;
  group.kind = KindOf(stage);
  group.stage = static_cast<unsigned>(stage);
  group.pieces = graph_->Pieces(stage);
  group.inputs = graph_->InputsOf(stage);
  if (group.inputs.empty()) {
    group.key = facts_.piece_key;
  }
  group.rank = StageRank();
  group.regions = regions_;
  const duration rest = TimeAfter(stage);
  group.useful_by = objective_ - rest;
  group.worthless_after = deadline_ - rest;
  const auto* rule = table_->Service(route_->stages[stage].service);
  if (!group.inputs.empty() && rule != nullptr && rule->batches) {
    // Made later, it would find its inputs dropped.
    group.worthless_after =
        std::min(group.worthless_after,
                 environment_.now() + rule->batches->keep_time * 3 / 4);
  }
  group.result_bytes = route_->stages[stage].result_bytes;
  group.near = PlaceOf(stage, group);
  auto& begun = in_hand_.at(stage);
  begun.booking.reset();
  spans_.NoteBegun(stage, environment_.now());
  begun.running =
      stages_.submit(begun.shard, std::move(group),
                     [self = shared_from_this(), stage](stage_outcome outcome) {
                       if (!self->finished_) {
                         self->OnStage(stage, std::move(outcome));
                       }
                     });
}

/// Failure domain in which most of these results lie.
std::string request_run::DomainOf(
    const std::vector<std::string>& handles) const {
  std::map<std::string, std::size_t> counts;
  std::string most;
  for (const auto& handle : handles) {
    const auto record =
        environment_.roster.FindAt(environment_.protocol.keeper_of(handle));
    if (!record) {
      continue;
    }
    const auto& domain = record->Info().failure_domain;
    ++counts[domain];
    if (most.empty() || counts[domain] > counts[most]) {
      most = domain;
    }
  }
  return most;
}

/// Bytes between failure domains are dear. Pieces that read much are best made
/// where it lies; large results of a last stage where the engine is that keeps
/// the request's prompt.
std::string request_run::PlaceOf(std::size_t stage,
                                 const piece_group& group) const {
  if (!environment_.options.Uses(mechanism::kNearResults)) {
    return {};
  }
  std::uint64_t input_bytes = 0;
  for (const auto earlier : graph_->After(stage)) {
    input_bytes +=
        route_->stages[earlier].result_bytes * graph_->Pieces(earlier);
  }
  if (!group.inputs.empty()) {
    return input_bytes * group.pieces >= kManyBytes ? DomainOf(group.inputs)
                                                    : std::string();
  }
  return EngineDomain(stage);
}

/// Failure domain of the engine that keeps the request's prompt, for a stage
/// that hands large results to it.
std::string request_run::EngineDomain(std::size_t stage) const {
  const auto bytes = route_->stages[stage].result_bytes * graph_->Pieces(stage);
  if (graph_->Height(stage) > 1 || bytes < kManyBytes) {
    return {};
  }
  const auto engine = PickEndpoint(environment_.roster.Of(service_), NewPick());
  return engine ? engine->Info().failure_domain : std::string();
}

std::uint64_t request_run::FinalBytes() const {
  std::uint64_t bytes = 0;
  for (std::size_t i = 0; i < graph_->Size(); ++i) {
    if (graph_->Height(i) == 1) {
      bytes += route_->stages[i].result_bytes * graph_->Pieces(i);
    }
  }
  return bytes;
}

void request_run::OnStage(std::size_t stage, stage_outcome outcome) {
  in_hand_.at(stage).running = 0;
  switch (outcome.end) {
    case stage_end::kMade:
      spans_.NoteMade(stage, environment_.now());
      graph_->SetDone(stage, std::move(outcome.handles));
      stages_.free(graph_->SpentBy(stage));
      Advance();
      return;
    case stage_end::kInputsGone:
      if (MayRestartStages()) {
        RestartStages();
        return;
      }
      break;
    case stage_end::kDisplaced:
    case stage_end::kTooLate:
    case stage_end::kFailed:
      break;
  }
  GiveUp(attempt_failure::kNotRun,
         "stage " + std::to_string(stage) + " could not be made");
}

bool request_run::MayRestartStages() const {
  return stage_restarts_ < kMaxStageRestarts &&
         environment_.options.Uses(mechanism::kResultRestart);
}

void request_run::CancelStages() {
  for (auto& [stage, one] : in_hand_) {
    if (const auto running = std::exchange(one.running, 0); running != 0) {
      stages_.cancel(running);
    }
  }
}

void request_run::RestartStages() {
  ++stage_restarts_;
  CancelStages();
  stages_.free(graph_->AllHandles());
  graph_->Reset();
  environment_.log.Write("stages_restarted", {{"request", facts_.id},
                                              {"left_ms", TimeLeft().count()}});
  Advance();
}

}  // namespace slatestall
