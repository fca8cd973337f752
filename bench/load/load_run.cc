#include "bench/load/load_run.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <cmath>

namespace slatestall {
namespace {

constexpr std::size_t kMaxDetails = 20;

double InMs(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

/// Nearest-rank quantiles in milliseconds.
nlohmann::json Quantiles(std::vector<double> values) {
  if (values.empty()) {
    return nullptr;
  }
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) {
    const double rank = std::ceil(share * static_cast<double>(values.size()));
    return values[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
  };
  return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}};
}

}  // namespace

load_run::load_run(load_context shared, const load_run_options& options)
    : shared_(shared), options_(options), random_(options.seed) {
  if (!options_.outcomes_path.empty()) {
    outcomes_.open(options_.outcomes_path);
  }
}

void load_run::Start() {
  const time_point now = std::chrono::steady_clock::now();
  start_ = now;
  end_ = now + options_.length;
  open_flows_ = options_.flows.size();
  for (const auto& flow : options_.flows) {
    flow_state& state = states_.emplace_back(shared_.event_loop);
    state.flow = &flow;
    state.next = now;
    ScheduleNext(state);
  }
}

void load_run::ScheduleNext(flow_state& state) {
  std::exponential_distribution<double> gap(state.flow->per_second);
  state.next += std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(gap(random_)));
  if (state.next >= end_) {
    --open_flows_;
    StopWhenDone();
    return;
  }
  state.timer.expires_at(state.next);
  state.timer.async_wait([this, &state](const std::error_code&) {
    Begin(state);
    ScheduleNext(state);
  });
}

void load_run::Begin(flow_state& state) {
  if (open_ >= options_.max_open) {
    ++state.skipped;
    return;
  }
  const load_flow& flow = *state.flow;
  const std::string marker = flow.name + "-" + std::to_string(options_.seed) +
                             "-" + std::to_string(state.sent);
  const std::string& workspace =
      flow.workspaces[state.sent % flow.workspaces.size()];
  ++state.sent;
  ++open_;
  const duration began = std::chrono::steady_clock::now() - start_;
  std::make_shared<request_run>(
      shared_, flow, marker, workspace,
      [this, &state, marker, began](const request_outcome& outcome) {
        Record(state, marker, began, outcome);
      })
      ->Start();
}

void load_run::Record(flow_state& state, const std::string& marker,
                      duration began, const request_outcome& outcome) {
  --open_;
  ++state.outcomes[outcome.kind];
  state.resends += outcome.resends;
  state.tokens += outcome.tokens;
  const bool is_whole = outcome.kind == outcome_kind::kFull ||
                        outcome.kind == outcome_kind::kLate;
  if (is_whole) {
    state.total_ms.push_back(InMs(outcome.total));
  } else if (state.details.size() < kMaxDetails) {
    ++state.details[outcome.detail];
  }
  if (is_whole && outcome.first_byte != duration{}) {
    state.first_byte_ms.push_back(InMs(outcome.first_byte));
  }
  if (is_whole) {
    state.gap_ms.insert(state.gap_ms.end(), outcome.gaps_ms.begin(),
                        outcome.gaps_ms.end());
  }
  if (outcomes_.is_open()) {
    const nlohmann::json line = {
        {"marker", marker},
        {"flow", state.flow->name},
        {"keyed", state.flow->key != key_source::kNone},
        {"outcome", NameIn(kOutcomeNames, outcome.kind)},
        {"began_ms", InMs(began)},
        {"ms", InMs(outcome.total)},
        {"resends", outcome.resends},
        {"detail", outcome.detail}};
    outcomes_ << line.dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << "\n";
  }
  StopWhenDone();
}

void load_run::StopWhenDone() {
  if (open_ == 0 && open_flows_ == 0) {
    shared_.hosts.Stop();
  }
}

nlohmann::json load_run::Summary() const {
  nlohmann::json summary = nlohmann::json::object();
  for (const auto& state : states_) {
    summary[state.flow->name] = SummaryOf(state);
  }
  return summary;
}

nlohmann::json load_run::SummaryOf(const flow_state& state) {
  nlohmann::json summary = {{"sent", state.sent},
                            {"skipped", state.skipped},
                            {"resends", state.resends},
                            {"tokens", state.tokens},
                            {"total_ms", Quantiles(state.total_ms)},
                            {"first_byte_ms", Quantiles(state.first_byte_ms)},
                            {"gap_ms", Quantiles(state.gap_ms)},
                            {"details", state.details}};
  for (const auto& entry : kOutcomeNames) {
    const auto found = state.outcomes.find(entry.value);
    summary[std::string(entry.name)] =
        found == state.outcomes.end() ? 0 : found->second;
  }
  return summary;
}

}  // namespace slatestall
