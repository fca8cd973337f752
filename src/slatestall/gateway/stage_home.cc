// What waits for calls, and which endpoints can take one.
#include "slatestall/gateway/stage_home.h"

#include <algorithm>
#include <asio/post.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/gateway/stage_home_state.h"
#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// Part of the room for results that is used. Sizes are told roughly, and a
/// piece that finds no room has to be made again; that costs less than room
/// left empty.
constexpr double kRoomPart = 0.95;
/// While pieces wait and no call is under way that would end.
constexpr milliseconds kLookAgain{20};
constexpr std::uint64_t kDraws = 1024;
/// Cold endpoints come after all warm ones.
constexpr double kColdCost = 1000.0;
/// Full calls that late pieces may wait: one more than a late request may be
/// expected to wait when it is admitted.
constexpr int kLateWaitCalls = 4;
constexpr std::chrono::hours kNoLimit{1};
/// Calls of which one is logged.
constexpr std::uint64_t kLoggedCalls = 16;
/// How long an endpoint counts as slow without a new observation, so that one
/// that has recovered is tried again.
constexpr milliseconds kSlownessLife{4000};

}  // namespace

stage_home::stage_home(gateway_environment& environment)
    : environment_(environment),
      host_seed_(StableHash(environment.options.host_name)),
      free_timer_(environment.context) {}

stage_home::~stage_home() = default;

const batch_rule* stage_home::Rule(const std::string& service) const {
  const auto& table = environment_.table;
  const auto* rule = table ? table->Service(service) : nullptr;
  return rule != nullptr && rule->batches ? &*rule->batches : nullptr;
}

stage_number stage_home::Submit(const stage_shard& shard, piece_group group,
                                std::function<void(stage_outcome)> done) {
  const auto state = std::make_shared<group_state>();
  state->number = next_number_++;
  state->shard = shard;
  group.came = environment_.now();
  state->group = std::make_shared<const piece_group>(std::move(group));
  state->handles.resize(state->group->pieces);
  state->tries.resize(state->group->pieces);
  state->missing = state->group->pieces;
  state->done = std::move(done);
  groups_[state->group.get()] = state;
  numbers_[state->number] = state->group.get();
  environment_.repeats.NoteRequest(shard.service, environment_.now());
  const duration full_call = FullCallTime(shard);
  const auto booked = StateOf(shard).admission.Release(state->group->request,
                                                       state->group->stage);
  state->expected_in_time =
      booked && booked->in_time &&
      state->group->useful_by > environment_.now() + full_call;
  StateOf(shard).queue.Add(state->group, environment_.now(), full_call);
  PumpSoon(shard, duration(0));
  return state->number;
}

stage_home::shard_state& stage_home::StateOf(const stage_shard& shard) {
  const auto order = environment_.options.Uses(mechanism::kDueTimeAdmission)
                         ? admission_order::kDueTime
                         : admission_order::kArrival;
  return shards_.try_emplace(shard, order).first->second;
}

booking_answer stage_home::Book(const stage_need& need) {
  auto& state = StateOf(need.shard);
  const auto capacity = Capacity(need.shard);
  const time_point now = environment_.now();
  auto booking = need.booking;
  booking.work = PieceWork(booking.kind, need.shard) *
                 static_cast<duration::rep>(booking.pieces);
  booking.is_over_share = IsOverShare(need.shard, booking);
  const auto backlog = state.queue.Backlog(
      now + capacity.call_time, [&](const piece_group& group) {
        return PieceWork(group.kind, need.shard);
      });
  // Booked anew, as after a lost reply, it is admitted only once.
  Release(need);
  const auto answer = state.admission.Book(booking, capacity, backlog, now);
  const bool refused = answer.verdict == booking_verdict::kRefused;
  environment_.metrics.Count(refused ? "bookings_refused" : "bookings_taken",
                             need.shard.service);
  environment_.metrics.Count(
      "bookings_by_rank",
      std::string(NameIn(kBookingVerdictNames, answer.verdict)) + " " +
          std::to_string(booking.rank));
  if (refused) {
    // A refusal that no room could have spared does not make the shard short.
    if (answer.fits_idle) {
      state.shares.NoteRefused(now);
    }
    LogRefusal(need, state, capacity, answer);
    if (booking.is_over_share) {
      LogShare(booking, need.shard);
    }
  } else {
    state.shares.NoteAdmitted(booking.workspace, booking.work, now);
  }
  return answer;
}

bool stage_home::IsOverShare(const stage_shard& shard,
                             const stage_booking& booking) {
  if (!environment_.options.Uses(mechanism::kWorkspaceShares)) {
    return false;
  }
  const time_point now = environment_.now();
  auto& shares = StateOf(shard).shares;
  shares.NoteDemand(booking.workspace, booking.work, now);
  const bool is_over = shares.IsOver(booking.workspace, now);
  if (is_over) {
    environment_.metrics.Count("workspace_bounded", shard.service);
  }
  return is_over;
}

/// Who was refused, for whom.
void stage_home::LogShare(const stage_booking& booking,
                          const stage_shard& shard) {
  const time_point now = environment_.now();
  const auto& shares = StateOf(shard).shares;
  environment_.log.Write(
      "workspace_bounded",
      {{"request", booking.request},
       {"workspace", booking.workspace},
       {"service", shard.service},
       {"stage", booking.stage},
       {"use", shares.Use(booking.workspace, now)},
       {"share", shares.Share(now).value_or(0)},
       {"short_for_ms", WholeMilliseconds(now - shares.ShortSince()).count()}});
}

void stage_home::LogRefusal(const stage_need& need, const shard_state& state,
                            const stage_capacity& capacity,
                            const booking_answer& answer) const {
  const auto in_ms = [now = environment_.now()](time_point at) {
    return WholeMilliseconds(at - now).count();
  };
  environment_.log.Write(
      "booking_refused",
      {{"request", need.booking.request},
       {"stage", need.booking.stage},
       {"service", need.shard.service},
       {"rank", need.booking.rank},
       {"due_ms", in_ms(need.booking.due)},
       {"useful_ms", in_ms(need.booking.useful_by)},
       {"waiting", state.queue.Pieces()},
       {"booked", state.admission.Booked()},
       {"calls", capacity.calls},
       {"ahead_ms", WholeMilliseconds(answer.ahead).count()},
       {"reserved_ms", WholeMilliseconds(answer.reserved).count()},
       {"counted_on", state.admission.Confidence()}});
}

void stage_home::Release(const stage_need& need) {
  auto& state = StateOf(need.shard);
  const auto released =
      state.admission.Release(need.booking.request, need.booking.stage);
  if (released) {
    state.shares.NoteReleased(released->workspace, released->work,
                              environment_.now());
  }
}

duration stage_home::PieceTimeOf(std::uint64_t kind, const stage_shard& shard,
                                 const batch_rule& rule) const {
  const duration mean = PieceTime(shard, rule);
  const auto found = shards_.find(shard);
  return found == shards_.end() ||
                 !environment_.options.Uses(mechanism::kPieceCosts)
             ? mean
             : found->second.costs.PieceTime(kind, mean);
}

/// Its part of a full call.
duration stage_home::PieceWork(std::uint64_t kind,
                               const stage_shard& shard) const {
  const batch_rule* rule = Rule(shard.service);
  return rule == nullptr ? duration(0)
                         : rule->call_time / std::max(1U, rule->most_pieces) +
                               PieceTimeOf(kind, shard, *rule);
}

/// As it was seen: the told one is rough, and differs by stage.
duration stage_home::PieceTime(const stage_shard& shard,
                               const batch_rule& rule) const {
  const auto found = shards_.find(shard);
  if (found == shards_.end() || !found->second.piece_time.Seen()) {
    return rule.piece_time;
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(found->second.piece_time.Value()));
}

duration stage_home::FullCallTime(const stage_shard& shard) const {
  const batch_rule* rule = Rule(shard.service);
  return rule == nullptr
             ? duration(0)
             : rule->call_time +
                   PieceTime(shard, *rule) *
                       static_cast<duration::rep>(rule->most_pieces);
}

stage_capacity stage_home::Capacity(const stage_shard& shard) const {
  const batch_rule* rule = Rule(shard.service);
  if (rule == nullptr) {
    return {};
  }
  const auto found = shards_.find(shard);
  stage_capacity capacity;
  double backed_off = 0;  // Calls of endpoints that take none now.
  time_point opens_at = time_point::max();
  capacity.call_time = FullCallTime(shard);
  const double full_call =
      std::chrono::duration<double>(capacity.call_time).count();
  const time_point now = environment_.now();
  for (const auto& record : environment_.roster.Of(shard.service)) {
    const bool belongs =
        shard.domain.empty() || shard.domain == record->Info().failure_domain;
    if (!belongs || !record->Usable() || record->Avoided(now)) {
      continue;
    }
    const double slowness = found == shards_.end()
                                ? record->Pace(now)
                                : SlownessNow(found->second, *record);
    double calls = rule->slots / slowness;
    if (environment_.HasQuota(*record)) {
      calls = std::min(calls, *record->Quota() * full_call);
    }
    if (record->BacksOff(now)) {
      backed_off += calls;
      opens_at = std::min(opens_at, record->BackOffUntil());
    } else {
      capacity.calls += calls;
    }
  }
  if (capacity.calls <= 0 && backed_off > 0) {
    capacity.calls = backed_off;
    capacity.opens_at = opens_at;
  }
  return capacity;
}

void stage_home::Cancel(stage_number number) {
  const auto found = numbers_.find(number);
  if (found == numbers_.end()) {
    return;
  }
  const auto state = groups_.at(found->second);
  state->done = nullptr;
  Conclude(state, {});
}

void stage_home::Refresh() {
  for (const auto& [shard, state] : shards_) {
    PumpSoon(shard, duration(0));
  }
}

/// Pieces that arrive in one turn of the loop are to share a call, so the pump
/// runs in the next turn.
void stage_home::PumpSoon(const stage_shard& shard, duration delay) {
  auto& state = StateOf(shard);
  if (state.wake) {
    if (delay > duration(0)) {
      return;
    }
    state.wake->cancel();
  }
  const auto wake = std::make_shared<asio::steady_timer>(environment_.context);
  state.wake = wake;
  wake->expires_after(delay);
  wake->async_wait([this, shard, wake, alive = std::weak_ptr<int>(alive_)](
                       const asio::error_code& error) {
    if (alive.expired()) {
      return;
    }
    auto& woken = StateOf(shard);
    if (woken.wake == wake) {
      woken.wake = nullptr;
      if (!error) {
        Pump(shard);
      }
    }
  });
}

void stage_home::Pump(const stage_shard& shard) {
  auto& state = StateOf(shard);
  const batch_rule* rule = Rule(shard.service);
  bool sent = rule != nullptr;
  while (sent && state.queue.Pieces() > 0) {
    sent = false;
    for (const auto& record : FreeEndpoints(state, shard, *rule)) {
      if (state.queue.Pieces() == 0) {
        break;
      }
      sent = PumpOnce(shard, *rule, record) || sent;
    }
  }
  ExpireWhileClosed(shard);
  if (state.queue.Pieces() > 0 && !state.wake) {
    // Pieces that wait for a place near their bytes, and endpoints that pause,
    // end no call that would wake this.
    PumpSoon(shard, kLookAgain);
  }
}

/// While no endpoint takes calls, pieces that would be too late once one does
/// fail at once, so that their callers have time left.
void stage_home::ExpireWhileClosed(const stage_shard& shard) {
  auto& queue = StateOf(shard).queue;
  const time_point now = environment_.now();
  if (queue.Pieces() == 0 || now >= environment_.back_offs_end) {
    return;
  }
  const auto capacity = Capacity(shard);
  if (capacity.opens_at <= now) {
    return;
  }
  for (const auto& group : queue.DropExpired(
           now, LateWait(shard), capacity.opens_at + capacity.call_time)) {
    Fail(group.get(), stage_end::kTooLate);
  }
}

duration stage_home::LateWait(const stage_shard& shard) const {
  return environment_.options.Uses(mechanism::kLateGiveUp)
             ? FullCallTime(shard) * kLateWaitCalls
             : kNoLimit;
}

bool stage_home::PumpOnce(const stage_shard& shard, const batch_rule& rule,
                          const endpoint_record_ptr& record) {
  auto& state = StateOf(shard);
  batch_terms terms;
  terms.now = environment_.now();
  const double slowness = SlownessNow(state, *record);
  terms.call_time = Scaled(rule.call_time, slowness);
  terms.piece_time = Scaled(PieceTime(shard, rule), slowness);
  terms.late_wait = LateWait(shard);
  terms.most = rule.most_pieces;
  terms.domain = record->Info().failure_domain;
  terms.room = RoomAt(*record, rule);
  terms.has_endpoint = [&](const std::string& domain) {
    const auto& all = environment_.roster.Of(shard.service);
    return std::any_of(all.begin(), all.end(), [&](const auto& one) {
      return one->Info().failure_domain == domain &&
             one->TakesCalls(terms.now) && !one->Avoided(terms.now) &&
             !IsSlow(state, *one);
    });
  };
  auto batch = state.queue.Take(terms);
  NoteOutcomes(state, batch);
  for (const auto& group : batch.expired) {
    Fail(group.get(), stage_end::kTooLate);
  }
  // One made meanwhile by an overdue call needs no second making.
  std::erase_if(batch.pieces, [this](const waiting_piece& piece) {
    const auto found = groups_.find(piece.group.get());
    return found == groups_.end() || found->second->IsMade(piece.piece);
  });
  if (batch.pieces.empty()) {
    return false;
  }
  LogCall(shard, batch, terms);
  SendBatch(shard, rule, record, std::move(batch));
  return true;
}

/// One call in some, so that a home's load can be followed: whether calls go
/// full, and whether pieces wait for endpoints or for room.
void stage_home::LogCall(const stage_shard& shard, const piece_batch& batch,
                         const batch_terms& terms) {
  if (next_logged_call_++ % kLoggedCalls != 0) {
    return;
  }
  auto& state = StateOf(shard);
  time_point oldest = terms.now;
  std::size_t late = 0;
  for (const auto& piece : batch.pieces) {
    oldest = std::min(oldest, piece.group->came);
    late += piece.group->useful_by < batch.done_by ? 1 : 0;
  }
  environment_.log.Write(
      "stage_call",
      {{"service", shard.service},
       {"domain", terms.domain},
       {"pieces", batch.pieces.size()},
       {"late", late},
       {"left_waiting", state.queue.Pieces()},
       {"oldest_ms", WholeMilliseconds(terms.now - oldest).count()},
       {"room_kb", terms.room / 1024},
       {"booked", state.admission.Booked()},
       {"counted_on", state.admission.Confidence()}});
}

void stage_home::NoteOutcomes(shard_state& state, const piece_batch& batch) {
  std::size_t in_time = 0;
  std::size_t late = 0;
  const auto note = [&](const piece_group* group, std::size_t pieces,
                        bool is_late) {
    const auto found = groups_.find(group);
    if (found != groups_.end() && found->second->expected_in_time) {
      (is_late ? late : in_time) += pieces;
    }
  };
  for (const auto& piece : batch.pieces) {
    note(piece.group.get(), 1, piece.group->useful_by < batch.done_by);
  }
  for (const auto& group : batch.expired) {
    note(group.get(), group->pieces, true);
  }
  if (environment_.options.Uses(mechanism::kLearntCapacity)) {
    state.admission.NoteOutcome(in_time, late, environment_.now());
  }
}

bool stage_home::IsSlow(const shard_state& state,
                        const endpoint_record& record) const {
  const auto seen = state.slowness_at.find(record.Info().Incarnation());
  return environment_.options.Uses(mechanism::kSlowEndpoints) &&
         record.Slowness() > kSlowFactor && seen != state.slowness_at.end() &&
         environment_.now() - seen->second < kSlownessLife;
}

/// How many times its usual time a call would take there.
double stage_home::SlownessNow(const shard_state& state,
                               const endpoint_record& record) const {
  return (IsSlow(state, record) ? record.Slowness() : 1.0) *
         record.Pace(environment_.now());
}

std::uint64_t stage_home::RoomAt(const endpoint_record& record,
                                 const batch_rule& rule) {
  if (rule.room_bytes == 0) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  const auto used = room_.Used(record.Info().Incarnation(), environment_.now());
  const auto room = static_cast<std::uint64_t>(
      kRoomPart * static_cast<double>(rule.room_bytes));
  return room - std::min(used, room);
}

/// Those that can take a call now, the best first.
std::vector<endpoint_record_ptr> stage_home::FreeEndpoints(
    const shard_state& state, const stage_shard& shard,
    const batch_rule& rule) const {
  const time_point now = environment_.now();
  const auto cold_calls = environment_.ColdCalls(shard.service);
  const bool others_suffice = state.queue.Pieces() < rule.most_pieces;
  std::vector<std::pair<double, endpoint_record_ptr>> ranked;
  for (const auto& record : environment_.roster.Of(shard.service)) {
    const auto incarnation = record->Info().Incarnation();
    const auto calls = state.calls.find(incarnation);
    const auto paused = state.paused.find(incarnation);
    const bool other_shard =
        !shard.domain.empty() && shard.domain != record->Info().failure_domain;
    const bool full = calls != state.calls.end() && calls->second >= rule.slots;
    const bool pausing =
        paused != state.paused.end() && now < paused->second.until;
    const double slowness = SlownessNow(state, *record);
    const bool is_slow = slowness > kSlowFactor;
    const bool is_cold = cold_calls && record->Cold(now);
    if (is_cold && !environment_.MayUseCold(*record, *cold_calls)) {
      continue;
    }
    if (other_shard || !record->TakesCalls(now) || record->Avoided(now) ||
        full || pausing || (is_slow && others_suffice) ||
        !environment_.MayCallAsHome(*record)) {
      continue;
    }
    // Hosts that know equally little are not all to take the same one.
    const double draw =
        static_cast<double>(StableHash(incarnation.id, host_seed_) % kDraws) /
        kDraws;
    ranked.emplace_back(
        record->OthersBusy(now) + slowness + draw + (is_cold ? kColdCost : 0.0),
        record);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<endpoint_record_ptr> records;
  records.reserve(ranked.size());
  for (auto& [cost, record] : ranked) {
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace slatestall
