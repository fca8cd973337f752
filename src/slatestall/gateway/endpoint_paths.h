#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/dispatch/crash_suspicions.h"
#include "slatestall/dispatch/endpoint_roster.h"
#include "slatestall/dispatch/path_health.h"
#include "slatestall/dispatch/relay_choice.h"
#include "slatestall/gateway/decision_log.h"
#include "slatestall/gateway/gateway_metrics.h"
#include "slatestall/model/time.h"
#include "slatestall/relay/endpoint_call.h"

namespace slatestall {

/// @brief How calls reach endpoints: directly, or through hosts that still
/// reach a service from which this one is cut off.
///
/// Only the connection differs. Attempts, limits and the outcome of a call stay
/// with the host that holds its request.
/// @ingroup gateway
class endpoint_paths {
 public:
  endpoint_paths(asio::io_context& context, endpoint_roster& roster,
                 decision_log& log, gateway_metrics& metrics, now_function now,
                 bool may_relay);
  ~endpoint_paths();
  endpoint_paths(const endpoint_paths&) = delete;
  endpoint_paths& operator=(const endpoint_paths&) = delete;

  void SetHosts(const std::vector<relay_host>& hosts) {
    relays_.SetHosts(hosts);
  }
  bool IsCut(const std::string& service) const {
    return health_.IsCut(service);
  }
  /// @brief Sets the way that a call takes, and follows how it fares.
  void Route(const endpoint_record& record, endpoint_call_options& options,
             endpoint_call_hooks& hooks);
  /// @brief What a call that has ended says of its endpoint.
  /// @param lesson What it would say if the host reached the endpoint.
  call_lesson LessonOf(const std::string& service, bool was_direct,
                       call_outcome outcome, call_lesson lesson) const;
  void NoteUnreached(const known_endpoint& endpoint);
  /// @brief Finds out whether an endpoint is dead for others, too, while this
  /// host takes itself for cut off: another host does not reach it either, or
  /// this host reaches other endpoints of the service but still not this one.
  /// @param down Called once that is known; never where it is not so.
  void ConfirmDown(const known_endpoint& endpoint,
                   const std::function<void()>& down);

 private:
  struct probe;
  class relay_use;

  void FollowDirect(const std::string& service, endpoint_call_hooks& hooks);
  void FollowRelayed(const std::string& service,
                     const std::vector<relay_hop>& via,
                     endpoint_call_hooks& hooks);
  std::vector<relay_hop> Hops() const;
  void OnRelayEnd(const std::string& service, call_outcome outcome);
  void LookElsewhere(const known_endpoint& failed);
  void LookAt(const known_endpoint& endpoint);
  void ProbeAt(const known_endpoint& endpoint,
               std::function<void(bool reached)> done);
  void ProbeSoon();
  void Probe();
  void OnProbed(const std::string& service, bool reached, time_point sent);
  void OnReached(const std::string& service, time_point sent);
  void LookAgain(const std::string& service, time_point sent);
  /// @param done Gets false also where no other host knows.
  void AskOthers(const known_endpoint& endpoint,
                 const std::function<void(bool down)>& done);
  void ConcludeDown(const endpoint_incarnation& suspect);

  asio::io_context& context_;
  endpoint_roster& roster_;
  decision_log& log_;
  gateway_metrics& metrics_;
  now_function now_;
  bool may_relay_;
  path_health health_;
  relay_choice relays_;
  crash_suspicions suspicions_;
  /// What follows once a suspect is known to be down.
  std::map<endpoint_incarnation, std::function<void()>> when_down_;
  asio::steady_timer probe_timer_;
  bool probes_ = false;
  /// When the next probe may follow a failure, by service.
  std::map<std::string, time_point> next_look_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
