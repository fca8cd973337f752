#pragma once

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "slatestall/http/http_client.h"
#include "slatestall/http/sse_parser.h"
#include "slatestall/model/ids.h"
#include "slatestall/policy/traffic_policy.h"
#include "slatestall/serve/engine_answer.h"
#include "slatestall/serve/lane_environment.h"
#include "slatestall/serve/stage_codec.h"
#include "slatestall/serve/token_stream.h"

namespace slatestall {

class stage_attempt;

struct attempt_spec {
  stage_message message;    ///< What it points to outlives the attempt.
  stage_ticket ticket = 0;  ///< Of the decision to send it.
  std::string address;
  attempt_id id;
  time_point deadline{};
  /// Nothing: only the deadline ends it.
  std::optional<milliseconds> timeout;
  /// Longest pause inside a stream; nothing: any.
  std::optional<milliseconds> stall_timeout;
  /// Engines: ends it where no text has come by then.
  std::optional<milliseconds> first_byte_timeout;
  bool at_most_once = false;
  /// An ended attempt whose text went to the caller: this one has to repeat it
  /// before it goes on. Held only until the attempt is made.
  std::shared_ptr<const stage_attempt> goes_on_after;
};

/// @brief How one attempt ended.
struct attempt_result {
  attempt_end end = attempt_end::kFailed;
  /// False only where the call cannot have run at the endpoint.
  bool may_have_run = true;
  bool worth_retrying = true;  ///< Another endpoint may do better.
  bool said_leaving = false;
  bool stream_is_lost = false;  ///< Cannot be resumed any more.
  std::string detail;
  stage_output output;  ///< Of `kAnswered`.
};

struct attempt_hooks {
  /// Text of an engine as it comes, without gap or repetition.
  std::function<void(std::uint64_t offset, std::string_view text)> on_text;
  /// Once, from the event loop; not after `Cancel`.
  std::function<void(attempt_result)> on_done;
  /// The id of a further call to the same endpoint.
  std::function<attempt_id()> next_id;
  std::function<void(std::string_view what, std::string_view reason)> note;
};

/// @brief One attempt of a stage at one endpoint: a call and, for engines,
/// the calls that resume its stream there after a cut.
class stage_attempt : public std::enable_shared_from_this<stage_attempt> {
 public:
  stage_attempt(const lane_environment& environment, attempt_spec spec);
  ~stage_attempt();
  stage_attempt(const stage_attempt&) = delete;
  stage_attempt& operator=(const stage_attempt&) = delete;

  /// @param hooks What the attempt tells; they may name the attempt itself.
  void Start(attempt_hooks hooks);
  /// @brief Ends it now; its connection is closed.
  void Cancel();
  /// @brief Lifts the timeout: text went to the caller, so no other endpoint
  /// can take over.
  void LiftTimeout();

  stage_ticket Ticket() const { return spec_.ticket; }
  const std::string& Address() const { return spec_.address; }
  const attempt_id& Id() const { return spec_.id; }
  std::uint64_t Tokens() const { return stream_.Generated(); }
  bool HasText() const { return !stream_.Text().empty(); }
  duration FirstByte() const { return first_byte_; }
  /// @brief Since `Start`; zero before.
  duration Elapsed() const;

 private:
  void StartExchange(const std::optional<resume_point>& resume);
  void StartTimeout();
  void WatchForStall();
  void CheckStall();
  void StartFirstByteTimeout();
  void TimeOut(const char* detail);
  void OnData(std::uint64_t exchange, std::string_view data);
  void OnEvent(const std::string& data);
  void OnText(std::uint64_t offset, std::string_view text);
  void PassOnText();
  void OnResult(std::uint64_t exchange, http_result result);
  void OnEngineResult(const http_result& result);
  void CountLate() const;
  void DropExchange();
  void EndDiverged();
  void DropStream(lane_event count, std::string_view what);
  void FinishWholeLater();
  void ResumeOrFail(attempt_result failure);
  bool MayResume(const attempt_result& failure) const;
  void ResumeLater();
  void Finish(attempt_result result);
  attempt_result Crossed();
  attempt_result Refusal(const http_result& result) const;
  attempt_result Failure(std::string detail) const;
  milliseconds TimeLeft() const;

  const lane_environment& environment_;
  attempt_spec spec_;
  attempt_hooks hooks_;
  bool ended_ = false;
  time_point started_{};
  duration first_byte_{};
  asio::steady_timer timeout_;
  asio::steady_timer first_byte_timeout_;
  asio::steady_timer resume_timer_;
  asio::steady_timer stall_timer_;
  bool stall_watched_ = false;
  time_point last_event_{};  ///< Or the start of a resuming call.
  unsigned stalls_ = 0;
  std::uint64_t exchange_ = 0;  ///< Number of the live call; callbacks of
                                ///< earlier ones are late.
  bool exchange_live_ = false;
  http_client::call_number call_ = 0;
  attempt_id call_id_;
  unsigned resumes_ = 0;
  bool refused_connection_ = false;  ///< By the last call.
  token_stream stream_;
  std::uint64_t unpassed_offset_ = 0;
  std::string unpassed_text_;  ///< Of the read under way.
  std::unique_ptr<engine_answer> answer_;
  std::unique_ptr<sse_parser> parser_;
};

}  // namespace slatestall
