#pragma once

#include <memory>

#include "slatestall/dispatch/endpoint_record.h"
#include "slatestall/dispatch/piece_queue.h"
#include "slatestall/dispatch/repeat_reserve.h"
#include "slatestall/gateway/stage_calls.h"
#include "slatestall/model/time.h"
#include "slatestall/peer/peer_node.h"

namespace slatestall {

// Stage work as hosts tell each other of it. Times go over the wire as
// milliseconds from now, since hosts share no clock.

wire::submit_piecesT ToWire(const stage_shard& shard, const piece_group& group,
                            time_point now);
piece_group FromWire(const wire::submit_piecesT& submit, time_point now);

wire::book_stageT ToWire(const stage_need& need, time_point now);
stage_need FromWire(const wire::book_stageT& book, time_point now);

wire::pieces_end ToWire(stage_end end);
stage_end FromWire(wire::pieces_end end);

wire::home_status_requestT ToWire(const reserve_question& question);
reserve_question FromWire(const wire::home_status_requestT& request);

std::unique_ptr<wire::leaving_endpointT> ToWire(
    const endpoint_incarnation& run);

/// @brief Adds the pool's answer to what is told of a home.
void AddTo(wire::home_status_replyT& reply, const reserve_answer& answer);
reserve_answer ReserveIn(const wire::home_status_replyT& reply);

/// @brief A home that cannot be asked is taken to have room.
booking_answer AnswerIn(const peer_reply& reply);

}  // namespace slatestall
