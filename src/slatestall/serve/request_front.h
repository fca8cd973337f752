#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include "slatestall/http/http_server.h"
#include "slatestall/model/ids.h"
#include "slatestall/policy/control_snapshot.h"
#include "slatestall/serve/front_route.h"
#include "slatestall/serve/key_queries.h"
#include "slatestall/serve/lane_environment.h"
#include "slatestall/serve/request_flow.h"

namespace slatestall {

/// @brief Whether a host takes requests.
enum class front_state {
  kServing,
  kDraining,  ///< Not ready for the balancer, but serves what still comes.
  kClosed,    ///< Refuses new requests.
};

/// @brief Takes each HTTP request to what serves it; checks names, keys and
/// form before anything runs.
class request_front {
 public:
  request_front(const lane_environment& environment, const host_id& host,
                unsigned lane);

  void Handle(const http_request& request, const http_responder_ptr& responder);
  void UseSnapshot(control_snapshot_ptr snapshot);

  /// @brief May be called from any thread, as may `InHand`.
  void SetState(front_state state) { state_ = state; }
  std::size_t InHand() const { return in_hand_; }

 private:
  void Serve(const front_route& route, const http_request& request,
             const http_responder_ptr& responder);
  void ServeWorkspace(const front_route& route, const http_request& request,
                      const http_responder_ptr& responder);
  void ServeReadiness(http_responder& responder) const;
  void ServeMetrics(http_responder& responder) const;
  void ServeMintedKey(const front_route& route, const http_request& request,
                      http_responder& responder) const;
  void ServeKeyState(const front_route& route, const http_request& request,
                     const http_responder_ptr& responder);
  void Begin(const front_route& route, const http_request& request,
             const http_responder_ptr& responder);
  const workspace_config& Authorized(const front_route& route,
                                     const http_request& request) const;
  std::shared_ptr<const pipeline_config> Target(
      const front_route& route, const workspace_config& workspace) const;
  void CheckTakesRequests() const;
  flow_spec Flow(const front_route& route, const http_request& request) const;

  const lane_environment& environment_;
  request_id_source ids_;
  control_snapshot_ptr snapshot_;
  std::atomic<front_state> state_{front_state::kServing};
  std::atomic<std::size_t> in_hand_{0};
  key_queries key_queries_;
  std::unordered_map<std::string, std::shared_ptr<request_flow>> flows_;
};

}  // namespace slatestall
