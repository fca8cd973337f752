// What this host does for others as the home of a shard.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "slatestall/gateway/stage_router.h"
#include "slatestall/gateway/stage_wire.h"
#include "slatestall/model/ids.h"
#include "slatestall/peer/frame_codec.h"

namespace slatestall {

void stage_router::ServePeers() {
  peers_.Handle(
      wire::message::submit_pieces,
      [this](const wire::messageUnion& request, const std::string& from,
             const std::function<void(wire::messageUnion)>& reply) {
        TakeSubmit(*request.Assubmit_pieces(), from, reply);
      });
  peers_.Handle(wire::message::book_stage,
                [this](const wire::messageUnion& request, const std::string&,
                       const std::function<void(wire::messageUnion)>& reply) {
                  TakeBooking(*request.Asbook_stage(), reply);
                });
  peers_.Handle(
      wire::message::home_status_request,
      [this](const wire::messageUnion& request, const std::string& from,
             const std::function<void(wire::messageUnion)>& reply) {
        const auto& asked = *request.Ashome_status_request();
        wire::home_status_replyT status;
        if (asked.asks_pool) {
          AddTo(status,
                pool_.Answer(from, FromWire(asked), environment_.now()));
        }
        status.draining = homes_.IsDraining();
        status.lacks_store = tree_.LacksStore(environment_.now());
        for (const auto& [shard, pieces] : home_.Waiting()) {
          auto load = std::make_unique<wire::stage_loadT>();
          load->service = shard.service;
          load->domain = shard.domain;
          load->pieces = static_cast<std::uint32_t>(pieces);
          status.loads.push_back(std::move(load));
        }
        for (const auto& run : environment_.roster.ReportedLeaving()) {
          status.leaving.push_back(ToWire(run));
        }
        reply(MakeMessage(std::move(status)));
      });
  peers_.HandleNotice(
      wire::message::cancel_pieces,
      [this](const wire::messageUnion& notice, const std::string& from) {
        const auto& cancel = *notice.Ascancel_pieces();
        const auto found = served_.find({from, cancel.request, cancel.stage});
        if (found != served_.end()) {
          home_.Cancel(found->second);
          served_.erase(found);
        }
      });
  peers_.HandleNotice(
      wire::message::release_booking,
      [this](const wire::messageUnion& notice, const std::string&) {
        const auto& release = *notice.Asrelease_booking();
        stage_need need;
        need.shard = {release.service, release.domain};
        need.booking.request = release.request;
        need.booking.stage = release.stage;
        home_.Release(need);
      });
  peers_.HandleNotice(
      wire::message::free_results,
      [this](const wire::messageUnion& notice, const std::string&) {
        home_.Free(notice.Asfree_results()->handles);
      });
}

void stage_router::TakeBooking(
    const wire::book_stageT& booking,
    const std::function<void(wire::messageUnion)>& reply) {
  const auto answer = home_.Book(FromWire(booking, environment_.now()));
  wire::book_stage_replyT told;
  switch (answer.verdict) {
    case booking_verdict::kInTime:
      told.verdict = wire::book_verdict::in_time;
      break;
    case booking_verdict::kLate:
      told.verdict = wire::book_verdict::late;
      break;
    case booking_verdict::kRefused:
      told.verdict = wire::book_verdict::refused;
      break;
  }
  told.room_after_ms = static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, WholeMilliseconds(answer.room_after).count()));
  reply(MakeMessage(told));
}

void stage_router::TakeSubmit(
    const wire::submit_piecesT& submit, const std::string& from,
    const std::function<void(wire::messageUnion)>& reply) {
  if (submit.pieces == 0) {
    wire::submit_pieces_replyT answer;
    answer.end = wire::pieces_end::failed;
    reply(MakeMessage(std::move(answer)));
    return;
  }
  const std::tuple key{from, submit.request, unsigned{submit.stage}};
  const auto number = home_.Submit(
      {submit.service, submit.domain}, FromWire(submit, environment_.now()),
      [this, key, reply](stage_outcome outcome) {
        served_.erase(key);
        wire::submit_pieces_replyT answer;
        answer.end = ToWire(outcome.end);
        answer.handles = std::move(outcome.handles);
        reply(MakeMessage(std::move(answer)));
      });
  served_[key] = number;
}

}  // namespace slatestall
