#include "slatestall/serve/traffic_lane.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

#include "slatestall/serve/call_scheduler.h"
#include "slatestall/serve/lane_environment.h"
#include "slatestall/serve/request_front.h"

namespace slatestall {
namespace {

constexpr std::uint32_t kMaxLogEventsPerSecond = 50;

}  // namespace

class traffic_lane::impl {
 public:
  impl(asio::io_context& context, const traffic_lane_options& options,
       const host_id& host, unsigned lane, const snapshot_cell& snapshots,
       outcome_guard guard, now_function now, report_collector& report,
       traffic_lane_hooks hooks)
      : options_(options),
        hooks_(std::move(hooks)),
        snapshots_(snapshots),
        explain_(options.explain_size),
        log_(now, kMaxLogEventsPerSecond),
        policy_(options.policy),
        scheduler_(context, policy_, now),
        environment_{context,
                     std::make_shared<http_client>(context),
                     scheduler_,
                     std::make_shared<const outcome_guard>(std::move(guard)),
                     std::move(now),
                     counters_,
                     log_,
                     report,
                     explain_,
                     options_,
                     hooks_},
        server_(context, options.server,
                [this](const http_request& request,
                       const http_responder_ptr& responder) {
                  front_.Handle(request, responder);
                }),
        front_(environment_, host, lane),
        snapshot_timer_(context),
        alive_(std::make_shared<impl*>(this)) {
    ReadSnapshot();
  }

  std::uint16_t Port() const { return server_.Port(); }

  void Drain() { front_.SetState(front_state::kDraining); }

  void StopAccepting() {
    front_.SetState(front_state::kClosed);
    asio::post(environment_.context, [alive = std::weak_ptr(alive_)] {
      if (const auto self = alive.lock()) {
        (*self)->server_.StopAccepting();
      }
    });
  }

  std::size_t InHand() const { return front_.InHand(); }
  const lane_counters& Counters() const { return counters_; }
  std::uint64_t LogEventsDropped() const { return log_.Dropped(); }
  const explain_ring& Explain() const { return explain_; }
  std::map<std::string, std::uint32_t> InFlight() const {
    return policy_.InFlight();
  }

 private:
  void ReadSnapshot() {
    control_snapshot_ptr newest = snapshots_.Read();
    if (newest != snapshot_) {
      snapshot_ = newest;
      front_.UseSnapshot(newest);
      scheduler_.UseSnapshot(newest);
    }
    snapshot_timer_.expires_after(options_.snapshot_interval);
    snapshot_timer_.async_wait(
        [alive = std::weak_ptr(alive_)](asio::error_code error) {
          const auto self = alive.lock();
          if (!error && self != nullptr) {
            (*self)->ReadSnapshot();
          }
        });
  }

  // Destroyed from the last to the first: requests in hand end while the
  // policy, the counters and the connections they use still stand.
  traffic_lane_options options_;
  traffic_lane_hooks hooks_;
  const snapshot_cell& snapshots_;
  control_snapshot_ptr snapshot_;
  lane_counters counters_;
  explain_ring explain_;
  event_log log_;
  traffic_policy policy_;
  call_scheduler scheduler_;
  lane_environment environment_;
  http_server server_;
  request_front front_;
  asio::steady_timer snapshot_timer_;
  std::shared_ptr<impl*> alive_;
};

traffic_lane::traffic_lane(asio::io_context& context,
                           const traffic_lane_options& options,
                           const host_id& host, unsigned lane,
                           const snapshot_cell& snapshots, outcome_guard guard,
                           now_function now, report_collector& report,
                           traffic_lane_hooks hooks)
    : impl_(std::make_unique<impl>(context, options, host, lane, snapshots,
                                   std::move(guard), std::move(now), report,
                                   std::move(hooks))) {}
traffic_lane::~traffic_lane() = default;

std::uint16_t traffic_lane::Port() const { return impl_->Port(); }
void traffic_lane::Drain() { impl_->Drain(); }
void traffic_lane::StopAccepting() { impl_->StopAccepting(); }
std::size_t traffic_lane::InHand() const { return impl_->InHand(); }
const lane_counters& traffic_lane::Counters() const {
  return impl_->Counters();
}
std::uint64_t traffic_lane::LogEventsDropped() const {
  return impl_->LogEventsDropped();
}
const explain_ring& traffic_lane::Explain() const { return impl_->Explain(); }
std::map<std::string, std::uint32_t> traffic_lane::InFlight() const {
  return impl_->InFlight();
}

}  // namespace slatestall
