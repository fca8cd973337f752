#include "slatestall/node/control_loop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <thread>
#include <utility>

#include "slatestall/model/listen_address.h"
#include "slatestall/node/control_core.h"
#include "slatestall/node/operator_server.h"

namespace slatestall {
namespace {

std::string Metric(const std::string& name, const std::string& type,
                   std::uint64_t value) {
  return "# TYPE slatestall_" + name + " " + type + "\nslatestall_" + name +
         " " + std::to_string(value) + "\n";
}

}  // namespace

class control_loop::impl {
 public:
  impl(const settings& options, const host_id& self, now_function now,
       snapshot_cell& snapshots, control_hooks hooks,
       const make_platform_services& platform)
      : work_(asio::make_work_guard(context_)),
        core_(context_, options, self, std::move(now), snapshots,
              WithOperatorAddress(options, std::move(hooks)), platform) {
    if (!options.operator_listen.empty()) {
      operators_ = std::make_unique<operator_server>(
          context_, options.operator_listen,
          [this](const http_request& request, const admin_reply& reply) {
            core_.HandleAdminCall(request, reply);
          });
    }
  }

  void Start() {
    asio::post(context_, [this] { core_.Start(); });
    thread_ = std::thread([this] { context_.run(); });
  }

  void Stop() {
    work_.reset();
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  asio::io_context& Context() { return context_; }
  control_core& Core() { return core_; }
  std::uint16_t OperatorPort() const {
    return operators_ ? operators_->Port() : 0;
  }

 private:
  /// Other hosts are told where operators find this one.
  control_hooks WithOperatorAddress(const settings& options,
                                    control_hooks hooks) {
    if (!options.operator_listen.empty()) {
      hooks.http_address = [this, listen = options.operator_listen] {
        return ParseListenAddress(listen).address + ":" +
               std::to_string(OperatorPort());
      };
    }
    return hooks;
  }

  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  /// Outlives the core, which may hold calls that are not answered yet.
  std::unique_ptr<operator_server> operators_;
  control_core core_;
  std::thread thread_;
};

control_loop::control_loop(const settings& options, const host_id& self,
                           now_function now, snapshot_cell& snapshots,
                           control_hooks hooks,
                           const make_platform_services& platform)
    : impl_(std::make_shared<impl>(options, self, std::move(now), snapshots,
                                   std::move(hooks), platform)) {}

control_loop::~control_loop() { impl_->Stop(); }

void control_loop::Start() { impl_->Start(); }

void control_loop::Stop() { impl_->Stop(); }

std::uint16_t control_loop::PeerPort() const {
  return impl_->Core().PeerPort();
}

std::uint16_t control_loop::OperatorPort() const {
  return impl_->OperatorPort();
}

// The call arrives on a traffic thread, is handled on the control thread and
// answered on the traffic thread, to which its responder belongs.
http_handler control_loop::AdminHandler(asio::io_context& lane) {
  if (impl_->OperatorPort() != 0) {
    return {};
  }
  return [weak = std::weak_ptr(impl_), &lane](
             const http_request& request, const http_responder_ptr& responder) {
    const auto impl = weak.lock();
    if (!impl) {
      return;
    }
    // The last owner may be the control thread: the responder still ends
    // where it belongs.
    http_responder_ptr owned(responder.get(), [&lane, responder](auto*) {
      asio::post(lane, [responder] {});
    });
    auto reply = [&lane, responder = std::move(owned)](admin_answer answer) {
      asio::post(lane, [responder, answer = std::move(answer)]() mutable {
        responder->Send(answer.status, {{"Content-Type", "application/json"}},
                        std::move(answer.body));
      });
    };
    asio::post(impl->Context(),
               [core = &impl->Core(), request, reply = std::move(reply)] {
                 core->HandleAdminCall(request, reply);
               });
  };
}

outcome_guard control_loop::Guard() { return impl_->Core().Guard(); }

void control_loop::EndpointLeaves(const std::string& address) {
  asio::post(impl_->Context(), [core = &impl_->Core(), address] {
    core->EndpointLeaves(address);
  });
}

void control_loop::EndpointTold(const std::string& address,
                                const told_load& load) {
  if (impl_->Core().Told().Put(address, load)) {
    asio::post(impl_->Context(),
               [core = &impl_->Core()] { core->TakeToldSoon(); });
  }
}

void control_loop::BeginDrain() {
  asio::post(impl_->Context(), [core = &impl_->Core()] { core->BeginDrain(); });
}

void control_loop::HandOver(std::function<void()> done) {
  asio::post(impl_->Context(), [core = &impl_->Core(), done = std::move(done)] {
    core->HandOver(done);
  });
}

milliseconds control_loop::LongestDeadline() const {
  return milliseconds{impl_->Core().Figures().longest_deadline_ms.load()};
}

std::string control_loop::Metrics() const {
  const auto& figures = impl_->Core().Figures();
  auto text = Metric("config_revision", "gauge", figures.revision) +
              Metric("log_reachable", "gauge", figures.log_reachable ? 1 : 0) +
              Metric("live_hosts", "gauge", figures.live_hosts) +
              Metric("snapshots_total", "counter", figures.snapshots) +
              figures.loop.Metrics("control");
  text += impl_->Core().Traffic().Metrics();
  if (const auto* orders = impl_->Core().Orders()) {
    text += Metric("order_leases_held", "gauge", orders->leases_held) +
            Metric("orders_sent_total", "counter", orders->sent) +
            Metric("orders_applied_total", "counter", orders->applied) +
            Metric("orders_fenced_total", "counter", orders->fenced) +
            Metric("orders_failed_total", "counter", orders->failed);
  }
  return text;
}

}  // namespace slatestall
