#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "slatestall/policy/endpoint_state.h"

namespace slatestall {

/// @brief The endpoints of one service as one traffic thread sees them.
class endpoint_set {
 public:
  using candidates = std::vector<endpoint_state*>;

  /// @brief The endpoints this host may use, out of `holders` that could.
  struct subset {
    candidates endpoints;
    std::size_t holders = 0;
  };

  /// @param host_name Ranks the endpoints where a host uses only some.
  explicit endpoint_set(std::string host_name);

  /// @brief Takes the endpoints of `view`, which must stay alive until the
  /// next call.
  void Update(const service_view& view, std::uint32_t live_hosts,
              time_point now);
  /// @brief The service is gone; calls in flight go on.
  void UnlistAll();

  /// @brief The endpoints this host may use for `model` ("name@version", or
  /// empty): those that hold it, else those that have not said, else all.
  const subset& For(const std::string& model);
  const candidates& Listed() const { return listed_; }
  /// @brief All endpoints with state, also those no longer listed.
  const auto& States() const { return states_; }
  endpoint_state* Find(const std::string& address) const;

  bool Idle() const;

 private:
  void UnlistAll(const candidates& states);
  endpoint_state& StateFor(const endpoint_view& view, endpoint_state* hint,
                           std::uint32_t slots, time_point now);
  void RankListed();
  void DropUnlisted();
  candidates Holders(const std::string& model) const;
  std::size_t SubsetSize(std::size_t count) const;

  std::string host_name_;
  std::uint32_t live_hosts_ = 1;
  bool known_ = false;  ///< A first list has been taken.
  std::unordered_map<std::string, std::unique_ptr<endpoint_state>> states_;
  candidates listed_;                      ///< In the order of the view.
  candidates ranked_;                      ///< By this host's rank.
  std::map<std::string, subset> subsets_;  ///< By model, made on demand.
};

}  // namespace slatestall
