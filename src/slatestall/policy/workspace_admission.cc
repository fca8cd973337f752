#include "slatestall/policy/workspace_admission.h"

#include <algorithm>
#include <cmath>

#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

constexpr double kMostCredit = 1;  // Seconds of one request.
constexpr double kConcurrencyRetryAfter = 0.5;

admission Refuse(double retry_after, std::string reason) {
  admission result;
  result.refusal = error_kind::kLimitExceeded;
  result.retry_after = ToMilliseconds(retry_after);
  result.reason = std::move(reason);
  return result;
}

}  // namespace

// The fraction f of the limit earns credit at f a second and the request that
// runs on it costs one a second; it may start while the credit is not spent.
double fractional_limit::Allowed(std::uint32_t in_use, time_point now) {
  const double whole = std::floor(limit_);
  const double fraction = limit_ - whole;
  const double elapsed =
      counted_ == time_point{} ? 0 : std::max(0.0, Seconds(now - counted_));
  counted_ = now;
  const double spent = in_use > whole ? elapsed : 0;
  credit_ = std::min(kMostCredit, credit_ + fraction * elapsed - spent);
  const bool extra = fraction > 0 && credit_ >= 0;
  return whole + (extra ? 1 : 0);
}

workspace_admission::workspace_admission(std::uint32_t lanes,
                                         double batch_floor)
    : lanes_(std::max(1U, lanes)), batch_floor_(batch_floor) {}

void workspace_admission::UseShares(
    const std::map<std::string, workspace_share>& shares, time_point now) {
  for (auto& [name, state] : workspaces_) {
    state.shared = false;
  }
  for (const auto& [name, share] : shares) {
    workspace_state& state =
        workspaces_.try_emplace(name, batch_floor_).first->second;
    state.shared = true;
    Apply(state, share, now);
  }
  for (auto it = workspaces_.begin(); it != workspaces_.end();) {
    if (!it->second.shared) {
      Apply(it->second, {}, now);
    }
    const bool idle = !it->second.shared && it->second.usage.Total() == 0;
    it = idle ? workspaces_.erase(it) : std::next(it);
  }
}

void workspace_admission::Apply(workspace_state& state,
                                const workspace_share& share,
                                time_point now) const {
  state.requests.SetRate(share.requests_per_second / lanes_, now);
  state.tokens.SetRate(share.tokens_per_second / lanes_, now);
  state.concurrency.Set(share.concurrency / lanes_);
}

admission workspace_admission::Admit(const std::string& workspace,
                                     priority_class priority,
                                     double expected_tokens, time_point now) {
  workspace_state& state =
      workspaces_.try_emplace(workspace, batch_floor_).first->second;
  state.usage.Want(priority, now);
  if (state.concurrency.Limited()) {
    const double allowed = state.concurrency.Allowed(state.usage.Total(), now);
    if (!state.usage.MayStart(priority, allowed, now)) {
      return Refuse(kConcurrencyRetryAfter, "concurrency limit");
    }
  }
  if (!state.requests.Covers(priority, 1, now)) {
    return Refuse(state.requests.SecondsUntil(priority, 1),
                  "requests per second");
  }
  // A request larger than the burst must pass some time: one token in the
  // bucket is enough, the rest becomes a debt that later requests wait for.
  const double wanted = expected_tokens > 0 ? 1 : 0;
  if (!state.tokens.Covers(priority, wanted, now)) {
    return Refuse(state.tokens.SecondsUntil(priority, wanted),
                  "tokens per second");
  }
  state.requests.Charge(priority, 1);
  state.tokens.Charge(priority, expected_tokens);
  state.charged_tokens += expected_tokens;
  state.usage.Start(priority, now);
  admission result;
  result.admitted = true;
  return result;
}

void workspace_admission::Release(const std::string& workspace,
                                  priority_class priority,
                                  double generated_tokens, time_point now) {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end() || found->second.usage.Total() == 0) {
    return;
  }
  workspace_state& state = found->second;
  // Which request was charged how much is not kept; the mean over those in
  // use settles the sum exactly.
  const double charged = state.charged_tokens / state.usage.Total();
  state.charged_tokens -= charged;
  state.tokens.Charge(priority, generated_tokens - charged);
  if (state.concurrency.Limited()) {
    state.concurrency.Allowed(state.usage.Total(), now);
  }
  state.usage.Stop(priority, now);
}

}  // namespace slatestall
