#include "slatestall/gateway/endpoint_paths.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/model/ids.h"
#include "slatestall/relay/endpoint_exchange.h"

namespace slatestall {
namespace {

/// Hosts tried for one call before it counts as not passed on.
constexpr std::size_t kMostHops = 3;
constexpr milliseconds kProbeInterval{500};
/// Other endpoints that are looked at after a failure.
constexpr std::size_t kLooks = 2;
constexpr milliseconds kProbeConnectTime{350};
/// A path that resets what it has accepted does so at once.
constexpr milliseconds kProbeHoldTime{150};
constexpr milliseconds kConfirmTimeout{1000};
constexpr milliseconds kRelaySilence{1200};

std::uint64_t Draw(std::uint64_t bound) { return RandomBits() % bound; }

}  // namespace

/// A connection without a request, to see whether it is made and stays.
struct endpoint_paths::probe {
  explicit probe(asio::io_context& context) : socket(context), timer(context) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::array<char, 1> input{};
  bool connected = false;
  std::function<void(bool reached)> done;

  void Finish(bool reached) {
    asio::error_code ignored;
    timer.cancel();
    socket.close(ignored);
    if (const auto on_done = std::exchange(done, nullptr)) {
      on_done(reached);
    }
  }

  static void Start(const std::shared_ptr<probe>& self,
                    const asio::ip::tcp::endpoint& to) {
    self->timer.expires_after(kProbeConnectTime);
    self->timer.async_wait([self](const asio::error_code& error) {
      if (!error) {
        self->Finish(self->connected);
      }
    });
    self->socket.async_connect(to, [self](const asio::error_code& error) {
      if (error) {
        self->Finish(false);
        return;
      }
      self->connected = true;
      self->timer.expires_after(kProbeHoldTime);
      self->timer.async_wait([self](const asio::error_code& cancelled) {
        if (!cancelled) {
          self->Finish(true);
        }
      });
      self->socket.async_read_some(
          asio::buffer(self->input),
          [self](const asio::error_code& ended, std::size_t) {
            self->Finish(!ended);
          });
    });
  }
};

/// The place of one call among those that other hosts pass on.
class endpoint_paths::relay_use {
 public:
  relay_use(relay_choice& relays, const std::shared_ptr<int>& owner,
            const std::vector<relay_hop>& via)
      : relays_(relays), owner_(owner), via_(via) {
    relays_.NoteStart(via_.front().host);
  }
  ~relay_use() {
    if (IsAlive() && IsRelayed()) {
      relays_.NoteEnd(via_[hop_].host);
    }
  }
  relay_use(const relay_use&) = delete;
  relay_use& operator=(const relay_use&) = delete;

  bool IsAlive() const { return !owner_.expired(); }
  bool IsRelayed() const { return hop_ < via_.size(); }
  /// @returns false where the owner is gone.
  bool Refused(time_point now) {
    if (!IsAlive()) {
      return false;
    }
    relays_.NoteEnd(via_[hop_].host);
    relays_.NoteRefused(via_[hop_].host, now);
    ++hop_;
    if (IsRelayed()) {
      relays_.NoteStart(via_[hop_].host);
    }
    return true;
  }

 private:
  relay_choice& relays_;
  std::weak_ptr<int> owner_;
  std::vector<relay_hop> via_;
  std::size_t hop_ = 0;
};

endpoint_paths::endpoint_paths(asio::io_context& context,
                               endpoint_roster& roster, decision_log& log,
                               gateway_metrics& metrics, now_function now,
                               bool may_relay)
    : context_(context),
      roster_(roster),
      log_(log),
      metrics_(metrics),
      now_(std::move(now)),
      may_relay_(may_relay),
      health_([this](const std::string& service) {
        const auto& all = roster_.Of(service);
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(),
                          [](const auto& record) { return record->Usable(); }));
      }),
      relays_(Draw),
      probe_timer_(context) {}

endpoint_paths::~endpoint_paths() = default;

std::vector<relay_hop> endpoint_paths::Hops() const {
  std::vector<relay_hop> hops;
  for (auto& host : relays_.Pick(kMostHops, now_())) {
    hops.push_back({std::move(host.host), host.address});
  }
  return hops;
}

void endpoint_paths::Route(const endpoint_record& record,
                           endpoint_call_options& options,
                           endpoint_call_hooks& hooks) {
  const auto& endpoint = record.Info();
  options.to = endpoint.address;
  options.endpoint_id = endpoint.id;
  if (health_.MayRelay(endpoint.service, now_())) {
    options.via = Hops();
  }
  if (options.via.empty()) {
    FollowDirect(endpoint.service, hooks);
  } else {
    FollowRelayed(endpoint.service, options.via, hooks);
  }
}

void endpoint_paths::FollowDirect(const std::string& service,
                                  endpoint_call_hooks& hooks) {
  hooks.on_head = [this, alive = std::weak_ptr<int>(alive_), service,
                   sent = now_(),
                   on_head = std::move(hooks.on_head)](message_head& head) {
    if (!alive.expired()) {
      OnReached(service, sent);
    }
    if (on_head) {
      on_head(head);
    }
  };
}

/// The call is with the first host until that refuses, then with the next one,
/// and at last goes directly.
void endpoint_paths::FollowRelayed(const std::string& service,
                                   const std::vector<relay_hop>& via,
                                   endpoint_call_hooks& hooks) {
  metrics_.Count("calls_relayed", service);
  const auto use = std::make_shared<relay_use>(relays_, alive_, via);
  hooks.on_relay_refused = [this, use, service](const std::string&) {
    if (use->Refused(now_()) && !use->IsRelayed()) {
      health_.NoteRelayed(service, relay_result::kRefused, now_());
    }
  };
  hooks.on_head = [this, use, service, sent = now_(),
                   on_head = std::move(hooks.on_head)](message_head& head) {
    if (use->IsAlive() && !use->IsRelayed()) {
      OnProbed(service, true, sent);
    }
    if (on_head) {
      on_head(head);
    }
  };
  hooks.on_end = [this, use, service,
                  on_end = std::move(hooks.on_end)](call_outcome outcome) {
    if (use->IsAlive() && use->IsRelayed()) {
      OnRelayEnd(service, outcome);
    }
    if (on_end) {
      on_end(outcome);
    }
  };
}

void endpoint_paths::OnRelayEnd(const std::string& service,
                                call_outcome outcome) {
  if (outcome != call_outcome::kWithdrawn) {
    health_.NoteRelayed(service,
                        outcome == call_outcome::kNotConnected
                            ? relay_result::kUnreachable
                            : relay_result::kReached,
                        now_());
  }
}

/// Failures of a host that is cut off say nothing of the endpoint, and no more
/// do those of the host that was to pass a call on.
call_lesson endpoint_paths::LessonOf(const std::string& service,
                                     bool was_direct, call_outcome outcome,
                                     call_lesson lesson) const {
  const bool is_own = outcome == call_outcome::kNotRelayed ||
                      (was_direct && health_.IsCut(service) &&
                       (outcome == call_outcome::kNotConnected ||
                        outcome == call_outcome::kBroken));
  return is_own ? call_lesson::kNothing : lesson;
}

void endpoint_paths::NoteUnreached(const known_endpoint& endpoint) {
  if (!may_relay_ || relays_.Empty() || IsCut(endpoint.service)) {
    return;
  }
  if (!health_.NoteUnreached(endpoint, now_())) {
    LookElsewhere(endpoint);
    return;
  }
  log_.Write("path_cut",
             {{"service", endpoint.service}, {"endpoint", endpoint.id}});
  metrics_.Count("paths_cut", endpoint.service);
  for (const auto& record : roster_.Of(endpoint.service)) {
    record->ForgetFailures();
  }
  ProbeSoon();
}

/// Calls may all go to one endpoint, for the quotas of the others or a shared
/// prompt. Whether it alone is down shows at others.
void endpoint_paths::LookElsewhere(const known_endpoint& failed) {
  auto& next = next_look_[failed.service];
  if (now_() < next) {
    return;
  }
  std::vector<endpoint_record_ptr> others;
  for (const auto& record : roster_.Of(failed.service)) {
    if (record->Usable() && !suspicions_.Has(record->Info().Incarnation()) &&
        record->Info().Incarnation() != failed.Incarnation()) {
      others.push_back(record);
    }
  }
  next = now_() + kProbeInterval;
  for (std::size_t i = 0; i < kLooks && !others.empty(); ++i) {
    const auto drawn =
        others.begin() + static_cast<std::ptrdiff_t>(Draw(others.size()));
    LookAt((*drawn)->Info());
    others.erase(drawn);
  }
}

void endpoint_paths::LookAt(const known_endpoint& endpoint) {
  ProbeAt(endpoint, [this, endpoint, sent = now_()](bool reached) {
    if (reached) {
      OnReached(endpoint.service, sent);
    } else {
      NoteUnreached(endpoint);
    }
  });
}

void endpoint_paths::ProbeAt(const known_endpoint& endpoint,
                             std::function<void(bool reached)> done) {
  const auto one = std::make_shared<probe>(context_);
  one->done = [done = std::move(done),
               alive = std::weak_ptr<int>(alive_)](bool reached) {
    if (!alive.expired()) {
      done(reached);
    }
  };
  metrics_.Count("path_probes", endpoint.service);
  probe::Start(one, endpoint.address);
}

void endpoint_paths::ConfirmDown(const known_endpoint& endpoint,
                                 const std::function<void()>& down) {
  const auto suspect = endpoint.Incarnation();
  suspicions_.Note(endpoint, now_());
  when_down_[suspect] = down;
  AskOthers(endpoint,
            [this, suspect, alive = std::weak_ptr<int>(alive_)](bool is_down) {
              if (is_down && !alive.expired()) {
                ConcludeDown(suspect);
              }
            });
  LookElsewhere(endpoint);
}

void endpoint_paths::ConcludeDown(const endpoint_incarnation& suspect) {
  suspicions_.Settle(suspect);
  const auto found = when_down_.extract(suspect);
  if (!found.empty()) {
    found.mapped()();
  }
}

void endpoint_paths::AskOthers(const known_endpoint& endpoint,
                               const std::function<void(bool down)>& done) {
  endpoint_call_options options;
  options.to = endpoint.address;
  options.endpoint_id = endpoint.id;
  options.via = Hops();
  if (options.via.empty()) {
    // Alone, a host has only its own word.
    done(relays_.Empty());
    return;
  }
  options.connect_timeout = kProbeConnectTime;
  options.silence_timeout = kRelaySilence;
  const auto is_down = std::make_shared<bool>(false);
  endpoint_call_hooks hooks;
  hooks.on_end = [is_down](call_outcome outcome) {
    *is_down = outcome == call_outcome::kNotConnected;
  };
  StartExchange(context_, std::move(options), std::move(hooks), kConfirmTimeout,
                [done, is_down](const http_result&) { done(*is_down); });
}

void endpoint_paths::ProbeSoon() {
  if (std::exchange(probes_, true)) {
    return;
  }
  probe_timer_.expires_after(kProbeInterval);
  probe_timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                              const asio::error_code& error) {
    if (!error && !alive.expired()) {
      probes_ = false;
      Probe();
    }
  });
}

/// One endpoint of the most that are down says little of the path: those that
/// look crashed are probed only where there is no other.
void endpoint_paths::Probe() {
  const auto services = health_.CutServices();
  for (const auto& service : services) {
    std::vector<endpoint_record_ptr> usable;
    std::vector<endpoint_record_ptr> suspects;
    for (const auto& record : roster_.Of(service)) {
      if (record->TakesCalls(now_())) {
        const bool suspected = suspicions_.Has(record->Info().Incarnation());
        (suspected ? suspects : usable).push_back(record);
      }
    }
    if (usable.empty()) {
      usable = std::move(suspects);
    }
    if (usable.empty()) {
      continue;
    }
    ProbeAt(usable[Draw(usable.size())]->Info(),
            [this, service, sent = now_()](bool reached) {
              OnProbed(service, reached, sent);
            });
  }
  if (!services.empty()) {
    ProbeSoon();
  }
}

void endpoint_paths::OnReached(const std::string& service, time_point sent) {
  health_.NoteReached(service, sent);
  LookAgain(service, sent);
}

/// This host has links to the service: what it still does not reach crashed.
void endpoint_paths::LookAgain(const std::string& service, time_point sent) {
  for (const auto& endpoint : suspicions_.NoteReached(service, sent, now_())) {
    auto hook = when_down_.extract(endpoint.Incarnation());
    if (hook.empty()) {
      continue;
    }
    ProbeAt(endpoint, [down = std::move(hook.mapped())](bool reached) {
      if (!reached) {
        down();
      }
    });
  }
  std::erase_if(when_down_, [this](const auto& one) {
    return !suspicions_.Has(one.first);
  });
}

void endpoint_paths::OnProbed(const std::string& service, bool reached,
                              time_point sent) {
  if (reached) {
    LookAgain(service, sent);
  }
  if (health_.NoteProbe(service, reached)) {
    log_.Write("path_restored", {{"service", service}});
  }
}

}  // namespace slatestall
