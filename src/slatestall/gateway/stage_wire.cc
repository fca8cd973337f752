#include "slatestall/gateway/stage_wire.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <memory>
#include <utility>

namespace slatestall {
namespace {

using wire_counts = std::vector<std::unique_ptr<wire::repeat_countT>>;

wire_counts CountsOf(const std::map<std::string, std::size_t>& repeats) {
  wire_counts counts;
  for (const auto& [service, number] : repeats) {
    auto count = std::make_unique<wire::repeat_countT>();
    count->service = service;
    count->repeats = static_cast<std::uint32_t>(number);
    counts.push_back(std::move(count));
  }
  return counts;
}

std::map<std::string, std::size_t> CountsIn(const wire_counts& counts) {
  std::map<std::string, std::size_t> repeats;
  for (const auto& count : counts) {
    repeats[count->service] = count->repeats;
  }
  return repeats;
}

/// Ranks are configured and may be any number; wrapped around, the least urgent
/// would arrive as the most urgent.
std::int16_t RankOnWire(int rank) {
  return static_cast<std::int16_t>(
      std::clamp<int>(rank, std::numeric_limits<std::int16_t>::min(),
                      std::numeric_limits<std::int16_t>::max()));
}

}  // namespace

wire::submit_piecesT ToWire(const stage_shard& shard, const piece_group& group,
                            time_point now) {
  wire::submit_piecesT submit;
  submit.service = shard.service;
  submit.domain = shard.domain;
  submit.request = group.request;
  submit.stage = static_cast<std::uint16_t>(group.stage);
  submit.pieces = static_cast<std::uint16_t>(group.pieces);
  submit.key = group.key;
  submit.inputs = group.inputs;
  submit.rank = RankOnWire(group.rank);
  submit.useful_ms = static_cast<std::int32_t>(
      WholeMilliseconds(group.useful_by - now).count());
  submit.worthless_ms = static_cast<std::int32_t>(
      WholeMilliseconds(group.worthless_after - now).count());
  submit.near = group.near;
  submit.result_bytes = group.result_bytes;
  submit.content = group.content;
  submit.workspace = group.workspace;
  submit.kind = group.kind;
  return submit;
}

wire::book_stageT ToWire(const stage_need& need, time_point now) {
  const auto& booking = need.booking;
  const auto until = [now](time_point at) {
    return static_cast<std::int32_t>(WholeMilliseconds(at - now).count());
  };
  wire::book_stageT book;
  book.service = need.shard.service;
  book.domain = need.shard.domain;
  book.request = booking.request;
  book.stage = static_cast<std::uint16_t>(booking.stage);
  book.pieces = static_cast<std::uint16_t>(booking.pieces);
  book.rank = RankOnWire(booking.rank);
  book.due_ms = until(booking.due);
  book.useful_ms = until(booking.useful_by);
  book.worthless_ms = until(booking.worthless_after);
  book.content = booking.content;
  book.workspace = booking.workspace;
  book.kind = booking.kind;
  return book;
}

stage_need FromWire(const wire::book_stageT& book, time_point now) {
  stage_need need;
  need.shard = {book.service, book.domain};
  need.booking.request = book.request;
  need.booking.stage = book.stage;
  need.booking.pieces = book.pieces;
  need.booking.rank = book.rank;
  need.booking.due = now + milliseconds(book.due_ms);
  need.booking.useful_by = now + milliseconds(book.useful_ms);
  need.booking.worthless_after = now + milliseconds(book.worthless_ms);
  need.booking.content = book.content;
  need.booking.workspace = book.workspace;
  need.booking.kind = book.kind;
  return need;
}

booking_answer AnswerIn(const peer_reply& reply) {
  const auto* told = reply.end == peer_call_end::kReplied
                         ? reply.body.Asbook_stage_reply()
                         : nullptr;
  booking_answer answer;
  if (told != nullptr && told->verdict == wire::book_verdict::late) {
    answer.verdict = booking_verdict::kLate;
  }
  if (told != nullptr && told->verdict == wire::book_verdict::refused) {
    answer.verdict = booking_verdict::kRefused;
    answer.room_after = milliseconds(told->room_after_ms);
  }
  return answer;
}

piece_group FromWire(const wire::submit_piecesT& submit, time_point now) {
  piece_group group;
  group.request = submit.request;
  group.stage = submit.stage;
  group.pieces = submit.pieces;
  group.key = submit.key;
  group.inputs = submit.inputs;
  group.rank = submit.rank;
  group.useful_by = now + milliseconds(submit.useful_ms);
  group.worthless_after = now + milliseconds(submit.worthless_ms);
  group.near = submit.near;
  group.result_bytes = submit.result_bytes;
  group.content = submit.content;
  group.workspace = submit.workspace;
  group.kind = submit.kind;
  return group;
}

wire::pieces_end ToWire(stage_end end) {
  switch (end) {
    case stage_end::kMade:
      return wire::pieces_end::made;
    case stage_end::kTooLate:
      return wire::pieces_end::too_late;
    case stage_end::kInputsGone:
      return wire::pieces_end::inputs_gone;
    case stage_end::kDisplaced:
      return wire::pieces_end::displaced;
    case stage_end::kFailed:
      break;
  }
  return wire::pieces_end::failed;
}

stage_end FromWire(wire::pieces_end end) {
  switch (end) {
    case wire::pieces_end::made:
      return stage_end::kMade;
    case wire::pieces_end::too_late:
      return stage_end::kTooLate;
    case wire::pieces_end::inputs_gone:
      return stage_end::kInputsGone;
    case wire::pieces_end::displaced:
      return stage_end::kDisplaced;
    case wire::pieces_end::failed:
      break;
  }
  return stage_end::kFailed;
}

wire::home_status_requestT ToWire(const reserve_question& question) {
  wire::home_status_requestT request;
  request.asks_pool = true;
  if (question.loan) {
    request.loan = std::make_unique<wire::repeat_loanT>();
    request.loan->life = question.loan->stamp.life;
    request.loan->at_ms = question.loan->stamp.at_ms;
    request.loan->repeats = question.loan->repeats;
  }
  request.wanted = CountsOf(question.wanted);
  return request;
}

reserve_question FromWire(const wire::home_status_requestT& request) {
  reserve_question question;
  if (request.loan) {
    question.loan = reserve_loan{{request.loan->life, request.loan->at_ms},
                                 request.loan->repeats};
  }
  question.wanted = CountsIn(request.wanted);
  return question;
}

std::unique_ptr<wire::leaving_endpointT> ToWire(
    const endpoint_incarnation& run) {
  auto endpoint = std::make_unique<wire::leaving_endpointT>();
  endpoint->id = run.id;
  endpoint->started_ms = run.started_ms;
  return endpoint;
}

void AddTo(wire::home_status_replyT& reply, const reserve_answer& answer) {
  reply.pool_life = answer.stamp.life;
  reply.pool_at_ms = answer.stamp.at_ms;
  reply.granted = CountsOf(answer.granted);
}

reserve_answer ReserveIn(const wire::home_status_replyT& reply) {
  return {{reply.pool_life, reply.pool_at_ms}, CountsIn(reply.granted)};
}

}  // namespace slatestall
