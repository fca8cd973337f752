#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/gateway/call_relay.h"
#include "slatestall/gateway/crash_watch.h"
#include "slatestall/gateway/endpoint_listing.h"
#include "slatestall/gateway/gateway_environment.h"
#include "slatestall/gateway/shared_reading.h"
#include "slatestall/gateway/stage_home.h"
#include "slatestall/gateway/stage_router.h"
#include "slatestall/gateway/start_queue.h"
#include "slatestall/gateway/stream_directory.h"
#include "slatestall/gateway/topic_exchange.h"
#include "slatestall/peer/peer_node.h"
#include "slatestall/relay/caller_listener.h"
#include "slatestall/relay/unread_budget.h"

namespace slatestall {

/// @brief What the traffic thread learns that other hosts are to know; called
/// on it.
/// @ingroup gateway
struct traffic_news {
  std::function<void(const endpoint_crash&)> on_crash;
  std::function<void(const content_notice&)> on_verdict;
  /// See `gateway_control::FindOnlyVersion`; `done` runs on the traffic thread.
  std::function<void(const std::string& service, milliseconds time,
                     gateway_environment::version_hook done)>
      find_only_version{};
};

/// @brief The traffic thread's part of a gateway host: callers' connections,
/// the requests in hand, the stage calls.
/// @ingroup gateway
class gateway_traffic {
 public:
  gateway_traffic(asio::io_context& context, const gateway_options& options,
                  const endpoint_protocol& protocol, decision_log& log,
                  const now_function& now, topic_source known_topics,
                  traffic_news news);
  ~gateway_traffic();
  gateway_traffic(const gateway_traffic&) = delete;
  gateway_traffic& operator=(const gateway_traffic&) = delete;

  // All on the traffic thread.
  void SetConfiguration(routing_table_ptr table);
  void SetEndpoints(const std::vector<known_endpoint>& listed);
  void ChangeEndpoints(const listing_changes& changes);
  void SetHosts(std::vector<listed_gateway> hosts);
  void SetCensus(const host_census& census) {
    environment_.repeats.NoteCensus(census, environment_.now());
  }
  /// @brief The store has answered this host, or not.
  void NoteStore(bool answered) { router_.NoteStore(answered); }
  /// @brief More of a topic has been read: answers questions held for it.
  void ReleaseQuestions(const std::string& topic) { topics_.Release(topic); }
  /// @brief Asks the host that this one follows.
  void AskReader(const topic_question& question, topic_asks::reader_hook done);
  /// @brief Asks some other hosts what they know.
  void AskAny(const topic_question& question, topic_exchange::done_hook done);
  /// @brief Other hosts have reported a crash, or told of a content.
  void NoteCrash(const endpoint_crash& crash, crash_source source);
  void NoteVerdict(request_digest content,
                   std::optional<content_verdict> verdict,
                   verdict_teller teller);
  void SetRepeatLimits(const repeat_limits& limits) {
    environment_.repeats.SetLimits(limits);
    router_.RenewPool();
  }
  void AnnounceClose();
  void StopAccepting();
  /// @brief The process ends a moment later: refuses what still comes and what
  /// has not begun to be answered.
  void TakeNoMore();
  /// @brief What the end of this host would cut: callers that are not yet
  /// answered to the last byte, and other hosts' pieces and calls.
  std::size_t InHand() const {
    return listener_.Busy() + router_.Serves() + relay_.InHand();
  }
  std::size_t Connections() const { return listener_.Connections(); }

  std::uint16_t Port() const { return listener_.Port(); }
  std::uint16_t PeerPort() const { return peers_.Port(); }
  std::uint16_t RelayPort() const { return relay_.Port(); }
  // Any thread may use these two.
  gateway_metrics& Metrics() { return environment_.metrics; }
  /// @brief The metrics with gauges as they are now.
  std::string MetricsText();

 private:
  void ForgetOldRoutes();
  void OnCrash(const endpoint_crash& crash);
  void OnSuspectedCrash(const endpoint_crash& crash);
  void OnUnreadClosed(const unread_close& closed);
  void JudgeSoon();
  void Judge();
  void EndStart();
  void OnEndpoints();
  void TakeRequest(inbound_request request, answer_channel_ptr channel);

  traffic_news news_;
  gateway_environment environment_;
  stage_home home_;
  call_relay relay_;
  peer_node peers_;
  topic_exchange topics_;
  stream_directory streams_;
  stage_router router_;
  const stage_calls stages_;
  crash_watch crashes_;
  asio::steady_timer judge_timer_;
  start_queue starting_;
  bool knows_endpoints_ = false;
  const std::shared_ptr<unread_budget> unread_;  ///< Null: no bound.
  caller_listener listener_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
