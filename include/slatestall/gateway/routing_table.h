#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "slatestall/model/region_limit.h"
#include "slatestall/model/time.h"
#include "slatestall/relay/caller_listener.h"

namespace slatestall {

/// @brief What kind of answer a route has, and whether a request of it may be
/// repeated.
/// @ingroup gateway
enum class route_kind {
  kIdempotent,       ///< May run more than once.
  kAtMostOnce,       ///< May run once.
  kStream,           ///< Events; may run once.
  kResumableStream,  ///< Events; may go on elsewhere after the last one seen.
};

struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;
};

/// @brief Work of a stage service that precedes the request itself.
struct stage_rule {
  std::string service;
  std::vector<std::size_t> after;  ///< Stages whose results it takes.
  std::uint64_t result_bytes = 0;  ///< Approximate size of one result.
};

struct route {
  std::string name;
  std::string host;  ///< Lower case, without a port.
  std::string path_prefix;
  route_kind kind = route_kind::kAtMostOnce;
  std::vector<weighted_service> services;
  std::vector<stage_rule> stages;
  milliseconds timeout{0};        ///< From arrival to the end of the answer.
  milliseconds objective{0};      ///< For the answer, or the first event.
  milliseconds longest_pause{0};  ///< Between events that are on time; 0: any.
  int rank = 0;                   ///< 0 is most urgent.
  unsigned attempts = 1;          ///< Endpoints one request may be sent to.
  bool is_public = false;         ///< Takes requests without a key.
  region_limit regions;

  bool IsStream() const {
    return kind == route_kind::kStream || kind == route_kind::kResumableStream;
  }
  bool MayRepeat() const {
    return kind == route_kind::kIdempotent ||
           kind == route_kind::kResumableStream;
  }
};

/// @brief How the endpoints of a stage service take their work.
struct batch_rule {
  std::uint32_t slots = 1;        ///< Calls that an endpoint runs side by side.
  std::uint32_t most_pieces = 1;  ///< Of one call.
  duration call_time{0};          ///< Of a call, whatever it carries.
  duration piece_time{0};         ///< On top, for each piece; approximate.
  std::uint64_t room_bytes = 0;   ///< For results, at each endpoint.
  duration keep_time{0};          ///< A result is dropped that long after it.
};

struct service_rule {
  std::string name;
  std::optional<batch_rule> batches;  ///< Set for stage services.
  /// Calls a second that a cold endpoint bears; 0: as many as any.
  double cold_rate = 0;
};

struct workspace_rule {
  std::string name;
  std::optional<int> rank;  ///< Goes before the route's.
  region_limit regions;     ///< Binds beside the route's.
};

/// @brief One accepted configuration. Immutable once it is shared.
class routing_table {
 public:
  std::int64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service_rule> services;
  std::unordered_map<std::string, workspace_rule> holders;  ///< By key.
  bool needs_keys = false;
  caller_limits limits;

  /// @brief Builds the index; call once, after the fields are set.
  void Index();

  /// @returns the route with the longest prefix of `path`, or null.
  const route* Find(std::string_view host, std::string_view path) const;
  const workspace_rule* HolderOf(const std::string& key) const;
  const service_rule* Service(const std::string& name) const;

 private:
  std::unordered_map<std::string, std::size_t> by_host_and_prefix_;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

/// @brief A request's target without its query.
std::string_view PathOf(std::string_view target);

/// @brief "HOST:PORT" in any case as a route's `host` is kept.
std::string RouteHost(std::string_view header);

}  // namespace slatestall
