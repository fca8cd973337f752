// Bookings and orders of this host, and where they go.
#include "slatestall/gateway/stage_router.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>
#include <utility>

#include "slatestall/gateway/stage_wire.h"
#include "slatestall/model/ids.h"
#include "slatestall/peer/frame_codec.h"

namespace slatestall {
namespace {

/// On top of the time after which results are worthless.
constexpr milliseconds kReplySlack{200};
/// An order is placed anew as often at most; each time a home was lost.
constexpr unsigned kMaxPlacements = 4;
/// A home that does not answer a booking for so long does not hold up the
/// request: it may still be served.
constexpr milliseconds kBookingTimeout{120};
/// An ordinary call of a stage ends within it.
constexpr milliseconds kStrandedWait{400};
/// Ten or so requests make the mean time of a stage.
constexpr double kUsualWeight = 0.1;

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
                           peer_node& peers)
    : environment_(environment),
      home_(home),
      peers_(peers),
      self_(environment.options.host_name),
      homes_({self_, environment.options.Weight()}, environment.started_at,
             environment.options.disabled),
      tree_({self_, environment.options.failure_domain,
             environment.options.Weight()},
            environment.started_at, environment.options.disabled),
      pool_(environment.repeats.Times(), RandomBits(), environment.started_at),
      tick_(environment.context),
      stranded_timer_(environment.context) {
  ServePeers();
  peers_.SetPeers(Contacts());
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
                           const std::string& request, const std::string& near,
                           const region_limit& regions) {
    return ShardFor(service, request, near, regions);
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
    WithHome(need.shard, [this, need, take](const std::string& host) {
      if (host == self_) {
        take(home_.Book(need));
        return;
      }
      peers_.Call(host, MakeMessage(ToWire(need, environment_.now())),
                  kBookingTimeout,
                  [take](const peer_reply& reply) { take(AnswerIn(reply)); });
    });
  }
  take({});
}

void stage_router::Release(const std::vector<stage_need>& needs) {
  for (const auto& need : needs) {
    WithHome(need.shard, [this, need](const std::string& host) {
      if (host == self_) {
        home_.Release(need);
        return;
      }
      wire::release_bookingT release;
      release.service = need.shard.service;
      release.domain = need.shard.domain;
      release.request = need.booking.request;
      release.stage = static_cast<std::uint16_t>(need.booking.stage);
      peers_.Notify(host, MakeMessage(std::move(release)));
    });
  }
}

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
  placed->host.clear();
  placed->local = 0;
  const auto may_use = [this, &placed](const known_endpoint& endpoint) {
    return environment_.Allows(placed->group.regions, endpoint.failure_domain);
  };
  if (!environment_.roster.HasUsable(placed->shard.service, may_use)) {
    asio::post(environment_.context,
               [this, placed, alive = std::weak_ptr<int>(alive_)] {
                 if (!alive.expired() && placed->done) {
                   Conclude(placed, {stage_end::kFailed, {}});
                 }
               });
    return;
  }
  if (placed->placements > kMaxPlacements) {
    PlaceHere(placed);
    return;
  }
  if (!IsLive(placed->shard)) {
    placed->shard = ShardFor(placed->shard.service, placed->group.request,
                             std::string(), placed->group.regions);
  }
  WithHome(placed->shard, [this, placed](const std::string& host) {
    if (!placed->done) {
      return;  // Cancelled meanwhile.
    }
    if (host == self_) {
      PlaceHere(placed);
    } else {
      PlaceAt(host, placed);
    }
  });
}

void stage_router::PlaceHere(const order_ptr& placed) {
  placed->host = self_;
  placed->local = home_.Submit(placed->shard, placed->group,
                               [this, placed](stage_outcome outcome) {
                                 OnLocal(placed, std::move(outcome));
                               });
}

void stage_router::PlaceAt(const std::string& host, const order_ptr& placed) {
  placed->host = host;
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
    if (outcome.end == stage_end::kMade &&
        !AreResults(outcome.handles, placed->group.pieces)) {
      environment_.log.Write("home_reply_unreadable",
                             {{"request", placed->group.request},
                              {"stage", placed->group.stage},
                              {"home", host}});
      environment_.metrics.Count("unreadable", "home_reply");
      outcome = {stage_end::kFailed, {}};
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

/// Whether a home has made every piece, and each is a result of its own.
bool stage_router::AreResults(const std::vector<std::string>& handles,
                              std::size_t pieces) const {
  const std::set<std::string> distinct(handles.begin(), handles.end());
  return handles.size() == pieces && distinct.size() == pieces &&
         std::none_of(handles.begin(), handles.end(), [this](const auto& one) {
           return environment_.protocol.keeper_of(one).empty();
         });
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
  Withdraw(*placed);
}

void stage_router::Withdraw(const order& placed) {
  if (placed.local != 0) {
    home_.Cancel(placed.local);
    return;
  }
  if (placed.host.empty()) {
    return;  // Still waits for its home.
  }
  wire::cancel_piecesT cancel;
  cancel.request = placed.group.request;
  cancel.stage = static_cast<std::uint16_t>(placed.group.stage);
  peers_.Notify(placed.host, MakeMessage(std::move(cancel)));
}

/// Whether endpoints are called by that shard: with one failure domain taking
/// no more work, its pieces are made in another.
bool stage_router::IsLive(const stage_shard& shard) const {
  const auto domains = DomainsOf(shard.service);
  return environment_.roster.HasUsable(shard.service) &&
         std::find(domains.begin(), domains.end(), shard.domain) !=
             domains.end();
}

/// Calls that are under way may still end well, and what they make is good.
void stage_router::MoveStrandedSoon() {
  if (moves_stranded_soon_) {
    return;
  }
  moves_stranded_soon_ = true;
  stranded_timer_.expires_after(kStrandedWait);
  stranded_timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                                 const asio::error_code& error) {
    if (!error && !alive.expired()) {
      moves_stranded_soon_ = false;
      MoveStranded();
    }
  });
}

void stage_router::MoveStranded() {
  std::map<stage_shard, bool> live;
  std::vector<order_ptr> stranded;
  for (const auto& [number, placed] : orders_) {
    const auto& shard = placed->shard;
    const auto [known, is_new] = live.try_emplace(shard, true);
    if (is_new) {
      known->second = IsLive(shard);
    }
    if (known->second) {
      continue;
    }
    if (placed->host.empty()) {
      MoveStrandedSoon();  // It is about to get a home.
    } else {
      stranded.push_back(placed);
    }
  }
  for (const auto& placed : stranded) {
    environment_.metrics.Count("stage_orders_moved", placed->shard.service);
    Withdraw(*placed);
    Place(placed);
  }
}

/// Results are freed by the home of their maker, which counts the room there.
void stage_router::Free(const std::vector<std::string>& handles) {
  std::map<stage_shard, std::vector<std::string>> by_shard;
  for (const auto& handle : handles) {
    const auto record =
        environment_.roster.FindAt(environment_.protocol.keeper_of(handle));
    if (!record) {
      continue;
    }
    const auto domains = DomainsOf(record->Info().service);
    const bool is_whole = domains.size() < 2;
    by_shard[{record->Info().service,
              is_whole ? std::string() : record->Info().failure_domain}]
        .push_back(handle);
  }
  for (auto& [shard, freed] : by_shard) {
    WithHome(shard, [this, freed = std::move(freed)](const std::string& host) {
      if (host == self_) {
        home_.Free(freed);
        return;
      }
      wire::free_resultsT notice;
      notice.handles = freed;
      peers_.Notify(host, MakeMessage(std::move(notice)));
    });
  }
}

}  // namespace slatestall
