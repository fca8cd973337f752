#include "slatestall/gateway/gateway_host.h"

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <atomic>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "slatestall/gateway/gateway_control.h"
#include "slatestall/gateway/gateway_traffic.h"
#include "slatestall/gateway/settings_reload.h"
#include "slatestall/gateway/shared_reading.h"
#include "slatestall/http/http_server.h"
#include "slatestall/model/ids.h"
#include "slatestall/relay/boot_time.h"
#include "slatestall/serve/drain_sequence.h"

namespace slatestall {
namespace {

/// Lines of one event in a second. Some thirty decisions a second are made on
/// a busy host; the rest of a flood tells nothing new.
constexpr std::uint32_t kMaxLinesPerSecond = 40;
/// How old a reader's word of a topic may be. Changes of the configuration are
/// to be in force within two seconds; a reader itself hears of them at once and
/// asks anew each second.
constexpr milliseconds kConfigurationAge{1400};
constexpr milliseconds kHostsAge{10'000};
/// How long the host that this one follows may hold a question that nothing new
/// answers.
constexpr milliseconds kConfigurationHold{500};
constexpr milliseconds kEndpointsHold{700};
constexpr milliseconds kHostsHold{2000};
constexpr milliseconds kCrashesHold{500};
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::string SourceName(const topic_status& status) {
  return status.host.empty() ? "store" : status.host;
}

/// Of each topic: through whom it is known, and how recently.
std::string TopicsText(const std::map<std::string, topic_status>& topics) {
  auto text = nlohmann::json::object();
  for (const auto& [name, status] : topics) {
    if (status.is_known) {
      text[name] = {{"from", SourceName(status)},
                    {"steps", status.steps},
                    {"age_ms", status.age.count()},
                    {"era", status.era},
                    {"next", status.next}};
    }
  }
  return text.dump();
}

http_server_options StatusServer(const gateway_options& options) {
  http_server_options made;
  made.address = options.address;
  made.port = options.status_port;
  made.max_connections = 64;
  made.max_body_bytes = std::size_t{64} << 10U;
  return made;
}

}  // namespace

class gateway_host::impl {
 public:
  impl(const gateway_options& options, gateway_adapter adapter,
       const std::string& settings_file)
      : options_(options),
        adapter_(std::move(adapter)),
        log_(options.host_name, kMaxLinesPerSecond, BootTimeNow),
        traffic_(
            traffic_context_, options_, adapter_.protocol, log_, BootTimeNow,
            [this](const topic_question& question) {
              return reading_.Answer(question);
            },
            ToOthers()),
        control_client_(control_context_),
        reading_(control_context_, OtherHosts(), BootTimeNow,
                 StableHash(options.host_name)),
        control_(control_context_, options_, Link(), log_, BootTimeNow, News()),
        status_(control_context_, StatusServer(options_),
                [this](const http_request& request,
                       const http_responder_ptr& responder) {
                  AnswerStatus(request, *responder);
                }),
        signals_(traffic_context_, SIGTERM, SIGINT),
        settings_(traffic_context_, settings_file,
                  [this](const auto& loaded) { Reload(loaded); }),
        drain_(traffic_context_, DrainHooks()) {}

  ~impl() { StopControl(); }

  void Run() {
    // Announced to other hosts; the system may have chosen it.
    options_.relay_port = traffic_.RelayPort();
    log_.Write("started", {{"front", traffic_.Port()},
                           {"status", status_.Port()},
                           {"store", options_.store_address}});
    AwaitStop();
    control_.Start();
    control_thread_ = std::thread([this] { control_context_.run(); });
    traffic_context_.run();
    StopControl();
    log_.Write("stopped", {{"in_hand", traffic_.InHand()}});
  }

  void Drain() {
    asio::post(traffic_context_, [this] { BeginDrain(); });
  }

  std::uint16_t FrontPort() const { return traffic_.Port(); }
  std::uint16_t StatusPort() const { return status_.Port(); }

 private:
  void AwaitStop() {
    signals_.async_wait([this](const asio::error_code& error, int) {
      if (!error) {
        BeginDrain();
      }
    });
  }

  /// A file with a problem changes nothing, as at the start.
  void Reload(const loaded_gateway_settings& loaded) {
    if (!loaded.problems.empty()) {
      log_.Write("reload_failed",
                 {{"problems", loaded.problems.size()},
                  {"detail", Describe(loaded.problems.front())}});
      return;
    }
    const auto change = ApplyReload(loaded.content, options_);
    traffic_.SetRepeatLimits(options_.repeats);
    log_.Write("reloaded", {{"applied", change.applied},
                            {"at_restart", change.at_restart}});
  }

  topic_asks OtherHosts() {
    topic_asks asks;
    asks.reader = [this](const topic_question& question,
                         topic_asks::reader_hook done) {
      asio::post(traffic_context_,
                 [this, question, done = std::move(done)]() mutable {
                   traffic_.AskReader(question, std::move(done));
                 });
    };
    asks.any = [this](const topic_question& question,
                      topic_asks::done_hook done) {
      asio::post(traffic_context_,
                 [this, question, done = std::move(done)]() mutable {
                   traffic_.AskAny(question, std::move(done));
                 });
    };
    asks.on_taken = [this](const topic_question& question,
                           const tail_read& told) {
      log_.Write("told_by_host", {{"reads", question.topic},
                                  {"whole", !question.from.has_value()},
                                  {"records", told.records.size()},
                                  {"age_ms", told.age.count()}});
    };
    asks.on_more = [this](const std::string& topic) {
      asio::post(traffic_context_,
                 [this, topic] { traffic_.ReleaseQuestions(topic); });
    };
    asks.on_source = [this](const std::string& topic,
                            const topic_status& status) {
      log_.Write("topic_source", {{"reads", topic},
                                  {"from", SourceName(status)},
                                  {"steps", status.steps},
                                  {"age_ms", status.age.count()}});
    };
    asks.on_stale = [this](const topic_question& question,
                           const tail_read& told, milliseconds max_age) {
      log_.Write("topic_stale", {{"reads", question.topic},
                                 {"from", told.host},
                                 {"whole", !question.from.has_value()},
                                 {"steps", told.steps},
                                 {"age_ms", told.age.count()},
                                 {"limit_ms", max_age.count()}});
    };
    asks.on_store = [this](bool answered) {
      asio::post(traffic_context_,
                 [this, answered] { traffic_.NoteStore(answered); });
    };
    return asks;
  }

  platform_link Link() {
    auto link = adapter_.link(control_client_, options_);
    // Of the time in which an evacuation is to be in force, the rest is for
    // asking and for what is under way.
    link.configuration = reading_.Share(
        "configuration", link.configuration,
        std::min(kConfigurationAge, options_.evacuation_limit / 3),
        kConfigurationHold);
    link.endpoints = reading_.Share("endpoints", link.endpoints,
                                    options_.leave_limit / 2, kEndpointsHold);
    link.hosts = reading_.Share("hosts", link.hosts, kHostsAge, kHostsHold,
                                whole_source::kStore);
    link.crashes = reading_.Share("crashes", link.crashes,
                                  options_.settle_limit / 2, kCrashesHold);
    return link;
  }

  /// What this host's calls have shown, by way of the store.
  traffic_news ToOthers() {
    traffic_news news;
    news.on_crash = [this](const endpoint_crash& crash) {
      asio::post(control_context_, [this, crash] { control_.Report(crash); });
    };
    news.on_verdict = [this](const content_notice& notice) {
      asio::post(control_context_, [this, notice] { control_.Tell(notice); });
    };
    news.find_only_version = [this](const std::string& service,
                                    milliseconds time,
                                    gateway_environment::version_hook done) {
      asio::post(control_context_, [this, service, time,
                                    done = std::move(done)] {
        control_.FindOnlyVersion(
            service, time,
            [this, done](const std::optional<std::string>& version) {
              asio::post(traffic_context_, [done, version] { done(version); });
            });
      });
    };
    return news;
  }

  crash_news Crashes() {
    crash_news news;
    news.on_crash = [this](const endpoint_crash& crash, crash_source source) {
      asio::post(traffic_context_,
                 [this, crash, source] { traffic_.NoteCrash(crash, source); });
    };
    news.on_verdict = [this](request_digest content,
                             std::optional<content_verdict> verdict,
                             verdict_teller teller) {
      asio::post(traffic_context_, [this, content, verdict, teller] {
        traffic_.NoteVerdict(content, verdict, teller);
      });
    };
    return news;
  }

  control_news News() {
    control_news news;
    news.on_configuration = [this](routing_table_ptr table) {
      asio::post(traffic_context_, [this, table = std::move(table)] {
        traffic_.SetConfiguration(table);
        configured_ = true;
      });
    };
    news.on_endpoints = [this](listing_changes changes) {
      asio::post(traffic_context_, [this, changes = std::move(changes)] {
        traffic_.ChangeEndpoints(changes);
        listed_ = true;
      });
    };
    news.on_hosts = [this](std::vector<listed_gateway> hosts) {
      asio::post(traffic_context_, [this, hosts = std::move(hosts)] {
        traffic_.SetHosts(hosts);
      });
    };
    news.on_census = [this](const host_census& census) {
      asio::post(traffic_context_,
                 [this, census] { traffic_.SetCensus(census); });
    };
    news.crashes = Crashes();
    news.on_unreadable = [this](std::string_view what) {
      traffic_.Metrics().Count("unreadable", what);
    };
    return news;
  }

  void SetTopicGauges() {
    for (const auto& [name, status] : reading_.Status()) {
      if (status.is_known) {
        auto& metrics = traffic_.Metrics();
        metrics.SetGauge("topic_age_seconds", name,
                         std::chrono::duration<double>(status.age).count());
        metrics.SetGauge("topic_steps", name, status.steps);
      }
    }
  }

  void AnswerStatus(const http_request& request, http_responder& responder) {
    if (request.path == adapter_.ready_path) {
      const bool ready = configured_ && listed_ && !draining_;
      responder.Send(ready ? kOk : kUnavailable, {}, "");
    } else if (request.path == "/topics") {
      responder.Send(kOk, {{"Content-Type", "application/json"}},
                     TopicsText(reading_.Status()));
    } else if (request.path == "/metrics") {
      SetTopicGauges();
      responder.Send(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                     traffic_.MetricsText());
    } else {
      responder.Send(kNotFound, {}, "");
    }
  }

  void BeginDrain() {
    log_.Write("stopping", {{"in_hand", traffic_.InHand()}});
    drain_options options;
    options.grace = options_.balancer_lag;
    options.longest_request =
        host_stop::AnswerTime(options_.stop_grace, options_.balancer_lag);
    options.answer_slack = host_stop::kLastBytes;
    options.hand_over_timeout = milliseconds(0);
    drain_.Begin(options);
  }

  drain_hooks DrainHooks() {
    drain_hooks hooks;
    hooks.announce = [this] {
      draining_ = true;
      traffic_.AnnounceClose();
    };
    hooks.stop_accepting = [this] { traffic_.StopAccepting(); };
    hooks.in_hand = [this] { return traffic_.InHand(); };
    // The process ends a moment later. A request taken meanwhile on a kept
    // connection would be cut with it; refused, it is answered.
    hooks.hand_over = [this](const std::function<void()>& done) {
      traffic_.TakeNoMore();
      done();
    };
    hooks.finished = [this] {
      log_.Write("drained", {{"in_hand", traffic_.InHand()},
                             {"connections", traffic_.Connections()}});
      // The last bytes of answers are still on their way to the callers.
      last_bytes_.expires_after(host_stop::kLastBytes);
      last_bytes_.async_wait(
          [this](const asio::error_code&) { traffic_context_.stop(); });
    };
    return hooks;
  }

  void StopControl() {
    control_context_.stop();
    if (control_thread_.joinable()) {
      control_thread_.join();
    }
  }

  /// What a reload changes of it is used on the traffic thread only.
  gateway_options options_;
  gateway_adapter adapter_;
  decision_log log_;
  std::atomic<bool> configured_{false};
  std::atomic<bool> listed_{false};
  std::atomic<bool> draining_{false};
  asio::io_context traffic_context_{1};
  asio::io_context control_context_{1};
  gateway_traffic traffic_;
  http_client control_client_;
  shared_reading reading_;
  gateway_control control_;
  http_server status_;
  asio::signal_set signals_;
  settings_watch settings_;
  asio::steady_timer last_bytes_{traffic_context_};
  drain_sequence drain_;
  std::thread control_thread_;
};

gateway_host::gateway_host(const gateway_options& options,
                           gateway_adapter adapter,
                           const std::string& settings_file)
    : impl_(
          std::make_unique<impl>(options, std::move(adapter), settings_file)) {}
gateway_host::~gateway_host() = default;

void gateway_host::Run() { impl_->Run(); }
void gateway_host::Drain() { impl_->Drain(); }
std::uint16_t gateway_host::FrontPort() const { return impl_->FrontPort(); }
std::uint16_t gateway_host::StatusPort() const { return impl_->StatusPort(); }

}  // namespace slatestall
