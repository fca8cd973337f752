#include "slatestall/node/order_service.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace slatestall {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr milliseconds kTick{500};
/// Less than the margin of a lease: an order never arrives, by way of this
/// call, when another host may already give some.
constexpr milliseconds kOrderTimeout{900};
/// Before the same order is sent again to an engine that does not report it.
constexpr seconds kResend{10};
/// Older reports say nothing about what an engine holds.
constexpr seconds kReportFresh{15};

std::string LeaseOf(const std::string& service) { return "orders/" + service; }

std::string BodyOf(const engine_order& order, std::uint64_t fencing) {
  return json{{"fencing", fencing},
              {"desired",
               {{"models", order.models},
                {"adapters", order.adapters},
                {"role", "mixed"}}}}
      .dump();
}

std::set<std::string> LabelsOf(const std::vector<model_demand>& demand) {
  std::set<std::string> labels;
  for (const auto& model : demand) {
    labels.insert(model.Label());
  }
  return labels;
}

}  // namespace

order_service::order_service(asio::io_context& context, const host_id& self,
                             http_client& client,
                             const endpoint_directory& directory,
                             log_service log, fetch_weights weights,
                             now_function now, order_links links)
    : client_(client),
      directory_(directory),
      now_(std::move(now)),
      links_(std::move(links)),
      leases_(context, self, std::move(log), now_),
      weights_(std::move(weights), now_),
      timer_(context) {}

void order_service::Start() {
  leases_.Start();
  ScheduleTick();
}

void order_service::Resign() {
  leases_.Resign();
  leases_.Tick();
}

void order_service::ScheduleTick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      OnTick();
      ScheduleTick();
    }
  });
}

void order_service::OnTick() {
  std::set<std::string> wanted;
  if (const auto& configuration = directory_.Configuration()) {
    for (const auto& [name, service] : configuration->content.services) {
      if (service.kind == service_kind::kEngine) {
        wanted.insert(LeaseOf(name));
      }
    }
  }
  leases_.Want(wanted, links_.live_hosts());
  leases_.Tick();
  RefreshHeld();
  for (const auto& service : held_) {
    GiveOrders(service);
  }
}

void order_service::RefreshHeld() {
  std::set<std::string> held;
  for (const auto& [name, endpoints] : directory_.Services()) {
    if (leases_.Fencing(LeaseOf(name))) {
      held.insert(name);
    }
  }
  counters_.leases_held = held.size();
  if (held != held_) {
    held_ = std::move(held);
    sent_.clear();
    links_.on_held_change();
  }
}

void order_service::GiveOrders(const std::string& service) {
  const auto demand = DemandOf(directory_.Configuration()->content, service);
  const auto available = weights_.Available(LabelsOf(demand));
  for (const auto& order : PlanOrders(demand, EnginesOf(service), available)) {
    const auto last = sent_.find(order.address);
    const bool repeated = last != sent_.end() && last->second.order == order &&
                          now_() - last->second.at < kResend;
    if (!repeated) {
      Send(service, order);
    }
  }
}

// The lease is looked at for each order, on the monotonic clock: between two
// orders this host may have been paused for longer than its term.
void order_service::Send(const std::string& service,
                         const engine_order& order) {
  const auto fencing = leases_.Fencing(LeaseOf(service));
  if (!fencing) {
    return;
  }
  sent_[order.address] = {order, now_()};
  ++counters_.sent;
  http_call call;
  call.method = "POST";
  call.url = "http://" + order.address + "/v1/orders";
  call.headers.push_back({"Content-Type", "application/json"});
  call.body = BodyOf(order, *fencing);
  call.timeout = kOrderTimeout;
  client_.Start(std::move(call),
                [this](const http_result& result) { OnAnswer(result); });
}

void order_service::OnAnswer(const http_result& result) {
  const int status = result.end == call_end::kComplete ? result.status : 0;
  if (status == 200) {
    ++counters_.applied;
  } else if (status == 409) {
    ++counters_.fenced;
  } else {
    ++counters_.failed;
  }
}

std::vector<engine_state> order_service::EnginesOf(
    const std::string& service) const {
  std::vector<engine_state> engines;
  const auto views = directory_.Views(std::nullopt);
  const auto view = views.find(service);
  if (view == views.end()) {
    return engines;
  }
  for (const auto& endpoint : view->second.endpoints) {
    engine_state engine;
    engine.address = endpoint.where.address;
    engine.failure_domain = endpoint.where.failure_domain;
    engine.leaving = endpoint.leaving;
    engine.reported = endpoint.load.received != time_point{} &&
                      now_() - endpoint.load.received < kReportFresh;
    engine.models.insert(endpoint.load.models.begin(),
                         endpoint.load.models.end());
    engine.adapters.insert(endpoint.load.adapters.begin(),
                           endpoint.load.adapters.end());
    engines.push_back(std::move(engine));
  }
  return engines;
}

}  // namespace slatestall
