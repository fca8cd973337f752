#include "slatestall/node/claim_layout_log.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using nlohmann::json;

constexpr const char* kStream = "claim-layout";
constexpr const char* kPartitions = "partitions";
constexpr const char* kFoundedAt = "founded_at";
constexpr milliseconds kReadAgain{100};  // Until the number is agreed.
constexpr std::chrono::minutes kLookAgain{5};

std::string Encode(const layout_mark& mark) {
  json record = {{kPartitions, mark.partitions}};
  if (mark.founded_at) {
    record[kFoundedAt] = *mark.founded_at;
  }
  return record.dump();
}

std::optional<layout_mark> Decode(const std::string& payload) {
  try {
    const json record = ParseJson(payload);
    layout_mark mark;
    record.at(kPartitions).get_to(mark.partitions);
    if (record.contains(kFoundedAt)) {
      mark.founded_at = record[kFoundedAt].get<std::uint64_t>();
    }
    return mark;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

claim_layout_log::claim_layout_log(log_service log, std::uint32_t partitions,
                                   std::chrono::seconds retention,
                                   now_function now)
    : log_(std::move(log)),
      now_(std::move(now)),
      layout_(partitions, retention),
      events_(now_, 1) {}

void claim_layout_log::Tick() {
  if (reading_ || appending_ || now_() < next_read_) {
    return;
  }
  reading_ = true;
  log_.read(kStream, layout_.ReadFrom(), milliseconds{0},
            [weak = weak_from_this()](const read_result& result) {
              if (const auto self = weak.lock()) {
                self->Take(result);
              }
            });
}

void claim_layout_log::Take(const read_result& result) {
  reading_ = false;
  next_read_ = now_() + kReadAgain;
  // A log whose end lies before what was read is not the log that was read.
  if (!result.ok || result.next < layout_.ReadFrom()) {
    return;
  }
  std::vector<std::pair<std::uint64_t, layout_mark>> marks;
  for (const auto& record : result.records) {
    // What is not understood keeps its place and never counts.
    const layout_mark void_mark{0, record.offset + 1};
    marks.emplace_back(record.offset,
                       Decode(record.payload).value_or(void_mark));
  }
  layout_.Read(result.first, result.next, marks, now_());
  if (layout_.InLog()) {
    next_read_ = now_() + kLookAgain;
  }
  if (const std::string conflict = Conflict(); !conflict.empty()) {
    log_event event;
    event.severity = log_severity::kError;
    event.message = "no callers' keys claimed";
    event.detail = conflict;
    events_.Write(event);
  }
}

void claim_layout_log::Tend() {
  const auto due = layout_.Due(now_());
  if (!due || reading_ || appending_) {
    return;
  }
  appending_ = true;
  layout_.Sent(now_());
  log_.append(kStream, Encode(*due),
              [weak = weak_from_this()](const append_result&) {
                if (const auto self = weak.lock()) {
                  self->appending_ = false;
                  self->next_read_ = self->now_();
                  self->Tick();
                }
              });
}

std::string claim_layout_log::Conflict() const {
  const auto in_log = layout_.InLog();
  if (!in_log || layout_.Agrees()) {
    return {};
  }
  return "this host's setting claim_partitions is " +
         std::to_string(layout_.Own()) + ", but the log's stream " + kStream +
         " says " + std::to_string(*in_log) +
         "; it claims no callers' keys until both are equal";
}

}  // namespace slatestall
