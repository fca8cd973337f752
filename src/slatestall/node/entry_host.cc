#include "slatestall/node/entry_host.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <utility>

#include "slatestall/model/ids.h"
#include "slatestall/model/listen_address.h"
#include "slatestall/model/new_incarnation.h"
#include "slatestall/node/control_loop.h"
#include "slatestall/node/trace_recorder.h"
#include "slatestall/node/traffic_threads.h"
#include "slatestall/serve/drain_sequence.h"

namespace slatestall {
class entry_host::impl {
 public:
  impl(const settings& options, const make_platform_services& platform)
      : options_(options),
        self_(NewIncarnation(options.host_name)),
        control_(options_, self_, Now, snapshots_, ControlHooks(), platform),
        signals_(context_, SIGTERM, SIGINT),
        drain_(context_, DrainHooks()) {
    if (!options_.record_path.empty()) {
      recorder_ = std::make_unique<trace_recorder>(options_, snapshots_, Now);
    }
    traffic_ = std::make_unique<traffic_threads>(options_, self_, Now,
                                                 snapshots_, Links());
  }

  ~impl() {
    traffic_->Stop();
    control_.Stop();
  }

  std::uint16_t Port() const { return traffic_->Port(); }
  std::uint16_t PeerPort() const { return control_.PeerPort(); }
  std::uint16_t OperatorPort() const { return control_.OperatorPort(); }

  void Run() {
    signals_.async_wait([this](const asio::error_code& error, int) {
      if (!error) {
        BeginDrain();
      }
    });
    control_.Start();
    traffic_->Start();
    context_.run();
  }

  void Drain() {
    asio::post(context_, [this] { BeginDrain(); });
  }

 private:
  static time_point Now() { return std::chrono::steady_clock::now(); }

  void BeginDrain() {
    drain_options options;
    options.grace = options_.drain_grace;
    options.longest_request = control_.LongestDeadline();
    drain_.Begin(options);
  }

  control_hooks ControlHooks() {
    control_hooks hooks;
    hooks.drain = [this] { Drain(); };
    hooks.explain = [this](const std::string& request) {
      return traffic_->Explain(request);
    };
    hooks.report = [this] { return traffic_->Report(); };
    hooks.demand = [this] { return traffic_->TakeDemand(); };
    hooks.http_address = [this] {
      return ParseListenAddress(options_.listen).address + ":" +
             std::to_string(traffic_->Port());
    };
    return hooks;
  }

  traffic_links Links() {
    traffic_links links;
    links.admin_handler = [this](asio::io_context& lane) {
      return control_.AdminHandler(lane);
    };
    links.endpoint_leaves = [this](const std::string& address) {
      control_.EndpointLeaves(address);
    };
    links.endpoint_told = [this](const std::string& address,
                                 const told_load& load) {
      control_.EndpointTold(address, load);
    };
    links.control_metrics = [this] {
      return control_.Metrics() + (recorder_ ? recorder_->Metrics() : "");
    };
    if (recorder_) {
      links.on_request_end = [this](const request_trace_ptr& request) {
        recorder_->Note(request);
      };
    }
    links.guard = control_.Guard();
    return links;
  }

  drain_hooks DrainHooks() {
    drain_hooks hooks;
    hooks.announce = [this] {
      control_.BeginDrain();
      traffic_->Drain();
    };
    hooks.stop_accepting = [this] { traffic_->StopAccepting(); };
    hooks.in_hand = [this] { return traffic_->InHand(); };
    hooks.hand_over = [this](std::function<void()> done) {
      control_.HandOver(std::move(done));
    };
    hooks.finished = [this] { signals_.cancel(); };
    return hooks;
  }

  const settings options_;
  const host_id self_;
  snapshot_cell snapshots_;
  asio::io_context context_{1};
  std::unique_ptr<trace_recorder> recorder_;  ///< Null: nothing is recorded.
  /// Outlives the control thread's state, which may still hold calls that
  /// came from a traffic thread.
  std::unique_ptr<traffic_threads> traffic_;
  control_loop control_;
  asio::signal_set signals_;
  drain_sequence drain_;
};

entry_host::entry_host(const settings& options,
                       const make_platform_services& platform)
    : impl_(std::make_unique<impl>(options, platform)) {}
entry_host::~entry_host() = default;

std::uint16_t entry_host::Port() const { return impl_->Port(); }
std::uint16_t entry_host::PeerPort() const { return impl_->PeerPort(); }
std::uint16_t entry_host::OperatorPort() const { return impl_->OperatorPort(); }
void entry_host::Run() { impl_->Run(); }
void entry_host::Drain() { impl_->Drain(); }

}  // namespace slatestall
