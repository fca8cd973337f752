// Calls to endpoints, what comes of them, and results that are given up.
#include <algorithm>
#include <asio/post.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/gateway/stage_home.h"
#include "slatestall/gateway/stage_home_state.h"
#include "slatestall/model/ids.h"
#include "slatestall/relay/endpoint_exchange.h"
#include "slatestall/relay/message_text.h"

namespace slatestall {
namespace {

/// How often a piece is tried. A piece that failed at three endpoints fails
/// for a reason of its own.
constexpr unsigned kMaxTries = 4;
/// An overdue call's pieces are made elsewhere as well. Calls of one kind
/// differ by some tenths; twice the expected time and a bit is not chance.
constexpr double kOverdueFactor = 2.0;
constexpr milliseconds kOverdueSlack{150};
/// Bounds how long a wrong report of an endpoint's pace is trusted.
constexpr double kMostOverdueFactor = 5.0;
/// A call is given up after as many times its expected time: slow endpoints
/// work four to five times as long.
constexpr double kGiveUpFactor = 6.0;
constexpr milliseconds kShortestGiveUp{1500};
constexpr milliseconds kConnectTimeout{300};
/// An endpoint without room or with a full queue is left alone this long:
/// results are fetched, and calls end, several times a second. Doubles with
/// each refusal in a row, since another host then keeps it busy.
constexpr milliseconds kFullPause{60};
constexpr unsigned kMaxPauseDoublings = 2;
/// Results are freed together: a call for each would cost more than the room.
constexpr milliseconds kFreeInterval{60};
constexpr milliseconds kFreeTimeout{1000};
constexpr std::size_t kMaxHandlesPerFree = 400;
/// Bounds what an endpoint may answer with: an entry for each piece, and none
/// for a free.
constexpr std::size_t kMostAnswerBytes = std::size_t{16} << 10U;
constexpr std::size_t kMostEntryBytes = std::size_t{1} << 10U;
constexpr int kOk = 200;

double Ratio(duration a, duration b) {
  return static_cast<double>(a.count()) /
         std::max(1.0, static_cast<double>(b.count()));
}

/// The same for a piece that is made again.
std::uint64_t IdOf(const waiting_piece& piece) {
  const auto& group = *piece.group;
  return StableHash(group.request + "/" + std::to_string(group.stage),
                    piece.piece);
}

std::size_t CountUnreadable(const std::vector<piece_result>& results) {
  return static_cast<std::size_t>(
      std::count_if(results.begin(), results.end(),
                    [](const auto& result) { return !result.is_readable; }));
}

piece_costs::kind_counts CountKinds(const std::vector<waiting_piece>& pieces) {
  piece_costs::kind_counts counts;
  for (const auto& piece : pieces) {
    ++counts[piece.group->kind];
  }
  return counts;
}

}  // namespace

std::vector<std::string> stage_home::group_state::TakeHandles() {
  std::vector<std::string> taken;
  for (auto& handle : std::exchange(handles, {})) {
    if (handle) {
      taken.push_back(std::move(*handle));
    }
  }
  return taken;
}

void stage_home::SendBatch(const stage_shard& shard, const batch_rule& rule,
                           const endpoint_record_ptr& record,
                           piece_batch batch) {
  const auto call = std::make_shared<call_state>(environment_.context);
  call->shard = shard;
  call->record = record;
  call->pieces = std::move(batch.pieces);
  call->sent = environment_.now();
  call->nominal = NominalTime(call->pieces, shard, rule);
  // Known to be slow, it is given the time: made again elsewhere, its pieces
  // would cost the others what it was to take off them.
  call->pace = record->Pace(call->sent);
  call->expected = Scaled(call->nominal, SlownessNow(StateOf(shard), *record));
  record->NoteStart();
  environment_.NoteSent(*record);
  ++StateOf(shard).calls[record->Info().Incarnation()];
  environment_.metrics.Count("stage_calls", shard.service);
  environment_.metrics.Count("stage_pieces", shard.service,
                             call->pieces.size());
  for (const auto& piece : call->pieces) {
    ++groups_.at(piece.group.get())->tries[piece.piece];
  }

  auto options =
      CallOptions(*record, environment_.protocol.stage_path,
                  environment_.protocol.write_pieces(call->pieces, call->sent));
  options.limits.max_body_bytes += kMostEntryBytes * call->pieces.size();
  endpoint_call_hooks hooks;
  hooks.on_end = [call](call_outcome outcome) { call->outcome = outcome; };
  environment_.paths.Route(*record, options, hooks);
  call->is_direct = options.via.empty();
  const auto timeout =
      std::max(kShortestGiveUp,
               WholeMilliseconds(Scaled(call->expected, kGiveUpFactor)));
  StartExchange(
      environment_.context, std::move(options), std::move(hooks), timeout,
      [this, call,
       alive = std::weak_ptr<int>(alive_)](const http_result& result) {
        if (!alive.expired()) {
          OnCallEnd(call, result);
        }
      });
  // The bound is for the told pace; learnt slowness is given its whole time.
  const double learnt =
      IsSlow(StateOf(shard), *record) ? record->Slowness() : 1.0;
  const double most = std::max(kMostOverdueFactor, kOverdueFactor * learnt);
  WatchCall(call, std::min(Scaled(call->expected, kOverdueFactor),
                           Scaled(call->nominal, most)) +
                      kOverdueSlack);
}

/// What an ordinary endpoint takes for a call.
duration stage_home::NominalTime(const std::vector<waiting_piece>& pieces,
                                 const stage_shard& shard,
                                 const batch_rule& rule) const {
  if (!environment_.options.Uses(mechanism::kPieceCosts)) {
    return rule.call_time +
           rule.piece_time * static_cast<duration::rep>(pieces.size());
  }
  duration time = rule.call_time;
  for (const auto& [kind, count] : CountKinds(pieces)) {
    time += PieceTimeOf(kind, shard, rule) * static_cast<duration::rep>(count);
  }
  return time;
}

endpoint_call_options stage_home::CallOptions(const endpoint_record& record,
                                              const std::string& path,
                                              std::string body) const {
  auto headers = environment_.protocol.stage_headers(record.Info().id);
  headers.push_back({"Host", AddressText(record.Info())});
  headers.push_back({"Connection", "close"});
  headers.push_back({"Content-Length", std::to_string(body.size())});
  endpoint_call_options options;
  options.request = RequestHeadText("POST", path, headers) + std::move(body);
  options.connect_timeout = kConnectTimeout;
  options.silence_timeout = kEndpointSilence;
  options.limits.max_body_bytes = kMostAnswerBytes;
  return options;
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
  StateOf(call->shard).slowness_at[call->record->Info().Incarnation()] =
      environment_.now();
  if (!environment_.options.Uses(mechanism::kOverdueCalls) ||
      !environment_.repeats.Take(call->shard.service, environment_.now())) {
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
    if (found != groups_.end() && !found->second->IsMade(piece.piece)) {
      TryAgain(call->shard, piece);
    }
  }
  PumpSoon(call->shard, duration(0));
}

void stage_home::OnCallEnd(const call_state_ptr& call,
                           const http_result& result) {
  call->overdue.cancel();
  auto& state = StateOf(call->shard);
  const auto calls = state.calls.find(call->record->Info().Incarnation());
  if (calls != state.calls.end() && --calls->second == 0) {
    state.calls.erase(calls);
  }
  const call_lesson lesson =
      environment_.paths.LessonOf(call->shard.service, call->is_direct,
                                  call->outcome, TakeAnswer(call, result));
  call->record->NoteEnd(lesson, environment_.now());
  if (lesson != call_lesson::kAnswered) {
    environment_.log.Write(
        "stage_call_failed",
        {{"endpoint", call->record->Info().id},
         {"service", call->shard.service},
         {"pieces", call->pieces.size()},
         {"status", result.status},
         {"detail", result.detail},
         {"unreadable", call->unreadable},
         {"ms", WholeMilliseconds(environment_.now() - call->sent).count()}});
    environment_.metrics.Count("stage_calls_failed", call->shard.service);
    environment_.metrics.Count("unreadable", "piece", call->unreadable);
  }
  PumpSoon(call->shard, duration(0));
}

call_lesson stage_home::TakeAnswer(const call_state_ptr& call,
                                   const http_result& result) {
  const time_point now = environment_.now();
  call_lesson lesson = call_lesson::kFailed;
  const auto facts = ReadAnswer(*call->record, result, result.status == kOk);
  if (result.end == call_end::kConnectFailed) {
    lesson = OnUnreached(*call);
  } else if (result.end == call_end::kComplete) {
    if (facts.other_incarnation) {
      call->record->MarkGone();
      lesson = call_lesson::kRefused;
    } else if (facts.not_run) {
      Pause(*call);
      ReturnTries(*call);
      lesson = call_lesson::kRefused;
    } else if (result.status == kOk) {
      auto results = environment_.protocol.read_pieces(
          result.body, AddressText(call->record->Info()));
      if (results.size() == call->pieces.size()) {
        RejectOfOthers(*call, results);
        StateOf(call->shard).paused.erase(call->record->Info().Incarnation());
        NoteTaken(*call, now - call->sent);
        environment_.quarantine.NoteAnswer(call->shard.service, now);
        environment_.metrics.Observe("stage_call", call->shard.service,
                                     now - call->sent);
        TakeResults(call, results);
        call->unreadable = CountUnreadable(results);
        return call->unreadable == 0 ? call_lesson::kAnswered
                                     : call_lesson::kFailed;
      }
      call->unreadable = call->pieces.size();
    }
  }
  if (result.end == call_end::kTruncated) {
    if (call->is_direct && result.status == 0) {
      environment_.paths.NoteUnreached(call->record->Info());
    }
    NoteBroken(*call);
  }
  if (!call->pieces_released) {
    for (const auto& piece : call->pieces) {
      TryAgain(call->shard, piece);
    }
  }
  return lesson;
}

/// The endpoint has none of the pieces. Where it is this host that is cut off,
/// they have not been tried.
call_lesson stage_home::OnUnreached(const call_state& call) {
  if (call.is_direct) {
    environment_.paths.NoteUnreached(call.record->Info());
  }
  if (environment_.paths.IsCut(call.shard.service)) {
    ReturnTries(call);
  }
  return call_lesson::kUnreachable;
}

/// Reads what a head reports about its endpoint, also if the body was cut off.
answer_facts stage_home::ReadAnswer(endpoint_record& record,
                                    const http_result& result, bool ran) {
  if (result.status == 0) {
    return {};
  }
  auto facts = environment_.protocol.read_stage_answer(
      result.status, result.headers, environment_.now());
  environment_.NoteAnswer(record, facts, ran);
  return facts;
}

void stage_home::NoteBroken(const call_state& call) {
  for (const auto& piece : call.pieces) {
    if (piece.group->content == 0) {
      continue;
    }
    environment_.on_broken(call.record->Info(), {piece.group->content});
  }
}

void stage_home::Pause(const call_state& call) {
  auto& full = StateOf(call.shard).paused[call.record->Info().Incarnation()];
  full.until = environment_.now() +
               kFullPause * (1U << std::min(full.refusals, kMaxPauseDoublings));
  ++full.refusals;
}

/// A full endpoint says nothing of the pieces. Where several hosts call the
/// same endpoints for a moment, as when a home is replaced, pieces would else
/// use up their tries within some tens of milliseconds, and their requests be
/// refused although there is time left.
void stage_home::ReturnTries(const call_state& call) {
  for (const auto& piece : call.pieces) {
    const auto found = groups_.find(piece.group.get());
    if (found != groups_.end()) {
      --found->second->tries[piece.piece];
    }
  }
}

/// A call that began or ended while the machine was held up says nothing of the
/// endpoint, nor of its pieces.
void stage_home::NoteTaken(const call_state& call, duration taken) {
  const time_point now = environment_.now();
  if (call.pace > 1.0 || call.record->IsHeldUp(now)) {
    return;
  }
  call.record->NoteSlowness(Ratio(taken, call.nominal));
  StateOf(call.shard).slowness_at[call.record->Info().Incarnation()] = now;
  NotePieceTime(call, taken);
}

void stage_home::NotePieceTime(const call_state& call, duration taken) {
  const batch_rule* rule = Rule(call.shard.service);
  auto& state = StateOf(call.shard);
  if (rule == nullptr || IsSlow(state, *call.record)) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(taken - rule->call_time).count() /
      static_cast<double>(call.pieces.size());
  state.piece_time.Add(PlausiblePieceTime(seconds, rule->piece_time));
  state.costs.Note(CountKinds(call.pieces), taken - rule->call_time,
                   rule->piece_time);
}

/// Its bytes are another request's, or will be. It is not freed: the other
/// piece's result would go with it.
void stage_home::RejectOfOthers(const call_state& call,
                                std::vector<piece_result>& results) {
  for (std::size_t i = 0; i < results.size(); ++i) {
    if (results[i].end == piece_end::kMade &&
        room_.IsOfAnother(results[i].handle, IdOf(call.pieces[i]),
                          environment_.now())) {
      results[i] = {piece_end::kFailed, false, {}};
    }
  }
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
      found != groups_.end() && !found->second->IsMade(piece.piece);
  if (result.end == piece_end::kMade) {
    const batch_rule* rule = Rule(call->shard.service);
    room_.NoteMade(call->record->Info().Incarnation(), result.handle,
                   IdOf(piece), piece.group->result_bytes, environment_.now(),
                   rule == nullptr ? duration(0) : rule->keep_time);
    if (!wanted) {
      Free({result.handle});
      return;
    }
    const auto state = found->second;
    state->handles[piece.piece] = result.handle;
    if (--state->missing == 0) {
      auto handles = state->TakeHandles();
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
      Pause(*call);
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
  if (found->second->tries[piece.piece] >= kMaxTries ||
      environment_.quarantine.Refuses(piece.group->content,
                                      environment_.now())) {
    Fail(piece.group.get(), stage_end::kFailed);
    return;
  }
  StateOf(shard).queue.AddAgain(piece);
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
  StateOf(state->shard).queue.Remove(state->group.get());
  numbers_.erase(state->number);
  groups_.erase(state->group.get());
  Free(state->TakeHandles());
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
  PlanFrees();
}

void stage_home::PlanFrees() {
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
    if (record->BacksOff(environment_.now())) {
      frees_[keeper] = std::move(handles);
      continue;
    }
    handles.resize(std::min(handles.size(), kMaxHandlesPerFree));
    auto options = CallOptions(*record, environment_.protocol.free_path,
                               environment_.protocol.write_free(handles));
    endpoint_call_hooks hooks;
    environment_.paths.Route(*record, options, hooks);
    StartExchange(
        environment_.context, std::move(options), std::move(hooks),
        kFreeTimeout,
        [this, record, handles = std::move(handles),
         alive = std::weak_ptr<int>(alive_)](const http_result& result) {
          if (alive.expired()) {
            return;
          }
          ReadAnswer(*record, result, false);
          // Results that are not freed expire by themselves.
          if (result.status != kOk) {
            environment_.metrics.Count("stage_frees_failed",
                                       record->Info().service);
            return;
          }
          for (const auto& handle : handles) {
            room_.NoteFreed(handle);
          }
        });
  }
  PlanFrees();
}

std::map<stage_shard, std::size_t> stage_home::Waiting() const {
  std::map<stage_shard, std::size_t> waiting;
  for (const auto& [shard, state] : shards_) {
    waiting[shard] = state.queue.Pieces() + state.admission.Booked();
  }
  return waiting;
}

}  // namespace slatestall
