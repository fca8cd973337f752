#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "slatestall/dispatch/brittle_limit.h"
#include "slatestall/dispatch/call_limit.h"
#include "slatestall/dispatch/content_quarantine.h"
#include "slatestall/dispatch/endpoint_quota.h"
#include "slatestall/dispatch/endpoint_roster.h"
#include "slatestall/dispatch/first_event_time.h"
#include "slatestall/dispatch/longest_answer.h"
#include "slatestall/dispatch/repeat_allowance.h"
#include "slatestall/dispatch/request_digest.h"
#include "slatestall/dispatch/stream_origin.h"
#include "slatestall/dispatch/usual_patience.h"
#include "slatestall/gateway/decision_log.h"
#include "slatestall/gateway/endpoint_paths.h"
#include "slatestall/gateway/endpoint_protocol.h"
#include "slatestall/gateway/gateway_metrics.h"
#include "slatestall/gateway/gateway_options.h"
#include "slatestall/gateway/host_stop.h"
#include "slatestall/gateway/routing_table.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What the parts of the traffic thread share; all of it is used from
/// that thread only, the log excepted.
/// @ingroup gateway
struct gateway_environment {
  asio::io_context& context;
  const gateway_options& options;
  const endpoint_protocol& protocol;
  decision_log& log;
  now_function now;
  endpoint_roster roster;
  repeat_allowance repeats;
  call_limit cold;
  endpoint_quota quota;
  brittle_limit brittle;
  content_quarantine quarantine;
  gateway_metrics metrics;
  endpoint_paths paths;
  routing_table_ptr table;  ///< Null until one is known.
  /// Calls a second that brittle endpoints bear to turn away, by service.
  std::map<std::string, double> brittle_services;
  std::map<std::string, usual_patience> patience;        ///< By route.
  std::map<std::string, longest_answer> answers;         ///< By route.
  std::map<std::string, first_event_time> first_events;  ///< By service.
  time_point started_at{};
  time_point back_offs_end{};           ///< The latest of all endpoints.
  std::optional<host_stop> stop{};      ///< Not set: goes on.
  std::set<class request_run*> runs{};  ///< On a route and not yet ended.
  /// An endpoint has survived requests that have these in common.
  std::function<void(const std::vector<request_digest>&)> on_served{};
  /// A call broke off at an endpoint, which may have crashed by one of these.
  std::function<void(const known_endpoint&, const std::vector<request_digest>&)>
      on_broken{};
  /// An endpoint was reported as leaving; work that waits for it has to move.
  std::function<void()> on_endpoint_leaving{};
  /// Keeps the origin of a stream where all hosts find it.
  std::function<void(const std::string& stream, const stream_origin&,
                     milliseconds lifetime)>
      note_stream{};
  using origin_hook = std::function<void(const std::optional<stream_origin>&)>;
  /// Finds the origin of a stream that some host has begun.
  std::function<void(const std::string& stream, origin_hook done)>
      find_stream{};
  using version_hook = std::function<void(const std::optional<std::string>&)>;
  /// Finds the version that all endpoints of a service have had for a while;
  /// nothing where another may have served, as far as the store says now.
  std::function<void(const std::string& service, milliseconds time,
                     version_hook done)>
      find_only_version{};

  /// @brief Whether a request with that limit may use a failure domain.
  bool Allows(const region_limit& regions, const std::string& domain) const {
    return regions.Allows(options.RegionOf(domain));
  }
  /// @brief Calls that cold endpoints of a service may get in a second; nothing
  /// where they bear as many as others.
  std::optional<std::size_t> ColdCalls(const std::string& service) const;
  /// @brief Whether this host may send one more call to a cold endpoint now.
  bool MayUseCold(const endpoint_record& record, std::size_t calls_in_a_second);
  /// @brief Whether an endpoint is used only as far as its quota goes.
  bool HasQuota(const endpoint_record& record) const;
  /// @brief Whether this host may send one more call now.
  bool MayCall(const endpoint_record& record);
  /// @brief The same for the host through which all calls there go.
  bool MayCallAsHome(const endpoint_record& record);
  /// @brief Whether this host may send calls now or within a few seconds.
  bool MayCallSoon(const endpoint_record& record);
  /// @brief What an answer tells of its endpoint.
  /// @param ran Whether it is the answer to a call that ran. Only such a one
  /// that names no quota says that there is none.
  void NoteAnswer(endpoint_record& record, const answer_facts& facts, bool ran);
  void NoteLeaving(const endpoint_incarnation& run);
  void NoteBackOff(endpoint_record& record, milliseconds retry_after);
  void NoteBrittle(const endpoint_record& record, const answer_facts& facts);
  /// @brief A call goes to an endpoint, which may be cold or in need.
  void NoteSent(const endpoint_record& record);
  quota_share Share() const;
  /// @brief Calls a second, of all hosts, that it bears to turn away before it
  /// falls over; nothing: any number.
  std::optional<double> Bears(const endpoint_record& record) const;
};

}  // namespace slatestall
