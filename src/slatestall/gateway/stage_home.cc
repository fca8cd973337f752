#include "slatestall/gateway/stage_home.h"

#include <algorithm>
#include <asio/post.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// How often a piece is tried. A piece that failed at three endpoints fails
/// for a reason of its own.
constexpr unsigned kMaxTries = 4;
/// An overdue call's pieces are made elsewhere as well. Calls of one kind
/// differ by some tenths; twice the expected time and a bit is not chance.
constexpr double kOverdueFactor = 2.0;
constexpr milliseconds kOverdueSlack{150};
/// A call is given up after as many times its expected time: slow endpoints
/// work four to five times as long.
constexpr double kGiveUpFactor = 6.0;
constexpr milliseconds kShortestGiveUp{1500};
constexpr milliseconds kConnectTimeout{300};
/// An endpoint without room or with a full queue is left alone this long:
/// results are fetched, and calls end, several times a second.
constexpr milliseconds kFullPause{60};
/// The told time of a piece differs by stage, as a rule downwards.
constexpr double kLeastPart = 0.1;
constexpr double kMostPart = 1.5;
/// Some thirty calls, a second or two of a busy shard, make the mean.
constexpr double kPieceTimeWeight = 0.03;
/// Sizes of results are told roughly.
constexpr double kRoomPart = 0.85;
/// While pieces wait and no call is under way that would end.
constexpr milliseconds kLookAgain{20};
constexpr std::uint64_t kDraws = 1024;
/// Slower than this against expectation, an endpoint is used only when the
/// others cannot take what waits.
constexpr double kSlowFactor = 2.0;
/// How long an endpoint counts as slow without a new observation, so that one
/// that has recovered is tried again.
constexpr milliseconds kSlownessLife{4000};
/// Results are freed together: a call for each would cost more than the room.
constexpr milliseconds kFreeInterval{60};
constexpr milliseconds kFreeTimeout{1000};
constexpr std::size_t kMaxHandlesPerFree = 400;
constexpr int kOk = 200;

double Ratio(duration a, duration b) {
  return static_cast<double>(a.count()) /
         std::max(1.0, static_cast<double>(b.count()));
}

duration Scale(duration value, double factor) {
  return duration(
      static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

milliseconds WholeMilliseconds(duration value) {
  return std::chrono::duration_cast<milliseconds>(value);
}

std::string UrlOf(const endpoint_record& record, const std::string& path) {
  return "http://" + AddressText(record.Info()) + path;
}

}  // namespace

struct stage_home::group_state {
  stage_number number = 0;
  stage_shard shard;
  piece_group_ptr group;
  std::vector<std::string> handles;
  std::vector<unsigned> tries;
  std::size_t missing = 0;
  bool expected_in_time = false;  ///< As booked, when its pieces came.
  std::function<void(stage_outcome)> done;
};

struct stage_home::call_state {
  stage_shard shard;
  endpoint_record_ptr record;
  std::vector<waiting_piece> pieces;
  time_point sent{};
  duration nominal{0};   ///< What an ordinary endpoint takes.
  duration expected{0};  ///< What this one is expected to take.
  http_client::call_number number = 0;
  asio::steady_timer overdue;
  bool pieces_released = false;  ///< They wait for another call, too.

  explicit call_state(asio::io_context& context) : overdue(context) {}
};

struct stage_home::shard_state {
  piece_queue queue;
  std::map<std::string, unsigned> calls;          ///< By incarnation.
  std::map<std::string, time_point> paused;       ///< Full until then.
  std::map<std::string, time_point> slowness_at;  ///< Last observed.
  stage_admission admission;
  /// Seconds that a piece adds to a call, as seen.
  moving_average piece_time{kPieceTimeWeight};
  std::shared_ptr<asio::steady_timer> wake;
};

stage_home::stage_home(gateway_environment& environment, http_client& client)
    : environment_(environment),
      client_(client),
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
  state->group = std::make_shared<const piece_group>(std::move(group));
  state->handles.resize(state->group->pieces);
  state->tries.resize(state->group->pieces);
  state->missing = state->group->pieces;
  state->done = std::move(done);
  groups_[state->group.get()] = state;
  numbers_[state->number] = state->group.get();
  environment_.repeats.NoteRequest(shard.service, environment_.now());
  const bool was_booked = shards_[shard].admission.Release(
      state->group->request, state->group->stage);
  state->expected_in_time =
      was_booked &&
      state->group->useful_by > environment_.now() + Capacity(shard).call_time;
  shards_[shard].queue.Add(state->group, environment_.now());
  PumpSoon(shard, duration(0));
  return state->number;
}

booking_answer stage_home::Book(const stage_need& need) {
  auto& state = shards_[need.shard];
  const auto capacity = Capacity(need.shard);
  const time_point now = environment_.now();
  const auto answer =
      state.admission.Book(need.booking, capacity,
                           state.queue.PiecesInTime(now + capacity.call_time),
                           state.queue.Pieces(), now);
  environment_.metrics.Count(answer.verdict == booking_verdict::kRefused
                                 ? "bookings_refused"
                                 : "bookings_taken",
                             need.shard.service);
  return answer;
}

void stage_home::Release(const stage_need& need) {
  shards_[need.shard].admission.Release(need.booking.request,
                                        need.booking.stage);
}

stage_capacity stage_home::Capacity(const stage_shard& shard) const {
  const batch_rule* rule = Rule(shard.service);
  if (rule == nullptr) {
    return {};
  }
  const auto found = shards_.find(shard);
  duration piece_time = rule->piece_time;
  if (found != shards_.end() && found->second.piece_time.Seen()) {
    piece_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(found->second.piece_time.Value()));
  }
  stage_capacity capacity;
  capacity.call_time =
      rule->call_time +
      piece_time * static_cast<duration::rep>(rule->most_pieces);
  const double full_call =
      std::chrono::duration<double>(capacity.call_time).count();
  const time_point now = environment_.now();
  for (const auto& record : environment_.roster.Of(shard.service)) {
    const bool belongs =
        shard.domain.empty() || shard.domain == record->Info().failure_domain;
    if (!belongs || !record->Usable() || record->Avoided(now)) {
      continue;
    }
    const bool is_slow =
        found != shards_.end() && IsSlow(found->second, *record);
    capacity.pieces_per_second += rule->slots * rule->most_pieces / full_call /
                                  (is_slow ? record->Slowness() : 1.0);
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
  auto& state = shards_[shard];
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
    auto& woken = shards_[shard];
    if (woken.wake == wake) {
      woken.wake = nullptr;
      if (!error) {
        Pump(shard);
      }
    }
  });
}

void stage_home::Pump(const stage_shard& shard) {
  auto& state = shards_[shard];
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
  if (state.queue.Pieces() > 0 && !state.wake) {
    // Pieces that wait for a place near their bytes, and endpoints that pause,
    // end no call that would wake this.
    PumpSoon(shard, kLookAgain);
  }
}

bool stage_home::PumpOnce(const stage_shard& shard, const batch_rule& rule,
                          const endpoint_record_ptr& record) {
  auto& state = shards_[shard];
  batch_terms terms;
  terms.now = environment_.now();
  terms.call_time = Scale(rule.call_time + rule.piece_time,
                          IsSlow(state, *record) ? record->Slowness() : 1.0);
  terms.most = rule.most_pieces;
  terms.domain = record->Info().failure_domain;
  terms.room = RoomAt(*record, rule);
  terms.has_endpoint = [&](const std::string& domain) {
    const auto& all = environment_.roster.Of(shard.service);
    return std::any_of(all.begin(), all.end(), [&](const auto& one) {
      return one->Info().failure_domain == domain && one->Usable() &&
             !one->Avoided(terms.now) && !IsSlow(state, *one);
    });
  };
  auto batch = state.queue.Take(terms);
  NoteOutcomes(state, batch, terms.now + terms.call_time);
  for (const auto& group : batch.expired) {
    Fail(group.get(), stage_end::kTooLate);
  }
  // One made meanwhile by an overdue call needs no second making.
  std::erase_if(batch.pieces, [this](const waiting_piece& piece) {
    const auto found = groups_.find(piece.group.get());
    return found == groups_.end() ||
           !found->second->handles[piece.piece].empty();
  });
  if (batch.pieces.empty()) {
    return false;
  }
  SendBatch(shard, rule, record, std::move(batch));
  return true;
}

void stage_home::NoteOutcomes(shard_state& state, const piece_batch& batch,
                              time_point done_by) {
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
    note(piece.group.get(), 1, piece.group->useful_by < done_by);
  }
  for (const auto& group : batch.expired) {
    note(group.get(), group->pieces, true);
  }
  state.admission.NoteOutcome(in_time, late, environment_.now());
}

bool stage_home::IsSlow(const shard_state& state,
                        const endpoint_record& record) const {
  const auto seen = state.slowness_at.find(record.Info().id);
  return record.Slowness() > kSlowFactor && seen != state.slowness_at.end() &&
         environment_.now() - seen->second < kSlownessLife;
}

std::uint64_t stage_home::RoomAt(const endpoint_record& record,
                                 const batch_rule& rule) {
  if (rule.room_bytes == 0) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  const auto used = room_.Used(record.Info().id, environment_.now());
  const auto room = static_cast<std::uint64_t>(
      kRoomPart * static_cast<double>(rule.room_bytes));
  return room - std::min(used, room);
}

/// Those that can take a call now, the best first.
std::vector<endpoint_record_ptr> stage_home::FreeEndpoints(
    const shard_state& state, const stage_shard& shard,
    const batch_rule& rule) const {
  const time_point now = environment_.now();
  const bool others_suffice = state.queue.Pieces() < rule.most_pieces;
  std::vector<std::pair<double, endpoint_record_ptr>> ranked;
  for (const auto& record : environment_.roster.Of(shard.service)) {
    const auto& id = record->Info().id;
    const auto calls = state.calls.find(id);
    const auto paused = state.paused.find(id);
    const bool other_shard =
        !shard.domain.empty() && shard.domain != record->Info().failure_domain;
    const bool full = calls != state.calls.end() && calls->second >= rule.slots;
    const bool pausing = paused != state.paused.end() && now < paused->second;
    const bool is_slow = IsSlow(state, *record);
    if (other_shard || !record->Usable() || record->Avoided(now) || full ||
        pausing || (is_slow && others_suffice)) {
      continue;
    }
    // Hosts that know equally little are not all to take the same one.
    const double draw =
        static_cast<double>(StableHash(id, host_seed_) % kDraws) / kDraws;
    ranked.emplace_back(
        record->OthersBusy(now) + (is_slow ? record->Slowness() : 1.0) + draw,
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

void stage_home::SendBatch(const stage_shard& shard, const batch_rule& rule,
                           const endpoint_record_ptr& record,
                           piece_batch batch) {
  const auto call = std::make_shared<call_state>(environment_.context);
  call->shard = shard;
  call->record = record;
  call->pieces = std::move(batch.pieces);
  call->sent = environment_.now();
  call->nominal = rule.call_time + rule.piece_time * static_cast<duration::rep>(
                                                         call->pieces.size());
  // Known to be slow, it is given the time: made again elsewhere, its pieces
  // would cost the others what it was to take off them.
  call->expected =
      Scale(call->nominal,
            IsSlow(shards_[shard], *record) ? record->Slowness() : 1.0);
  record->NoteStart();
  ++shards_[shard].calls[record->Info().id];
  environment_.metrics.Count("stage_calls", shard.service);
  environment_.metrics.Count("stage_pieces", shard.service,
                             call->pieces.size());
  for (const auto& piece : call->pieces) {
    ++groups_.at(piece.group.get())->tries[piece.piece];
  }

  http_call request;
  request.method = "POST";
  request.url = UrlOf(*record, environment_.protocol.stage_path);
  request.headers = environment_.protocol.stage_headers(record->Info().id);
  request.body = environment_.protocol.write_pieces(call->pieces, call->sent);
  request.connect_timeout = kConnectTimeout;
  request.timeout = std::max(
      kShortestGiveUp, WholeMilliseconds(Scale(call->expected, kGiveUpFactor)));
  // A kept connection can bring a late answer to an earlier call: its results
  // would be handed to other requests.
  request.at_most_once = true;
  call->number = client_.Start(std::move(request),
                               [this, call, alive = std::weak_ptr<int>(alive_)](
                                   const http_result& result) {
                                 if (!alive.expired()) {
                                   OnCallEnd(call, result);
                                 }
                               });
  WatchCall(call, Scale(call->expected, kOverdueFactor) + kOverdueSlack);
}

void stage_home::WatchCall(const call_state_ptr& call, duration expected) {
  call->overdue.expires_after(expected);
  call->overdue.async_wait([this, call, alive = std::weak_ptr<int>(alive_)](
                               const asio::error_code& error) {
    if (!error && !alive.expired()) {
      OnOverdue(call);
    }
  });
}

/// A stalled or very slow endpoint holds a whole batch. Its pieces are made
/// again elsewhere, which the protocol allows, within the limit on repeats;
/// whichever result comes first is used, the other is freed.
void stage_home::OnOverdue(const call_state_ptr& call) {
  call->record->NoteSlowness(kOverdueFactor * kSlowFactor);
  shards_[call->shard].slowness_at[call->record->Info().id] =
      environment_.now();
  if (!environment_.repeats.Take(call->shard.service, environment_.now())) {
    return;
  }
  environment_.log.Write(
      "stage_call_overdue",
      {{"endpoint", call->record->Info().id},
       {"service", call->shard.service},
       {"pieces", call->pieces.size()},
       {"expected_ms", WholeMilliseconds(call->expected).count()}});
  environment_.metrics.Count("stage_calls_overdue", call->shard.service);
  call->pieces_released = true;
  for (const auto& piece : call->pieces) {
    const auto found = groups_.find(piece.group.get());
    if (found != groups_.end() && found->second->handles[piece.piece].empty()) {
      TryAgain(call->shard, piece);
    }
  }
  PumpSoon(call->shard, duration(0));
}

void stage_home::OnCallEnd(const call_state_ptr& call,
                           const http_result& result) {
  call->overdue.cancel();
  auto& state = shards_[call->shard];
  const auto calls = state.calls.find(call->record->Info().id);
  if (calls != state.calls.end() && --calls->second == 0) {
    state.calls.erase(calls);
  }
  const call_lesson lesson = TakeAnswer(call, result);
  call->record->NoteEnd(lesson, environment_.now());
  if (lesson != call_lesson::kAnswered) {
    environment_.log.Write(
        "stage_call_failed",
        {{"endpoint", call->record->Info().id},
         {"service", call->shard.service},
         {"pieces", call->pieces.size()},
         {"status", result.status},
         {"detail", result.detail},
         {"ms", WholeMilliseconds(environment_.now() - call->sent).count()}});
    environment_.metrics.Count("stage_calls_failed", call->shard.service);
  }
  PumpSoon(call->shard, duration(0));
}

call_lesson stage_home::TakeAnswer(const call_state_ptr& call,
                                   const http_result& result) {
  const time_point now = environment_.now();
  call_lesson lesson = call_lesson::kFailed;
  if (result.end == call_end::kConnectFailed) {
    lesson = call_lesson::kUnreachable;
  } else if (result.end == call_end::kComplete) {
    const auto facts = environment_.protocol.read_stage_answer(
        result.status, result.headers, now);
    if (facts.load) {
      call->record->NoteLoad(*facts.load);
    }
    if (facts.other_incarnation) {
      call->record->MarkGone();
      lesson = call_lesson::kRefused;
    } else if (facts.not_run) {
      shards_[call->shard].paused[call->record->Info().id] = now + kFullPause;
      lesson = call_lesson::kRefused;
    } else if (result.status == kOk) {
      const auto results = environment_.protocol.read_pieces(result.body);
      if (results.size() == call->pieces.size()) {
        call->record->NoteSlowness(Ratio(now - call->sent, call->nominal));
        shards_[call->shard].slowness_at[call->record->Info().id] = now;
        NotePieceTime(*call, now - call->sent);
        environment_.metrics.Observe("stage_call", call->shard.service,
                                     now - call->sent);
        TakeResults(call, results);
        return call_lesson::kAnswered;
      }
    }
  }
  if (!call->pieces_released) {
    for (const auto& piece : call->pieces) {
      TryAgain(call->shard, piece);
    }
  }
  return lesson;
}

void stage_home::NotePieceTime(const call_state& call, duration taken) {
  const batch_rule* rule = Rule(call.shard.service);
  auto& state = shards_[call.shard];
  if (rule == nullptr || IsSlow(state, *call.record)) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(taken - rule->call_time).count() /
      static_cast<double>(call.pieces.size());
  const double told = std::chrono::duration<double>(rule->piece_time).count();
  state.piece_time.Add(
      std::clamp(seconds, told * kLeastPart, told * kMostPart));
}

void stage_home::TakeResults(const call_state_ptr& call,
                             const std::vector<piece_result>& results) {
  for (std::size_t i = 0; i < results.size(); ++i) {
    TakeResult(call, call->pieces[i], results[i]);
  }
}

void stage_home::TakeResult(const call_state_ptr& call,
                            const waiting_piece& piece,
                            const piece_result& result) {
  const auto found = groups_.find(piece.group.get());
  const bool wanted =
      found != groups_.end() && found->second->handles[piece.piece].empty();
  if (result.end == piece_end::kMade) {
    const batch_rule* rule = Rule(call->shard.service);
    room_.NoteMade(call->record->Info().id, result.handle,
                   piece.group->result_bytes, environment_.now(),
                   rule == nullptr ? duration(0) : rule->keep_time);
    if (!wanted) {
      Free({result.handle});
      return;
    }
    const auto state = found->second;
    state->handles[piece.piece] = result.handle;
    if (--state->missing == 0) {
      auto handles = std::move(state->handles);
      state->handles.clear();
      Conclude(state, {stage_end::kMade, std::move(handles)});
    }
    return;
  }
  if (!wanted) {
    return;
  }
  environment_.metrics.Count("stage_pieces_not_made", call->shard.service);
  switch (result.end) {
    case piece_end::kTooLate:
      Fail(piece.group.get(), stage_end::kTooLate);
      break;
    case piece_end::kInputsGone:
      Fail(piece.group.get(), stage_end::kInputsGone);
      break;
    case piece_end::kNoRoom:
      shards_[call->shard].paused[call->record->Info().id] =
          environment_.now() + kFullPause;
      // Want of room says nothing of the piece, and ends with time.
      --found->second->tries[piece.piece];
      TryAgain(call->shard, piece);
      break;
    case piece_end::kMade:
    case piece_end::kFailed:
      if (!call->pieces_released) {
        TryAgain(call->shard, piece);
      }
      break;
  }
}

void stage_home::TryAgain(const stage_shard& shard,
                          const waiting_piece& piece) {
  const auto found = groups_.find(piece.group.get());
  if (found == groups_.end()) {
    return;
  }
  if (found->second->tries[piece.piece] >= kMaxTries) {
    Fail(piece.group.get(), stage_end::kFailed);
    return;
  }
  shards_[shard].queue.AddAgain(piece);
}

void stage_home::Fail(const piece_group* group, stage_end end) {
  const auto found = groups_.find(group);
  if (found != groups_.end()) {
    Conclude(found->second, {end, {}});
  }
}

void stage_home::Conclude(const group_state_ptr& ended, stage_outcome outcome) {
  // `ended` may be the very entry that is erased here.
  const group_state_ptr state = ended;  // NOLINT(performance-*)
  shards_[state->shard].queue.Remove(state->group.get());
  numbers_.erase(state->number);
  groups_.erase(state->group.get());
  std::vector<std::string> unused;
  for (auto& handle : state->handles) {
    if (!handle.empty()) {
      unused.push_back(std::move(handle));
    }
  }
  Free(std::move(unused));
  if (state->done) {
    asio::post(environment_.context,
               [done = std::move(state->done), outcome = std::move(outcome)] {
                 done(outcome);
               });
  }
}

void stage_home::Free(std::vector<std::string> handles) {
  for (auto& handle : handles) {
    auto keeper = environment_.protocol.keeper_of(handle);
    if (!keeper.empty()) {
      frees_[std::move(keeper)].push_back(std::move(handle));
    }
  }
  if (frees_.empty() || free_planned_) {
    return;
  }
  free_planned_ = true;
  free_timer_.expires_after(kFreeInterval);
  free_timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                             const asio::error_code& error) {
    if (!error && !alive.expired()) {
      free_planned_ = false;
      FlushFrees();
    }
  });
}

void stage_home::FlushFrees() {
  auto frees = std::exchange(frees_, {});
  for (auto& [keeper, handles] : frees) {
    const auto record = environment_.roster.FindAt(keeper);
    // A leaving endpoint takes its results with it; one whose address has gone
    // to another incarnation never held them.
    if (!record || Rule(record->Info().service) == nullptr) {
      continue;
    }
    handles.resize(std::min(handles.size(), kMaxHandlesPerFree));
    http_call call;
    call.method = "POST";
    call.url = UrlOf(*record, environment_.protocol.free_path);
    call.headers = environment_.protocol.stage_headers(record->Info().id);
    call.body = environment_.protocol.write_free(handles);
    call.connect_timeout = kConnectTimeout;
    call.timeout = kFreeTimeout;
    client_.Start(
        std::move(call),
        [this, service = record->Info().service, handles = std::move(handles),
         alive = std::weak_ptr<int>(alive_)](const http_result& result) {
          if (alive.expired()) {
            return;
          }
          // Results that are not freed expire by themselves.
          if (result.status != kOk) {
            environment_.metrics.Count("stage_frees_failed", service);
            return;
          }
          for (const auto& handle : handles) {
            room_.NoteFreed(handle);
          }
        });
  }
}

std::map<stage_shard, std::size_t> stage_home::Waiting() const {
  std::map<stage_shard, std::size_t> waiting;
  for (const auto& [shard, state] : shards_) {
    waiting[shard] = state.queue.Pieces() + state.admission.Booked();
  }
  return waiting;
}

}  // namespace slatestall
