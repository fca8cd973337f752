#include "slatestall/gateway/gateway_traffic.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <exception>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "slatestall/gateway/request_run.h"
#include "slatestall/model/listen_address.h"
#include "slatestall/model/new_incarnation.h"

namespace slatestall {
namespace {

/// Of a host's memory, for answers that callers have not read. The rest is for
/// answers that endpoints still send, stages, connections and the program.
constexpr std::size_t kUnreadPartOfMemory = 4;

/// @returns null where nothing bounds them.
std::shared_ptr<unread_budget> UnreadBudget(const gateway_options& options) {
  if (options.memory_bytes == 0 || !options.Uses(mechanism::kUnreadLimit)) {
    return nullptr;
  }
  return std::make_shared<unread_budget>(options.memory_bytes /
                                         kUnreadPartOfMemory);
}

caller_listener_options ListenerOptions(
    const gateway_options& options, const now_function& now,
    std::shared_ptr<unread_budget> unread,
    std::function<void(const unread_close&)> on_unread_closed) {
  caller_listener_options made;
  made.unread = std::move(unread);
  made.on_unread_closed = std::move(on_unread_closed);
  made.address = options.address;
  made.port = options.front_port;
  made.max_connections = options.max_connections;
  made.now = now;
  return made;
}

/// Of a host's memory, for replies to hosts that follow it.
constexpr std::size_t kUnsentPartOfMemory = 16;
constexpr std::size_t kMostUnsent = std::size_t{64} << 20U;

std::size_t MostUnsent(const gateway_options& options) {
  return options.memory_bytes == 0
             ? kMostUnsent
             : std::min(kMostUnsent,
                        options.memory_bytes / kUnsentPartOfMemory);
}

/// A connection that is not made within it is as good as none: hosts are a
/// few milliseconds apart.
constexpr milliseconds kPeerConnectTime{600};
/// A host that is cut off has failed at several endpoints by then.
constexpr milliseconds kCutSeenTime{50};
/// In which calls to cold endpoints are bounded.
constexpr milliseconds kColdWindow{1000};
/// A configuration of some thousand routes passes from host to host.
constexpr std::size_t kMaxPeerFrame = std::size_t{4} << 20U;

peer_node_options PeerOptions(const gateway_options& options) {
  peer_node_options made;
  made.listen_address = options.address;
  made.listen_port = options.peer_port;
  made.hello_timeout = kPeerConnectTime;
  made.max_frame_bytes = kMaxPeerFrame;
  // Every host of the fleet connects to a home. The other half is for callers
  // and endpoints.
  made.max_connections = std::max(made.max_connections, options.max_files / 2);
  return made;
}

/// Other hosts that announce where they pass calls on.
std::vector<relay_host> RelaysAmong(const std::vector<listed_gateway>& hosts,
                                    const std::string& self) {
  std::vector<relay_host> relays;
  for (const auto& host : hosts) {
    if (host.address.host == self || host.relay.empty()) {
      continue;
    }
    try {
      const auto where = ParseListenAddress(host.relay);
      relays.push_back({host.address.host,
                        {asio::ip::make_address(where.address), where.port},
                        host.weight});
    } catch (const std::exception&) {
      // An address that cannot be read is none.
      continue;
    }
  }
  return relays;
}

}  // namespace

gateway_traffic::gateway_traffic(asio::io_context& context,
                                 const gateway_options& options,
                                 const endpoint_protocol& protocol,
                                 decision_log& log, const now_function& now,
                                 topic_source known_topics, traffic_news news)
    : news_(std::move(news)),
      environment_{context,
                   options,
                   protocol,
                   log,
                   now,
                   endpoint_roster(options.Uses(mechanism::kAvoidance),
                                   options.Uses(mechanism::kEndpointPace)),
                   repeat_allowance(options.repeats),
                   call_limit(options.host_name, kColdWindow),
                   endpoint_quota(options.host_name),
                   brittle_limit(options.host_name),
                   content_quarantine([this](const std::string& service) {
                     return environment_.roster.Of(service).size();
                   }),
                   gateway_metrics(),
                   endpoint_paths(context, environment_.roster, log,
                                  environment_.metrics, now,
                                  options.Uses(mechanism::kRelayedCalls)),
                   nullptr,
                   {},
                   {},
                   {},
                   {},
                   now(),
                   {},
                   std::nullopt,
                   {},
                   {},
                   {},
                   {},
                   {},
                   {},
                   {}},
      home_(environment_),
      relay_(environment_),
      peers_(context, NewIncarnation(options.host_name), PeerOptions(options)),
      topics_(context, peers_, std::move(known_topics), MostUnsent(options)),
      streams_(peers_, environment_.metrics, options.host_name, now),
      router_(environment_, home_, peers_),
      stages_(router_.Calls()),
      crashes_(
          context,
          [this](const endpoint_crash& crash) { OnSuspectedCrash(crash); }),
      judge_timer_(context),
      starting_(context,
                [this](inbound_request request, answer_channel_ptr channel) {
                  TakeRequest(std::move(request), std::move(channel));
                }),
      unread_(UnreadBudget(options)),
      listener_(context,
                ListenerOptions(options, now, unread_,
                                [this](const unread_close& closed) {
                                  OnUnreadClosed(closed);
                                }),
                [this](inbound_request request, answer_channel_ptr channel) {
                  starting_.Take(std::move(request), std::move(channel));
                }) {
  environment_.on_served = [this](const std::vector<request_digest>& survived) {
    for (const auto digest : survived) {
      environment_.quarantine.NoteServed(digest, environment_.now());
    }
    JudgeSoon();
  };
  environment_.on_broken = [this](const known_endpoint& endpoint,
                                  const std::vector<request_digest>& running) {
    crashes_.NoteBroken(endpoint, running);
  };
  environment_.note_stream = [this](const std::string& stream,
                                    const stream_origin& origin,
                                    milliseconds lifetime) {
    streams_.Note(stream, origin, lifetime);
  };
  environment_.find_stream = [this](const std::string& stream,
                                    const auto& done) {
    streams_.Find(stream, done);
  };
  environment_.find_only_version = [this](const std::string& service,
                                          milliseconds time, const auto& done) {
    if (news_.find_only_version) {
      news_.find_only_version(service, time, done);
    } else {
      done(std::nullopt);
    }
  };
  // Posted, since calls are in the middle of reading the answer.
  environment_.on_endpoint_leaving = [this] {
    asio::post(environment_.context, [this] { router_.Refresh(); });
  };
}

gateway_traffic::~gateway_traffic() = default;

void gateway_traffic::SetConfiguration(routing_table_ptr table) {
  environment_.table = std::move(table);
  ForgetOldRoutes();
  listener_.SetLimits(environment_.table->limits);
  router_.Refresh();
  EndStart();
}

void gateway_traffic::EndStart() {
  if (environment_.table && knows_endpoints_) {
    starting_.End();
  }
}

/// Thousands of changes a day name new routes; what was learnt of those that
/// are gone would pile up.
void gateway_traffic::ForgetOldRoutes() {
  std::set<std::string_view> names;
  for (const auto& one : environment_.table->routes) {
    names.insert(one.name);
  }
  const auto is_gone = [&names](const auto& learnt) {
    return !names.contains(learnt.first);
  };
  std::erase_if(environment_.patience, is_gone);
  std::erase_if(environment_.answers, is_gone);
}

void gateway_traffic::SetEndpoints(const std::vector<known_endpoint>& listed) {
  environment_.roster.Replace(listed);
  OnEndpoints();
}

void gateway_traffic::ChangeEndpoints(const listing_changes& changes) {
  environment_.roster.Apply(changes.put, changes.gone);
  OnEndpoints();
}

void gateway_traffic::OnEndpoints() {
  knows_endpoints_ = true;
  router_.Refresh();
  EndStart();
}

void gateway_traffic::SetHosts(std::vector<listed_gateway> hosts) {
  std::vector<std::string> names;
  std::vector<home_candidate> candidates;
  for (const auto& host : hosts) {
    names.push_back(host.address.host);
    candidates.push_back({host.address.host, host.weight});
  }
  environment_.brittle.SetHosts(names);
  environment_.cold.SetHosts(names);
  environment_.quota.SetHosts(names);
  environment_.paths.SetHosts(
      RelaysAmong(hosts, environment_.options.host_name));
  router_.SetHosts(std::move(hosts));
  streams_.SetHosts(std::move(candidates));
}

void gateway_traffic::AskReader(const topic_question& question,
                                topic_asks::reader_hook done) {
  reader_answer answer;
  answer.hosts = router_.IsLargeFleet() ? router_.Hosts() : 0;
  const auto place = router_.ReadingPlace();
  answer.source = place.source;
  answer.follows_relay = place.follows_relay;
  // A small fleet's hosts start without waiting for each other.
  const bool reads_whole = !question.from && !router_.IsLargeFleet();
  if (reads_whole && place.source == reading_source::kHost) {
    answer.source = reading_source::kStore;
  }
  if (answer.source != reading_source::kHost) {
    done(std::move(answer));
    return;
  }
  topics_.Ask(place.host, question,
              [answer, done = std::move(done)](topic_answer told) mutable {
                answer.told = std::move(told.told);
                answer.is_busy = told.is_busy;
                done(std::move(answer));
              });
}

void gateway_traffic::AskAny(const topic_question& question,
                             topic_exchange::done_hook done) {
  topics_.AskAll(router_.Sources(), question, std::move(done));
}

void gateway_traffic::OnCrash(const endpoint_crash& crash) {
  nlohmann::json running = nlohmann::json::array();
  for (const auto digest : crash.running) {
    running.push_back(DigestText(digest));
  }
  environment_.log.Write("endpoint_crashed", {{"endpoint", crash.endpoint},
                                              {"service", crash.service},
                                              {"running", running}});
  environment_.metrics.Count("endpoints_crashed", crash.service);
  news_.on_crash(crash);
  NoteCrash(crash, crash_source::kOwnCalls);
}

/// A host that is cut off finds each endpoint's connections reset and its port
/// closed, as after a crash. Other hosts see whether the endpoint is there, and
/// so does this one once it reaches others.
void gateway_traffic::OnSuspectedCrash(const endpoint_crash& crash) {
  const auto record = environment_.roster.Find(crash.endpoint);
  if (!record) {
    OnCrash(crash);
    return;
  }
  environment_.paths.NoteUnreached(record->Info());
  const auto timer = std::make_shared<asio::steady_timer>(environment_.context);
  timer->expires_after(kCutSeenTime);
  timer->async_wait(
      [this, crash, timer, endpoint = record->Info(),
       alive = std::weak_ptr<int>(alive_)](const asio::error_code& error) {
        if (error || alive.expired()) {
          return;
        }
        if (!environment_.paths.IsCut(endpoint.service)) {
          OnCrash(crash);
          return;
        }
        environment_.paths.ConfirmDown(endpoint, [this, crash, alive] {
          if (!alive.expired()) {
            OnCrash(crash);
          }
        });
      });
}

void gateway_traffic::NoteCrash(const endpoint_crash& crash,
                                crash_source source) {
  environment_.quarantine.NoteCrash(crash, source, environment_.now());
  JudgeSoon();
}

void gateway_traffic::NoteVerdict(request_digest content,
                                  std::optional<content_verdict> verdict,
                                  verdict_teller teller) {
  environment_.quarantine.NoteVerdict(content, verdict, teller,
                                      environment_.now());
  JudgeSoon();
}

void gateway_traffic::OnUnreadClosed(const unread_close& closed) {
  environment_.log.Write("unread_closed", {{"bytes", closed.bytes},
                                           {"total", closed.total},
                                           {"limit", unread_->Limit()}});
  environment_.metrics.Count("unread_closed", "");
}

std::string gateway_traffic::MetricsText() {
  if (unread_) {
    environment_.metrics.SetGauge("unread_bytes", "",
                                  static_cast<double>(unread_->Total()));
  }
  return environment_.metrics.Text();
}

void gateway_traffic::JudgeSoon() {
  const auto at = environment_.quarantine.JudgesAt();
  if (!at) {
    return;
  }
  judge_timer_.expires_after(*at - environment_.now());
  judge_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Judge();
    }
  });
}

void gateway_traffic::Judge() {
  for (const auto& notice : environment_.quarantine.Judge(environment_.now())) {
    environment_.log.Write(
        "content_judged",
        {{"content", DigestText(notice.content)},
         {"verdict", NameIn(kContentVerdictNames, notice.verdict)}});
    news_.on_verdict(notice);
  }
  JudgeSoon();
}

void gateway_traffic::AnnounceClose() {
  environment_.stop =
      host_stop::Begin(environment_.now(), environment_.options.stop_grace,
                       environment_.options.balancer_lag);
  listener_.AnnounceClose();
  router_.Drain();
  relay_.Drain();
  starting_.End();
}

void gateway_traffic::StopAccepting() {
  if (environment_.stop) {
    environment_.stop->likely_until = environment_.now();
  }
  listener_.StopAccepting();
}

void gateway_traffic::TakeNoMore() {
  if (environment_.stop) {
    environment_.stop->takes_none = true;
  }
  // Those that end leave the set.
  std::vector<std::shared_ptr<request_run>> runs;
  for (auto* run : environment_.runs) {
    runs.push_back(run->shared_from_this());
  }
  for (const auto& run : runs) {
    run->OnHostEnds();
  }
}

void gateway_traffic::TakeRequest(inbound_request request,
                                  answer_channel_ptr channel) {
  std::make_shared<request_run>(environment_, stages_, std::move(request),
                                std::move(channel))
      ->Start();
}

}  // namespace slatestall
