#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "slatestall/dispatch/piece_queue.h"
#include "slatestall/dispatch/result_room.h"
#include "slatestall/gateway/gateway_environment.h"
#include "slatestall/gateway/stage_calls.h"
#include "slatestall/http/http_client.h"
#include "slatestall/relay/endpoint_call.h"

namespace slatestall {

/// @brief Makes pieces: puts those of many requests into calls to the
/// endpoints of their service, and follows each until it is made or given up.
///
/// An endpoint has one call at a time from here. The next batch is formed when
/// the last one ends, so that everything that came meanwhile shares it, and
/// the most pressing pieces are chosen as late as possible.
/// @ingroup gateway
class stage_home {
 public:
  explicit stage_home(gateway_environment& environment);
  ~stage_home();
  stage_home(const stage_home&) = delete;
  stage_home& operator=(const stage_home&) = delete;

  stage_number Submit(const stage_shard& shard, piece_group group,
                      std::function<void(stage_outcome)> done);
  void Cancel(stage_number number);
  /// @brief Holds room for pieces that are going to come.
  booking_answer Book(const stage_need& need);
  void Release(const stage_need& need);
  void Free(std::vector<std::string> handles);
  /// @brief Pieces that wait for a call or are booked, by shard.
  std::map<stage_shard, std::size_t> Waiting() const;
  /// @brief Endpoints or the configuration changed.
  void Refresh();

 private:
  /// Slower than this against expectation, an endpoint is used only when the
  /// others cannot take what waits.
  static constexpr double kSlowFactor = 2.0;

  struct group_state;
  struct call_state;
  struct shard_state;
  using group_state_ptr = std::shared_ptr<group_state>;
  using call_state_ptr = std::shared_ptr<call_state>;

  shard_state& StateOf(const stage_shard& shard);
  void Pump(const stage_shard& shard);
  std::vector<endpoint_record_ptr> FreeEndpoints(const shard_state& state,
                                                 const stage_shard& shard,
                                                 const batch_rule& rule) const;
  bool PumpOnce(const stage_shard& shard, const batch_rule& rule,
                const endpoint_record_ptr& record);
  void ExpireWhileClosed(const stage_shard& shard);
  duration LateWait(const stage_shard& shard) const;
  duration FullCallTime(const stage_shard& shard) const;
  duration PieceTime(const stage_shard& shard, const batch_rule& rule) const;
  duration PieceTimeOf(std::uint64_t kind, const stage_shard& shard,
                       const batch_rule& rule) const;
  duration PieceWork(std::uint64_t kind, const stage_shard& shard) const;
  void LogRefusal(const stage_need& need, const shard_state& state,
                  const stage_capacity& capacity,
                  const booking_answer& answer) const;
  void LogCall(const stage_shard& shard, const piece_batch& batch,
               const batch_terms& terms);
  void NoteOutcomes(shard_state& state, const piece_batch& batch);
  bool IsSlow(const shard_state& state, const endpoint_record& record) const;
  double SlownessNow(const shard_state& state,
                     const endpoint_record& record) const;
  std::uint64_t RoomAt(const endpoint_record& record, const batch_rule& rule);
  void SendBatch(const stage_shard& shard, const batch_rule& rule,
                 const endpoint_record_ptr& record, piece_batch batch);
  void WatchCall(const call_state_ptr& call, duration expected);
  void OnOverdue(const call_state_ptr& call);
  void OnCallEnd(const call_state_ptr& call, const http_result& result);
  call_lesson TakeAnswer(const call_state_ptr& call, const http_result& result);
  call_lesson OnUnreached(const call_state& call);
  duration NominalTime(const std::vector<waiting_piece>& pieces,
                       const stage_shard& shard, const batch_rule& rule) const;
  endpoint_call_options CallOptions(const endpoint_record& record,
                                    const std::string& path,
                                    std::string body) const;
  answer_facts ReadAnswer(endpoint_record& record, const http_result& result,
                          bool ran);
  void NoteBroken(const call_state& call);
  void Pause(const call_state& call);
  void ReturnTries(const call_state& call);
  void NoteTaken(const call_state& call, duration taken);
  void NotePieceTime(const call_state& call, duration taken);
  void RejectOfOthers(const call_state& call,
                      std::vector<piece_result>& results);
  void TakeResults(const call_state_ptr& call,
                   const std::vector<piece_result>& results);
  void TakeResult(const call_state_ptr& call, const waiting_piece& piece,
                  const piece_result& result);
  void TryAgain(const stage_shard& shard, const waiting_piece& piece);
  void Fail(const piece_group* group, stage_end end);
  void Conclude(const group_state_ptr& ended, stage_outcome outcome);
  void PumpSoon(const stage_shard& shard, duration delay);
  void PlanFrees();
  void FlushFrees();
  const batch_rule* Rule(const std::string& service) const;
  bool IsOverShare(const stage_shard& shard, const stage_booking& booking);
  void LogShare(const stage_booking& booking, const stage_shard& shard);
  stage_capacity Capacity(const stage_shard& shard) const;

  gateway_environment& environment_;
  const std::uint64_t host_seed_;
  std::map<stage_shard, shard_state> shards_;
  result_room room_;
  std::map<const piece_group*, group_state_ptr> groups_;
  std::map<stage_number, const piece_group*> numbers_;
  std::map<std::string, std::vector<std::string>> frees_;  ///< By keeper.
  asio::steady_timer free_timer_;
  bool free_planned_ = false;
  stage_number next_number_ = 1;
  std::uint64_t next_logged_call_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
