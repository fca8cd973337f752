#pragma once

#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/dispatch/endpoint_pick.h"
#include "slatestall/dispatch/request_digest.h"
#include "slatestall/dispatch/stream_origin.h"
#include "slatestall/gateway/gateway_environment.h"
#include "slatestall/gateway/request_end.h"
#include "slatestall/gateway/request_spans.h"
#include "slatestall/gateway/stage_calls.h"
#include "slatestall/gateway/stage_graph.h"
#include "slatestall/model/error_kind.h"
#include "slatestall/relay/caller_listener.h"
#include "slatestall/relay/endpoint_call.h"
#include "slatestall/relay/event_splitter.h"

namespace slatestall {

/// @brief One caller's request from its arrival to its one final answer: its
/// stages, the call to an endpoint, further attempts where these are allowed.
/// @ingroup gateway
class request_run : public std::enable_shared_from_this<request_run> {
 public:
  request_run(gateway_environment& environment, const stage_calls& stages,
              inbound_request request, answer_channel_ptr channel);

  void Start();
  /// @brief The process ends a moment later.
  void OnHostEnds();

 private:
  /// Bytes of results that are worth a place near them: between failure
  /// domains, a quarter of a megabyte costs four times as much as one more
  /// connection to an endpoint.
  static constexpr std::uint64_t kManyBytes = std::uint64_t{256} << 10U;
  /// How often all stages are run anew because their results were lost.
  static constexpr unsigned kMaxStageRestarts = 1;

  /// How an attempt failed, as far as it decides what comes next.
  enum class attempt_failure {
    kNotSent,   ///< No connection: the endpoint has seen nothing.
    kNotRun,    ///< The endpoint says so.
    kMoved,     ///< Not run: another incarnation has the address.
    kNoInputs,  ///< Not run: results of stages are gone.
    kUnknown,   ///< It may have run, wholly or in part.
    kOwnError,  ///< It ran and failed; its answer is whole.
  };

  /// A refusal, which goes to the caller as it stands.
  struct refusal {
    error_kind kind;
    std::string detail;
    milliseconds retry_after{0};
  };

  /// A stage that has pieces, from its place to its end.
  struct stage_in_hand {
    stage_shard shard;
    std::optional<stage_need> booking;  ///< Until it is submitted.
    stage_number running = 0;           ///< 0: not submitted, or over.
  };

  // Admission.
  std::optional<refusal> Identify();
  void Admit();
  void ArmDeadline();
  std::optional<refusal> CheckAdmission() const;
  bool TakesUpAStream() const;
  const std::string& StreamId() const;
  milliseconds StreamLife() const;
  void FindOrigin();
  void FindOnlyVersion();
  void TakeOrigin(const stream_origin& origin, const char* source);
  milliseconds ReturnWithoutConfiguration() const;
  std::optional<refusal> FindRoute();
  std::optional<refusal> FindWorkspace();
  void SetTimes();
  bool IsQuarantined() const;
  refusal Quarantined() const;
  std::optional<refusal> CheckEndpoints() const;
  std::optional<refusal> CheckTime() const;
  std::optional<refusal> CheckStop() const;
  refusal HostStops() const;
  duration PathTime() const;
  duration TimeOfStages() const;
  duration StageTime(std::size_t stage) const;
  duration Elapsed() const;
  duration TimeAfter(std::size_t stage) const;
  duration FirstEventTime() const;
  prompt_size PromptSize() const;
  milliseconds ReturnTime(milliseconds earliest = milliseconds(0)) const;
  milliseconds ReturnToService() const;
  milliseconds TimeLeft() const;

  // Stages.
  void Book();
  void PlaceStages();
  int StageRank() const;
  std::uint64_t KindOf(std::size_t stage) const;
  bool MayRestartStages() const;
  void OnBooked(const booking_answer& answer);
  stage_need NeedOf(std::size_t stage, const stage_shard& shard) const;
  duration TimeBefore(std::size_t stage) const;
  std::vector<stage_need> TakeBookings();
  void ReleaseBookings();
  bool HasChoice() const;
  void Advance();
  void BeginStage(std::size_t stage);
  std::string PlaceOf(std::size_t stage, const piece_group& group) const;
  std::string EngineDomain(std::size_t stage) const;
  std::string DomainOf(const std::vector<std::string>& handles) const;
  std::uint64_t FinalBytes() const;
  void OnStage(std::size_t stage, stage_outcome outcome);
  void RestartStages();
  void CancelStages();

  // Attempts.
  void Dispatch();
  std::optional<refusal> StillAllowed() const;
  pick_request NewPick() const;
  bool IsInRegion(const known_endpoint& endpoint) const;
  bool MayUse(const known_endpoint& endpoint) const;
  bool AwaitShare();
  void Send(const endpoint_record_ptr& record);
  void OnHead(message_head& head);
  void OnBody(const std::string& bytes);
  void OnEnd(call_outcome outcome);
  void OnEvents(const std::vector<whole_event>& events);
  void EndAttempt(call_lesson lesson);
  void FailAttempt(attempt_failure failure, const std::string& detail);
  bool MaySendAgain(attempt_failure failure) const;
  void GiveUp(attempt_failure failure, const std::string& detail);
  void ArmStallTimer(duration limit);
  std::uint64_t SharedPrompt() const;
  request_digest Digest() const;
  const std::vector<request_digest>& PartDigests() const;
  std::vector<request_digest> Suspects() const;
  std::vector<request_digest> QuarantinedBy() const;
  bool IsSuccess() const;

  // The end.
  void DeliverWhole();
  void BeginStream();
  void NoteFirstEvent(duration taken);
  void Refuse(const refusal& why);
  void Abort(const std::string& why);
  void OnCallerGone();
  void OnDeadline();
  bool IsLate() const;
  void LogTakenWhileStopping() const;
  void LogEnd(request_end end) const;
  void Finish(request_end end);
  void FreeResults();

  gateway_environment& environment_;
  const stage_calls& stages_;
  inbound_request request_;
  answer_channel_ptr channel_;
  request_facts facts_;
  request_spans spans_;
  routing_table_ptr table_;  ///< Under which the request was admitted.
  const route* route_ = nullptr;
  std::string service_;
  std::string workspace_;
  int rank_ = 0;
  region_limit regions_;  ///< Of the route and the workspace.
  time_point deadline_{};
  time_point objective_{};
  std::optional<stage_graph> graph_;
  std::map<std::size_t, stage_in_hand> in_hand_;  ///< Stages with pieces.
  bool booked_elsewhere_ = false;                 ///< Not only near its bytes.
  unsigned stage_restarts_ = 0;
  booking_verdict booked_ = booking_verdict::kInTime;

  std::shared_ptr<endpoint_call> call_;
  endpoint_record_ptr record_;
  dispatch_facts dispatch_;
  bool is_direct_ = true;  ///< No other host passes the call on.
  std::vector<endpoint_incarnation> tried_;
  unsigned sends_ = 0;
  unsigned moves_ = 0;  ///< Attempts that reached no endpoint of the service.
  bool may_have_run_ = false;
  message_head answer_;
  std::string answer_body_;
  std::optional<event_splitter> events_;
  std::optional<std::uint64_t> last_event_;
  /// Binds all further attempts once the caller has an event of the stream.
  std::optional<stream_origin> origin_;
  bool stream_begun_ = false;
  unsigned event_reads_ = 0;  ///< Of the attempt that runs.
  bool late_pause_ = false;
  time_point last_event_at_{};

  asio::steady_timer deadline_timer_;
  asio::steady_timer stall_timer_;
  mutable std::optional<request_digest> digest_;  ///< Once it was asked for.
  /// Of the parts of the prompt but the last, which is the request's own.
  mutable std::vector<request_digest> part_digests_;
  bool is_trial_ = false;  ///< Tells whether its quarantine is mistaken.
  bool finished_ = false;
};

}  // namespace slatestall
