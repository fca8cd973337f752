#include "slatestall/gateway/request_spans.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace slatestall {

void request_spans::NoteBegun(std::size_t stage, time_point now) {
  stages_[stage] = {now, {}};
}

void request_spans::NoteMade(std::size_t stage, time_point now) {
  stages_[stage].made = now;
}

std::optional<time_point> request_spans::FirstEvent() const {
  return first_event_ == time_point{} ? std::nullopt
                                      : std::optional(first_event_);
}

nlohmann::json request_spans::SinceArrival(time_point at) const {
  return at == time_point{}
             ? nlohmann::json()
             : nlohmann::json(WholeMilliseconds(at - arrived_).count());
}

nlohmann::json request_spans::Fields(const std::vector<stage_rule>& stages,
                                     time_point objective) const {
  nlohmann::json begun = nlohmann::json::array();
  for (const auto& [stage, span] : stages_) {
    begun.push_back({{"service", stages[stage].service},
                     {"begun_ms", SinceArrival(span.begun)},
                     {"made_ms", SinceArrival(span.made)}});
  }
  return {{"objective_ms", SinceArrival(objective)},
          {"stages", std::move(begun)},
          {"sent_ms", SinceArrival(sent_)},
          {"first_event_ms", SinceArrival(first_event_)}};
}

}  // namespace slatestall
