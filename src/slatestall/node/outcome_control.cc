#include "slatestall/node/outcome_control.h"

#include <algorithm>
#include <utility>

#include "slatestall/node/key_handover.h"
#include "slatestall/node/outcome_answers.h"
#include "slatestall/policy/key_text.h"
#include "slatestall/policy/membership_rendezvous.h"

namespace slatestall {
namespace {

constexpr milliseconds kTendEvery{1000};
constexpr milliseconds kExpireEvery{60'000};
constexpr milliseconds kWaitForEnds{2000};  // Of a drain, for stored endings.
constexpr milliseconds kHandoverAgain{500};
constexpr milliseconds kHandoverTime{20'000};  // Then the keys are given up.
constexpr std::size_t kMaxLookups = 1000;

claim_writer_options WriterOptions(const outcome_options& options) {
  claim_writer_options writer;
  writer.flush_interval = options.flush_interval;
  writer.max_batch_bytes = options.max_batch_bytes;
  writer.max_pending = options.max_open_requests;
  writer.retention = options.log_retention;
  writer.table.max_keys = options.max_indexed_keys;
  writer.table.max_outcome_bytes = options.max_outcome_memory;
  return writer;
}

claim_log::wall_clock_function WallClock(const outcome_options& options) {
  if (options.wall_clock) {
    return options.wall_clock;
  }
  return [] {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::int64_t{
        std::chrono::duration_cast<std::chrono::seconds>(now).count()};
  };
}

claim_tracker_options TrackerOptions(const outcome_options& options) {
  claim_tracker_options tracker;
  tracker.max_open = options.max_open_requests;
  tracker.max_outcome_bytes = options.max_outcome_bytes;
  tracker.max_pending_bytes = options.max_outcome_memory;
  return tracker;
}

// A few, so that one that cannot be reached does not cost the keys. Chosen by
// rendezvous, so that the keys of many draining hosts spread.
std::vector<std::string> SuccessorCandidates(std::vector<std::string> hosts,
                                             const std::string& self) {
  constexpr std::size_t kMaxCandidates = 3;
  std::erase(hosts, self);
  std::vector<std::string> candidates;
  while (!hosts.empty() && candidates.size() < kMaxCandidates) {
    candidates.push_back(RendezvousHost(self, hosts));
    std::erase(hosts, candidates.back());
  }
  return candidates;
}

}  // namespace

outcome_control::outcome_control(const host_id& self,
                                 const outcome_options& options,
                                 log_service log, const outcome_peers& peers,
                                 now_function now,
                                 std::shared_ptr<key_directory> keys,
                                 std::shared_ptr<outcome_gate> gate)
    : self_(self),
      options_(options),
      peers_(peers),
      now_(std::move(now)),
      keys_(std::move(keys)),
      gate_(std::move(gate)),
      log_(std::make_shared<claim_log>(std::move(log), options.claim_partitions,
                                       WriterOptions(options), now_,
                                       WallClock(options))),
      router_(std::make_shared<outcome_router>(self, options, log_, keys_,
                                               peers, now_)),
      tracker_(TrackerOptions(options)) {}

void outcome_control::Begin(const keyed_request& request,
                            decision_function done) {
  const bool usable =
      !request.key.empty() && request.key.size() <= options_.max_key_bytes;
  if (!usable) {
    ++counters_.refused;
    done(Refusal(error_kind::kInvalidRequest,
                 "the Idempotency-Key is empty or too long"));
    return;
  }
  deciders_[request.id.text] = std::move(done);
  tracker_.Begin(AttemptOf(request, self_), request.deadline, now_());
  Pump();
}

void outcome_control::Finish(const keyed_request& request,
                             const stored_outcome& outcome) {
  tracker_.Finish(request.id.text,
                  {outcome.status, outcome.content_type, outcome.body}, now_());
  Pump();
}

void outcome_control::Release(const keyed_request& request) {
  tracker_.Release(request.id.text, now_());
  Pump();
}

void outcome_control::Tick() {
  const time_point now = now_();
  if (next_tend_ <= now) {
    next_tend_ = now + kTendEvery;
    router_->Tend();
  }
  if (next_expire_ <= now) {
    next_expire_ = now + kExpireEvery;
    keys_->Expire(now);
    gate_->Expire(now);
  }
  tracker_.Tick(now);
  log_->Tick();
  ExpireLookups(now);
  Pump();
  DrainStep(now);
}

// Local authorities answer at once, so one step can call for the next.
void outcome_control::Pump() {
  if (pumping_) {
    return;
  }
  pumping_ = true;
  bool worked = true;
  while (worked) {
    // Endings go first: the next request with a key may need them.
    const bool ended = PumpEnds();
    const bool asked = PumpAsks();
    const bool decided = PumpDecisions();
    worked = ended || asked || decided;
  }
  pumping_ = false;
}

bool outcome_control::PumpEnds() {
  const auto endings = tracker_.TakeEnds(now_());
  for (const auto& ending : endings) {
    router_->End(ending, [weak = weak_from_this(),
                          request = ending.request](bool stored) {
      const auto self = weak.lock();
      if (self != nullptr && stored) {
        self->tracker_.EndStored(request);
      }
    });
  }
  return !endings.empty();
}

bool outcome_control::PumpAsks() {
  const auto asks = tracker_.TakeAsks(now_());
  for (const auto& question : asks) {
    Ask(question);
  }
  return !asks.empty();
}

void outcome_control::Ask(const claim_ask& question) {
  router_->Claim(
      question.attempt, question.wait,
      [weak = weak_from_this(),
       request = question.attempt.request](const claim_answer& answer) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        const bool holder_gone = answer.result == claim_result::kHeld &&
                                 self->router_->IsGone(answer.holder);
        self->tracker_.Answer(request, answer, holder_gone, self->now_());
        self->Pump();
      });
}

bool outcome_control::PumpDecisions() {
  const auto decisions = tracker_.TakeDecisions();
  for (const auto& decision : decisions) {
    Deliver(decision);
  }
  return !decisions.empty();
}

void outcome_control::Deliver(const tracked_decision& decision) {
  Count(decision);
  const auto found = deciders_.find(decision.request);
  if (found == deciders_.end()) {
    return;
  }
  const decision_function done = std::move(found->second);
  deciders_.erase(found);
  if (decision.verdict == tracked_verdict::kRun) {
    gate_->Open(decision.request, decision.deadline);
  }
  done(DecisionFrom(decision));
}

void outcome_control::Count(const tracked_decision& decision) {
  switch (decision.verdict) {
    case tracked_verdict::kRun:
      ++counters_.granted;
      return;
    case tracked_verdict::kAnswered:
      ++counters_.answered;
      return;
    case tracked_verdict::kRefused:
      ++counters_.refused;
      break;
  }
  switch (decision.refusal) {
    case error_kind::kOutcomeUnknown:
      ++counters_.outcome_unknown;
      return;
    case error_kind::kClaimUnavailable:
      ++counters_.claim_unavailable;
      return;
    case error_kind::kRequestInProgress:
      ++counters_.in_progress;
      return;
    default:
      return;
  }
}

void outcome_control::Lookup(const std::string& workspace,
                             const std::string& key, time_point deadline,
                             lookup_function done) {
  const auto lookup =
      std::make_shared<open_lookup>(open_lookup{deadline, std::move(done)});
  const claim_key asked{workspace, key};
  const claim_answer here = tracker_.Find(asked);
  if (here.result != claim_result::kRefused) {
    Tell(lookup, LookupFrom(here, false));
    return;
  }
  const auto left = std::chrono::duration_cast<milliseconds>(deadline - now_());
  if (left <= milliseconds{0} || lookups_.size() >= kMaxLookups) {
    Tell(lookup, {key_state::kUnknown, {}, "no time to ask for the key"});
    return;
  }
  lookups_.push_back(lookup);
  router_->Find(asked, left,
                [weak = weak_from_this(), lookup](const claim_answer& answer) {
                  if (const auto self = weak.lock()) {
                    self->TakeLookup(lookup, answer);
                  }
                });
}

void outcome_control::TakeLookup(const open_lookup_ptr& lookup,
                                 const claim_answer& answer) {
  const bool holder_gone =
      answer.result == claim_result::kHeld && router_->IsGone(answer.holder);
  Tell(lookup, LookupFrom(answer, holder_gone));
}

void outcome_control::Tell(const open_lookup_ptr& lookup, key_lookup told) {
  const lookup_function done = std::exchange(lookup->done, nullptr);
  if (done) {
    done(std::move(told));
  }
}

void outcome_control::ExpireLookups(time_point now) {
  std::erase_if(lookups_, [now](const open_lookup_ptr& lookup) {
    if (lookup->deadline <= now) {
      Tell(lookup, {key_state::kUnknown, {}, "the key's state was not told"});
    }
    return lookup->done == nullptr;
  });
}

void outcome_control::Drain(drained_function done) {
  tracker_.Close();
  drained_ = std::move(done);
  drain_since_ = now_();
  DrainStep(now_());
}

void outcome_control::DrainStep(time_point now) {
  if (!drained_ || handing_over_ || now < next_handover_) {
    return;
  }
  if (tracker_.Open() > 0) {
    drain_since_ = now;
    return;
  }
  const bool ends_stored = tracker_.EndsPending() == 0;
  if (ends_stored || drain_since_ + kWaitForEnds <= now) {
    HandOver(now);
  }
}

// From here on this host dispatches nothing under any key: nothing is open,
// the tracker is closed, and the gate is shut for whoever was paused.
void outcome_control::HandOver(time_point now) {
  handing_over_ = true;
  if (!keys_->IsFrozen()) {
    handover_until_ = now + kHandoverTime;
  }
  gate_->CloseAll();
  keys_->Freeze();
  // Keys that were sent here by a host which then named another successor are
  // out of date. Passed on, they could reach the true successor's successor
  // first and let a key run again.
  std::vector<key_home_state> states = keys_->States();
  std::erase_if(states, [this](const key_home_state& state) {
    return !router_->Decides(state.home);
  });
  const auto handover = std::make_shared<key_handover>(
      peers_, options_.peer_timeout, states,
      SuccessorCandidates(peers_.live_hosts(), self_.name),
      [weak = weak_from_this()](const std::optional<host_id>& successor) {
        if (const auto self = weak.lock()) {
          self->HandedOver(successor);
        }
      });
  handover->Start();
}

void outcome_control::HandedOver(const std::optional<host_id>& successor) {
  const time_point now = now_();
  const bool nothing_to_give = keys_->States().empty();
  if (!successor && !nothing_to_give && now < handover_until_) {
    handing_over_ = false;
    next_handover_ = now + kHandoverAgain;
    return;
  }
  if (successor) {
    router_->SetSuccessor(*successor);
  }
  const drained_function done = std::exchange(drained_, nullptr);
  done(successor ? HostText(*successor) : std::string());
}

void outcome_control::Stop() {
  gate_->CloseAll();
  for (const auto& [request, done] : std::exchange(deciders_, {})) {
    done(Refusal(error_kind::kDraining, "this host is shutting down"));
  }
  for (const auto& lookup : std::exchange(lookups_, {})) {
    Tell(lookup, {key_state::kUnknown, {}, "this host is shutting down"});
  }
}

outcome_counters outcome_control::Counters() const {
  outcome_counters counters = counters_;
  const claim_log_counters log = log_->Counters();
  counters.minted = keys_->Minted();
  counters.log_appends = log.appends;
  counters.log_appends_unknown = log.appends_unknown;
  counters.claims_appended = log.claims_appended;
  counters.keys_not_carried = log.keys_not_carried;
  counters.peer_claims = router_->PeerClaims();
  counters.home_keys = keys_->Keys();
  counters.indexed_keys = log_->IndexedKeys();
  counters.outcome_bytes = keys_->OutcomeBytes() + log_->OutcomeBytes();
  counters.open_requests = tracker_.Open();
  counters.ends_pending = tracker_.EndsPending();
  return counters;
}

}  // namespace slatestall
