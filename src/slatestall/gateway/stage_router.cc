#include "slatestall/gateway/stage_router.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "slatestall/model/ids.h"
#include "slatestall/peer/frame_codec.h"

namespace slatestall {
namespace {

constexpr milliseconds kTick{50};
constexpr milliseconds kStatusTimeout{1000};
/// On top of the time after which results are worthless.
constexpr milliseconds kReplySlack{200};
/// Endpoints that one home forms calls for. Up to there one queue for all of a
/// service keeps them best filled; beyond, each failure domain has its own.
constexpr std::size_t kMostPerHome = 24;
/// An order is placed anew as often at most; each time a home was lost.
constexpr unsigned kMaxPlacements = 4;
/// A home that does not answer a booking for so long does not hold up the
/// request: it may still be served.
constexpr milliseconds kBookingTimeout{120};
/// Named like a shard, so that it has a ranking of its own.
constexpr const char* kReadersShard = "store readers";
constexpr std::size_t kReaders = 2;
/// A host that is not answered reads the store, which takes a few
/// milliseconds.
constexpr milliseconds kReaderTimeout{300};
/// Ten or so requests make the mean time of a stage.
constexpr double kUsualWeight = 0.1;

milliseconds WholeMilliseconds(duration value) {
  return std::chrono::duration_cast<milliseconds>(value);
}

std::string ShardName(const stage_shard& shard) {
  return shard.service + "/" + shard.domain;
}

wire::submit_piecesT ToWire(const stage_shard& shard, const piece_group& group,
                            time_point now) {
  wire::submit_piecesT submit;
  submit.service = shard.service;
  submit.domain = shard.domain;
  submit.request = group.request;
  submit.stage = static_cast<std::uint16_t>(group.stage);
  submit.pieces = static_cast<std::uint16_t>(group.pieces);
  submit.key = group.key;
  submit.inputs = group.inputs;
  submit.rank = static_cast<std::int16_t>(group.rank);
  submit.useful_ms = static_cast<std::int32_t>(
      WholeMilliseconds(group.useful_by - now).count());
  submit.worthless_ms = static_cast<std::int32_t>(
      WholeMilliseconds(group.worthless_after - now).count());
  submit.near = group.near;
  submit.result_bytes = group.result_bytes;
  return submit;
}

wire::book_stageT ToWire(const stage_need& need, time_point now) {
  const auto& booking = need.booking;
  const auto until = [now](time_point at) {
    return static_cast<std::int32_t>(WholeMilliseconds(at - now).count());
  };
  wire::book_stageT book;
  book.service = need.shard.service;
  book.domain = need.shard.domain;
  book.request = booking.request;
  book.stage = static_cast<std::uint16_t>(booking.stage);
  book.pieces = static_cast<std::uint16_t>(booking.pieces);
  book.rank = static_cast<std::int16_t>(booking.rank);
  book.due_ms = until(booking.due);
  book.useful_ms = until(booking.useful_by);
  book.worthless_ms = until(booking.worthless_after);
  return book;
}

stage_need FromWire(const wire::book_stageT& book, time_point now) {
  stage_need need;
  need.shard = {book.service, book.domain};
  need.booking.request = book.request;
  need.booking.stage = book.stage;
  need.booking.pieces = book.pieces;
  need.booking.rank = book.rank;
  need.booking.due = now + milliseconds(book.due_ms);
  need.booking.useful_by = now + milliseconds(book.useful_ms);
  need.booking.worthless_after = now + milliseconds(book.worthless_ms);
  return need;
}

/// A home that cannot be asked is taken to have room.
booking_answer AnswerIn(const peer_reply& reply) {
  const auto* told = reply.end == peer_call_end::kReplied
                         ? reply.body.Asbook_stage_reply()
                         : nullptr;
  booking_answer answer;
  if (told != nullptr && told->verdict == wire::book_verdict::late) {
    answer.verdict = booking_verdict::kLate;
  }
  if (told != nullptr && told->verdict == wire::book_verdict::refused) {
    answer.verdict = booking_verdict::kRefused;
    answer.room_after = milliseconds(told->room_after_ms);
  }
  return answer;
}

piece_group FromWire(const wire::submit_piecesT& submit, time_point now) {
  piece_group group;
  group.request = submit.request;
  group.stage = submit.stage;
  group.pieces = submit.pieces;
  group.key = submit.key;
  group.inputs = submit.inputs;
  group.rank = submit.rank;
  group.useful_by = now + milliseconds(submit.useful_ms);
  group.worthless_after = now + milliseconds(submit.worthless_ms);
  group.near = submit.near;
  group.result_bytes = submit.result_bytes;
  return group;
}

wire::pieces_end ToWire(stage_end end) {
  switch (end) {
    case stage_end::kMade:
      return wire::pieces_end::made;
    case stage_end::kTooLate:
      return wire::pieces_end::too_late;
    case stage_end::kInputsGone:
      return wire::pieces_end::inputs_gone;
    case stage_end::kFailed:
      break;
  }
  return wire::pieces_end::failed;
}

stage_end FromWire(wire::pieces_end end) {
  switch (end) {
    case wire::pieces_end::made:
      return stage_end::kMade;
    case wire::pieces_end::too_late:
      return stage_end::kTooLate;
    case wire::pieces_end::inputs_gone:
      return stage_end::kInputsGone;
    case wire::pieces_end::failed:
      break;
  }
  return stage_end::kFailed;
}

}  // namespace

/// Pieces of one of this host's requests, on their way.
struct stage_router::order {
  stage_number number = 0;
  stage_shard shard;
  piece_group group;
  std::function<void(stage_outcome)> done;
  std::string host;        ///< Where it is now.
  stage_number local = 0;  ///< At the own home, where it is there.
  unsigned placements = 0;
  time_point submitted{};
};

stage_router::stage_router(gateway_environment& environment, stage_home& home,
                           peer_node& peers, tail_source read_tail)
    : environment_(environment),
      home_(home),
      peers_(peers),
      read_tail_(std::move(read_tail)),
      self_(environment.options.host_name),
      hosts_({{self_, environment.options.Weight()}}),
      tick_(environment.context) {
  ServePeers();
  Tick();
}

stage_router::~stage_router() = default;

stage_calls stage_router::Calls() {
  stage_calls calls;
  calls.book = [this](std::vector<stage_need> needs,
                      std::function<void(booking_answer)> done) {
    Book(std::move(needs), std::move(done));
  };
  calls.release = [this](const std::vector<stage_need>& needs) {
    Release(needs);
  };
  calls.shard_for = [this](const std::string& service,
                           const std::string& request,
                           const std::string& near) {
    return ShardFor(service, request, near);
  };
  calls.submit = [this](const stage_shard& shard, piece_group group,
                        std::function<void(stage_outcome)> done) {
    return Submit(shard, std::move(group), std::move(done));
  };
  calls.cancel = [this](stage_number number) { Cancel(number); };
  calls.free = [this](const std::vector<std::string>& handles) {
    Free(handles);
  };
  calls.usual_time = [this](const std::string& service) {
    return UsualTime(service);
  };
  return calls;
}

// ------------------------------------------------------------------ Homes

void stage_router::SetHosts(std::vector<listed_gateway> hosts) {
  std::vector<peer_address> others;
  std::vector<std::string> names{self_};
  hosts_ = {{self_, environment_.options.Weight()}};
  for (auto& host : hosts) {
    if (host.address.host != self_) {
      hosts_.push_back({host.address.host, host.weight});
      names.push_back(host.address.host);
      others.push_back(std::move(host.address));
    }
  }
  rankings_.clear();
  health_.Keep(names);
  peers_.SetPeers(others);
}

void stage_router::Refresh() {
  rankings_.clear();
  home_.Refresh();
}

std::vector<std::string> stage_router::DomainsOf(
    const std::string& service) const {
  std::set<std::string> domains;
  std::size_t usable = 0;
  for (const auto& record : environment_.roster.Of(service)) {
    if (record->Usable()) {
      domains.insert(record->Info().failure_domain);
      ++usable;
    }
  }
  if (usable <= kMostPerHome) {
    return {std::string()};
  }
  return {domains.begin(), domains.end()};
}

std::vector<stage_shard> stage_router::Shards() const {
  std::vector<stage_shard> shards;
  if (!environment_.table) {
    return shards;
  }
  for (const auto& [name, rule] : environment_.table->services) {
    if (rule.batches) {
      for (auto& domain : DomainsOf(name)) {
        shards.push_back({name, std::move(domain)});
      }
    }
  }
  return shards;
}

const std::vector<std::string>& stage_router::Ranked(
    const stage_shard& shard) const {
  const auto found = rankings_.find(shard);
  if (found != rankings_.end()) {
    return found->second;
  }
  return rankings_[shard] = RankHomes(ShardName(shard), hosts_);
}

std::string stage_router::HomeOf(const stage_shard& shard) const {
  for (const auto& host : Ranked(shard)) {
    if (host == self_ ? !draining_ : health_.IsTrusted(host)) {
      return host;
    }
  }
  return self_;
}

/// Pieces that wait for each endpoint of a shard.
double stage_router::Crowding(const stage_shard& shard) const {
  std::size_t endpoints = 0;
  for (const auto& record : environment_.roster.Of(shard.service)) {
    const auto& info = record->Info();
    const bool belongs =
        shard.domain.empty() || shard.domain == info.failure_domain;
    endpoints += belongs && record->Usable() ? 1 : 0;
  }
  const auto told = told_waiting_.find(shard);
  const auto waiting = told == told_waiting_.end()
                           ? 0.0
                           : static_cast<double>(told->second.second);
  return waiting / std::max(0.5, static_cast<double>(endpoints));
}

/// The shard of the failure domain where the pieces are best made, unless it
/// is far more crowded than another; then, or where none is best, the less
/// crowded of two that the request's id picks.
stage_shard stage_router::ShardFor(const std::string& service,
                                   const std::string& request,
                                   const std::string& near) const {
  const auto domains = DomainsOf(service);
  if (domains.size() < 2) {
    return {service, domains.empty() ? std::string() : domains.front()};
  }
  const auto draw = StableHash(request);
  const auto& one = domains[draw % domains.size()];
  const auto& other = domains[(draw / domains.size()) % domains.size()];
  const stage_shard first{service, one};
  const stage_shard second{service, other};
  const auto& calmer = Crowding(second) < Crowding(first) ? second : first;
  const bool near_exists =
      std::find(domains.begin(), domains.end(), near) != domains.end();
  if (!near_exists) {
    return calmer;
  }
  const stage_shard close{service, near};
  const auto* rule = environment_.table->Service(service);
  const double full_call =
      rule != nullptr && rule->batches ? rule->batches->most_pieces : 1.0;
  return Crowding(close) > full_call + Crowding(calmer) ? calmer : close;
}

/// Never outside what a call can take: a mean that had grown past it would
/// have every request refused, and then nothing would bring it down again.
duration stage_router::UsualTime(const std::string& service) const {
  const auto* rule =
      environment_.table ? environment_.table->Service(service) : nullptr;
  if (rule == nullptr || !rule->batches) {
    return duration(0);
  }
  const auto& batches = *rule->batches;
  const duration full_call =
      batches.call_time +
      batches.piece_time * static_cast<duration::rep>(batches.most_pieces);
  const auto seen = usual_times_.find(service);
  if (seen == usual_times_.end()) {
    return (batches.call_time + full_call) / 2;
  }
  const auto mean = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seen->second.Value()));
  return std::clamp(mean, batches.call_time, full_call + full_call / 2);
}

// --------------------------------------------------------------- Bookings

void stage_router::Book(std::vector<stage_need> needs,
                        std::function<void(booking_answer)> done) {
  struct round {
    std::vector<stage_need> needs;
    std::function<void(booking_answer)> done;
    std::size_t awaited = 0;
    booking_answer worst;
  };
  const auto asked = std::make_shared<round>();
  asked->needs = std::move(needs);
  asked->done = std::move(done);
  asked->awaited = asked->needs.size() + 1;
  const auto take = [this, asked](const booking_answer& answer) {
    if (answer.verdict > asked->worst.verdict) {
      asked->worst.verdict = answer.verdict;
    }
    asked->worst.room_after =
        std::max(asked->worst.room_after, answer.room_after);
    if (--asked->awaited > 0) {
      return;
    }
    if (asked->worst.verdict == booking_verdict::kRefused) {
      Release(asked->needs);
    }
    asked->done(asked->worst);
  };
  for (const auto& need : asked->needs) {
    const auto host = HomeOf(need.shard);
    if (host == self_) {
      take(home_.Book(need));
      continue;
    }
    peers_.Call(host, MakeMessage(ToWire(need, environment_.now())),
                kBookingTimeout,
                [take](const peer_reply& reply) { take(AnswerIn(reply)); });
  }
  take({});
}

void stage_router::Release(const std::vector<stage_need>& needs) {
  for (const auto& need : needs) {
    const auto host = HomeOf(need.shard);
    if (host == self_) {
      home_.Release(need);
      continue;
    }
    wire::cancel_piecesT cancel;
    cancel.request = need.booking.request;
    cancel.stage = static_cast<std::uint16_t>(need.booking.stage);
    cancel.service = need.shard.service;
    cancel.domain = need.shard.domain;
    peers_.Notify(host, MakeMessage(std::move(cancel)));
  }
}

// ----------------------------------------------------------------- Orders

stage_number stage_router::Submit(const stage_shard& shard, piece_group group,
                                  std::function<void(stage_outcome)> done) {
  const auto placed = std::make_shared<order>();
  placed->number = next_number_++;
  placed->shard = shard;
  placed->submitted = environment_.now();
  placed->group = std::move(group);
  placed->done = std::move(done);
  orders_[placed->number] = placed;
  Place(placed);
  return placed->number;
}

void stage_router::Place(const order_ptr& placed) {
  ++placed->placements;
  placed->host = HomeOf(placed->shard);
  placed->local = 0;
  if (placed->host == self_ || placed->placements > kMaxPlacements) {
    placed->host = self_;
    placed->local = home_.Submit(placed->shard, placed->group,
                                 [this, placed](stage_outcome outcome) {
                                   OnLocal(placed, std::move(outcome));
                                 });
    return;
  }
  PlaceAt(placed->host, placed);
}

void stage_router::PlaceAt(const std::string& host, const order_ptr& placed) {
  const time_point now = environment_.now();
  const auto timeout = std::max(
      kReplySlack,
      WholeMilliseconds(placed->group.worthless_after - now) + kReplySlack);
  peers_.Call(host, MakeMessage(ToWire(placed->shard, placed->group, now)),
              timeout, [this, placed, host](const peer_reply& reply) {
                OnReply(placed, host, reply);
              });
}

void stage_router::OnReply(const order_ptr& placed, const std::string& host,
                           const peer_reply& reply) {
  const auto* made = reply.end == peer_call_end::kReplied
                         ? reply.body.Assubmit_pieces_reply()
                         : nullptr;
  // Cancelled, or placed anew meanwhile: what that home made is of no use.
  if (!placed->done || placed->host != host) {
    if (made != nullptr && !made->handles.empty()) {
      Free(made->handles);
    }
    return;
  }
  if (made != nullptr) {
    stage_outcome outcome;
    outcome.end = FromWire(made->end);
    outcome.handles = made->handles;
    const bool whole = outcome.end != stage_end::kMade ||
                       outcome.handles.size() == placed->group.pieces;
    if (!whole) {
      outcome.end = stage_end::kFailed;
    }
    Conclude(placed, std::move(outcome));
    return;
  }
  environment_.log.Write("home_lost_pieces",
                         {{"request", placed->group.request},
                          {"stage", placed->group.stage},
                          {"home", host},
                          {"detail", reply.detail}});
  if (environment_.now() > placed->group.worthless_after) {
    Conclude(placed, {stage_end::kTooLate, {}});
    return;
  }
  Lose(host, "a call failed");
  // Others may have been placed anew by that already.
  if (placed->host == host) {
    Place(placed);
  }
}

void stage_router::OnLocal(const order_ptr& placed, stage_outcome outcome) {
  if (placed->done) {
    Conclude(placed, std::move(outcome));
  }
}

void stage_router::Conclude(const order_ptr& placed, stage_outcome outcome) {
  orders_.erase(placed->number);
  if (outcome.end == stage_end::kMade) {
    auto& usual = usual_times_.try_emplace(placed->shard.service, kUsualWeight)
                      .first->second;
    usual.Add(
        std::chrono::duration<double>(environment_.now() - placed->submitted)
            .count());
  }
  const auto done = std::exchange(placed->done, nullptr);
  done(std::move(outcome));
}

void stage_router::Cancel(stage_number number) {
  const auto found = orders_.find(number);
  if (found == orders_.end()) {
    return;
  }
  const auto placed = found->second;
  orders_.erase(found);
  placed->done = nullptr;
  if (placed->local != 0) {
    home_.Cancel(placed->local);
    return;
  }
  wire::cancel_piecesT cancel;
  cancel.request = placed->group.request;
  cancel.stage = static_cast<std::uint16_t>(placed->group.stage);
  peers_.Notify(placed->host, MakeMessage(std::move(cancel)));
}

/// Results are freed by the home of their maker, which counts the room there.
void stage_router::Free(const std::vector<std::string>& handles) {
  std::map<std::string, std::vector<std::string>> by_home;
  for (const auto& handle : handles) {
    const auto record =
        environment_.roster.FindAt(environment_.protocol.keeper_of(handle));
    if (!record) {
      continue;
    }
    const auto domains = DomainsOf(record->Info().service);
    const bool is_whole = domains.size() < 2;
    by_home[HomeOf({record->Info().service,
                    is_whole ? std::string() : record->Info().failure_domain})]
        .push_back(handle);
  }
  for (auto& [host, freed] : by_home) {
    if (host == self_) {
      home_.Free(std::move(freed));
      continue;
    }
    wire::free_resultsT notice;
    notice.handles = std::move(freed);
    peers_.Notify(host, MakeMessage(std::move(notice)));
  }
}

// ------------------------------------------------------- For other hosts

void stage_router::ServePeers() {
  peers_.Handle(
      wire::message::submit_pieces,
      [this](const wire::messageUnion& request, const std::string& from,
             const std::function<void(wire::messageUnion)>& reply) {
        TakeSubmit(*request.Assubmit_pieces(), from, reply);
      });
  peers_.Handle(wire::message::book_stage,
                [this](const wire::messageUnion& request, const std::string&,
                       const std::function<void(wire::messageUnion)>& reply) {
                  TakeBooking(*request.Asbook_stage(), reply);
                });
  peers_.Handle(wire::message::read_topic,
                [this](const wire::messageUnion& request, const std::string&,
                       const std::function<void(wire::messageUnion)>& reply) {
                  const auto& ask = *request.Asread_topic();
                  const auto read = read_tail_(ask.topic, ask.from);
                  wire::read_topic_replyT told;
                  told.known = read.has_value();
                  if (read) {
                    told.next = read->next;
                    told.age_ms = static_cast<std::uint32_t>(read->age.count());
                    for (const auto& record : read->records) {
                      auto entry = std::make_unique<wire::topic_recordT>();
                      entry->key = record.key;
                      entry->value = record.value.value_or("");
                      entry->deleted = !record.value.has_value();
                      told.records.push_back(std::move(entry));
                    }
                  }
                  reply(MakeMessage(std::move(told)));
                });
  peers_.Handle(wire::message::home_status_request,
                [this](const wire::messageUnion&, const std::string&,
                       const std::function<void(wire::messageUnion)>& reply) {
                  wire::home_status_replyT status;
                  status.draining = draining_;
                  for (const auto& [shard, pieces] : home_.Waiting()) {
                    auto load = std::make_unique<wire::stage_loadT>();
                    load->service = shard.service;
                    load->domain = shard.domain;
                    load->pieces = static_cast<std::uint32_t>(pieces);
                    status.loads.push_back(std::move(load));
                  }
                  reply(MakeMessage(std::move(status)));
                });
  peers_.HandleNotice(
      wire::message::cancel_pieces,
      [this](const wire::messageUnion& notice, const std::string& from) {
        const auto& cancel = *notice.Ascancel_pieces();
        if (!cancel.service.empty()) {
          stage_need need;
          need.shard = {cancel.service, cancel.domain};
          need.booking.request = cancel.request;
          need.booking.stage = cancel.stage;
          home_.Release(need);
          return;
        }
        const auto found = served_.find({from, cancel.request, cancel.stage});
        if (found != served_.end()) {
          home_.Cancel(found->second);
          served_.erase(found);
        }
      });
  peers_.HandleNotice(
      wire::message::free_results,
      [this](const wire::messageUnion& notice, const std::string&) {
        home_.Free(notice.Asfree_results()->handles);
      });
}

void stage_router::TakeBooking(
    const wire::book_stageT& booking,
    const std::function<void(wire::messageUnion)>& reply) {
  const auto answer = home_.Book(FromWire(booking, environment_.now()));
  wire::book_stage_replyT told;
  switch (answer.verdict) {
    case booking_verdict::kInTime:
      told.verdict = wire::book_verdict::in_time;
      break;
    case booking_verdict::kLate:
      told.verdict = wire::book_verdict::late;
      break;
    case booking_verdict::kRefused:
      told.verdict = wire::book_verdict::refused;
      break;
  }
  told.room_after_ms = static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, WholeMilliseconds(answer.room_after).count()));
  reply(MakeMessage(told));
}

void stage_router::TakeSubmit(
    const wire::submit_piecesT& submit, const std::string& from,
    const std::function<void(wire::messageUnion)>& reply) {
  if (submit.pieces == 0) {
    wire::submit_pieces_replyT answer;
    answer.end = wire::pieces_end::failed;
    reply(MakeMessage(std::move(answer)));
    return;
  }
  const std::tuple key{from, submit.request, unsigned{submit.stage}};
  const auto number = home_.Submit(
      {submit.service, submit.domain}, FromWire(submit, environment_.now()),
      [this, key, reply](stage_outcome outcome) {
        served_.erase(key);
        wire::submit_pieces_replyT answer;
        answer.end = ToWire(outcome.end);
        answer.handles = std::move(outcome.handles);
        reply(MakeMessage(std::move(answer)));
      });
  served_[key] = number;
}

// ------------------------------------------------------------- Readers

/// Two at a time: with one lost, hosts turn to the other within a moment.
std::vector<std::string> stage_router::Readers() const {
  std::vector<std::string> readers;
  for (const auto& host : Ranked({kReadersShard, ""})) {
    if (host == self_ || health_.IsTrusted(host)) {
      readers.push_back(host);
    }
    if (readers.size() == kReaders) {
      break;
    }
  }
  return readers;
}

void stage_router::AskReader(
    const std::string& topic, std::uint64_t from,
    std::function<void(std::optional<tail_read>)> done) {
  const auto readers = Readers();
  const bool reads_itself =
      std::find(readers.begin(), readers.end(), self_) != readers.end();
  if (reads_itself || readers.empty()) {
    done(std::nullopt);
    return;
  }
  wire::read_topicT ask;
  ask.topic = topic;
  ask.from = from;
  peers_.Call(
      readers[StableHash(self_) % readers.size()], MakeMessage(std::move(ask)),
      kReaderTimeout, [done = std::move(done)](const peer_reply& reply) {
        const auto* told = reply.end == peer_call_end::kReplied
                               ? reply.body.Asread_topic_reply()
                               : nullptr;
        if (told == nullptr || !told->known) {
          done(std::nullopt);
          return;
        }
        tail_read read;
        read.next = told->next;
        read.age = milliseconds(told->age_ms);
        for (const auto& record : told->records) {
          read.records.push_back(
              {record->key,
               record->deleted ? std::nullopt : std::optional(record->value)});
        }
        done(std::move(read));
      });
}

// ------------------------------------------------------- Health of homes

void stage_router::Tick() {
  const time_point now = environment_.now();
  for (const auto& host : health_.Overdue(now)) {
    Lose(host, "no answer in time");
  }
  std::set<std::string> wanted;
  for (const auto& host : Wanted({kReadersShard, ""}, kReaders)) {
    wanted.insert(host);
  }
  for (const auto& shard : Shards()) {
    for (const auto& host : Wanted(shard, 1)) {
      wanted.insert(host);
    }
  }
  for (const auto& host : wanted) {
    if (health_.IsDue(host, now)) {
      Ask(host);
    }
  }
  for (const auto& [shard, pieces] : home_.Waiting()) {
    if (HomeOf(shard) == self_) {
      told_waiting_[shard] = {self_, pieces};
    }
  }
  tick_.expires_after(kTick);
  tick_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                       const asio::error_code& error) {
    if (!error && !alive.expired()) {
      Tick();
    }
  });
}

/// Other hosts to be asked so that `count` usable ones are known of a ranking:
/// those in use, and all before them that may have come back.
std::vector<std::string> stage_router::Wanted(const stage_shard& shard,
                                              std::size_t count) const {
  std::vector<std::string> wanted;
  for (const auto& host : Ranked(shard)) {
    if (count == 0) {
      break;
    }
    const bool is_self = host == self_;
    if (!is_self) {
      wanted.push_back(host);
    }
    if (is_self ? !draining_ : health_.IsTrusted(host)) {
      --count;
    }
  }
  return wanted;
}

void stage_router::Ask(const std::string& host) {
  health_.NoteAsked(host, environment_.now());
  peers_.Call(host, MakeMessage(wire::home_status_requestT()), kStatusTimeout,
              [this, host](const peer_reply& reply) {
                const auto* status = reply.end == peer_call_end::kReplied
                                         ? reply.body.Ashome_status_reply()
                                         : nullptr;
                if (status == nullptr) {
                  Lose(host, "no status");
                  return;
                }
                health_.NoteAnswer(host, status->draining, environment_.now());
                for (const auto& load : status->loads) {
                  const stage_shard shard{load->service, load->domain};
                  if (HomeOf(shard) == host) {
                    told_waiting_[shard] = {host, load->pieces};
                  }
                }
              });
}

void stage_router::Lose(const std::string& host, const char* why) {
  if (health_.IsTrusted(host)) {
    environment_.log.Write("home_lost", {{"home", host}, {"detail", why}});
    environment_.metrics.Count("homes_lost", why);
  }
  health_.NoteFailure(host, environment_.now());
  // Ends its calls, whose pieces are then placed elsewhere.
  peers_.Drop(host);
}

}  // namespace slatestall
