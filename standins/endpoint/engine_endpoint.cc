#include "standins/endpoint/engine_endpoint.h"

#include <limits>
#include <stdexcept>
#include <utility>
#include <vector>

#include "standins/common/json_http.h"
#include "standins/endpoint/answer_text.h"
#include "standins/endpoint/event_stream.h"

namespace slatestall {
namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::uint32_t kMaxTokensPerAnswer = 16384;
constexpr milliseconds kSweepInterval{500};
constexpr const char* kExportedPrefix = "kv:";

prefix_cache_options CacheOptions(const endpoint_options& options) {
  return {options.cached_prefixes, options.event_lag, options.event_loss,
          options.seed};
}

std::uint32_t TokensIn(std::size_t bytes) {
  return static_cast<std::uint32_t>(bytes / kBytesPerToken);
}

}  // namespace

engine_endpoint::engine_endpoint(asio::io_context& context,
                                 const endpoint_spec& spec,
                                 const endpoint_options& options,
                                 std::shared_ptr<ledger_file> file)
    : core_(context, spec, options, std::move(file)),
      cache_(CacheOptions(options)),
      orders_(context, {options.models, options.adapters, "mixed"},
              options.checks_fencing, options.model_load_time),
      batch_(context, {options.slots, options.step_ms, options.step_growth},
             {[this](generation& work) { Admitted(work); },
              [this](const generation_ptr& work) { Progressed(work); },
              [this] { return core_.faults.SlowFactor(); }}),
      load_(context, options.load_lag, [this] { return Load(); }),
      sweep_timer_(context),
      server_(context, ServerOptionsOf(spec),
              AnsweringBadInput([this](const http_request& request,
                                       const http_responder_ptr& responder) {
                Handle(request, responder);
              })) {
  SweepKept();
}

void engine_endpoint::Handle(const http_request& request,
                             const http_responder_ptr& responder) {
  if (AnswerControlCall(core_, request, *responder)) {
    return;
  }
  if (request.path == "/v1/completions") {
    Complete(request, responder);
  } else if (request.path == "/load") {
    AnswerLoad(request, *responder);
  } else if (request.path == "/cache_events") {
    const auto from = QueryNumber(request.query, "from", 0);
    SendJson(*responder, 200,
             cache_.EventsFrom(from, std::chrono::steady_clock::now()));
  } else if (request.path == "/v1/cancel") {
    Cancel(JsonBody(request).at("id"));
    SendJson(*responder, 200, nlohmann::json::object());
  } else if (request.path == "/v1/kv/export") {
    ExportPrefix(JsonBody(request), *responder);
  } else if (request.path == "/v1/kv/import") {
    ImportPrefix(JsonBody(request), *responder);
  } else if (request.path == "/v1/orders") {
    TakeOrder(JsonBody(request), *responder);
  } else {
    SendJson(*responder, 404, {{"error", "no such path"}});
  }
}

void engine_endpoint::Complete(const http_request& request,
                               const http_responder_ptr& responder) {
  const call_identity call = IdentityOf(request);
  const nlohmann::json body = JsonBody(request);
  const fault_mode fault = core_.faults.NextCall();
  if (EndBeforeWork(core_, fault, call, responder)) {
    return;
  }
  if (body.contains("resume")) {
    Resume(call, body, responder, fault);
  } else {
    Begin(call, body, responder, fault);
  }
}

void engine_endpoint::Begin(const call_identity& call,
                            const nlohmann::json& body,
                            const http_responder_ptr& responder,
                            fault_mode fault) {
  const auto max_tokens = body.at("max_tokens").get<std::uint32_t>();
  if (max_tokens == 0 || max_tokens > kMaxTokensPerAnswer) {
    throw std::invalid_argument("max_tokens is out of range");
  }
  if (!orders_.CanRun(body.at("model"), body.value("adapter", ""))) {
    RefuseNotRun(core_, 503, call, *responder);
    return;
  }
  if (batch_.Waiting() >= core_.options.max_waiting) {
    RefuseNotRun(core_, 429, call, *responder,
                 {{"X-Load", LoadHeaderOf(Load())}});
    return;
  }
  auto work = std::make_shared<generation>();
  work->call = call;
  work->prompt = body.at("prompt");
  work->answer_key = AnswerKey(work->prompt);
  work->length = AnswerLength(work->answer_key, max_tokens);
  work->max_tokens = max_tokens;
  work->priority = body.value("priority", 0);
  work->prompt_tokens = TokensIn(work->prompt.size()) + 1;
  kept_[call.attempt] = work;
  Attach(work, call, responder, 0, fault);
  batch_.Submit(work);
}

void engine_endpoint::Resume(const call_identity& call,
                             const nlohmann::json& body,
                             const http_responder_ptr& responder,
                             fault_mode fault) {
  const auto found = kept_.find(body.at("resume").get<std::string>());
  const auto offset = body.value("resume_offset", std::uint32_t{0});
  if (found == kept_.end() || offset > found->second->length) {
    RefuseNotRun(core_, 410, call, *responder);
    return;
  }
  const generation_ptr work = found->second;
  if (work->stream) {
    const auto replaced = work->stream;
    work->stream.reset();
    replaced->Abort();
    batch_.Remove(work);
  }
  Attach(work, call, responder, offset, fault);
  if (work->IsComplete()) {
    Progressed(work);
  } else {
    batch_.Submit(work);
  }
}

void engine_endpoint::Attach(const generation_ptr& work,
                             const call_identity& call,
                             const http_responder_ptr& responder,
                             std::uint32_t offset, fault_mode fault) {
  work->stream =
      std::make_shared<event_stream>(responder, call.attempt, offset, fault,
                                     [this] { return LoadHeaderOf(Load()); });
  work->kept_until = time_point::max();
  responder->OnClosed(
      [this, weak = std::weak_ptr(work), stream = work->stream.get()] {
        if (const auto closed = weak.lock()) {
          Detach(closed, stream);
        }
      });
}

void engine_endpoint::Detach(const generation_ptr& work,
                             const event_stream* stream) {
  if (work->stream.get() != stream) {
    return;
  }
  work->stream.reset();
  batch_.Remove(work);
  if (!work->started) {
    kept_.erase(work->call.attempt);
    return;
  }
  work->kept_until =
      std::chrono::steady_clock::now() + core_.options.stream_retention;
}

void engine_endpoint::Admitted(generation& work) {
  if (work.started) {
    return;
  }
  work.started = true;
  const time_point now = std::chrono::steady_clock::now();
  work.cached_tokens = TokensIn(cache_.Use(work.prompt, now));
  work.prefill_left_ms = (work.prompt_tokens - work.cached_tokens) /
                         core_.options.prefill_tokens_per_ms;
  core_.runs.Started(work.call, FirstMarker(work.prompt));
  if (AllMarkers(work.prompt).size() > 1) {
    core_.runs.Crossed(work.call);
  }
  work.prompt.clear();
}

void engine_endpoint::Progressed(const generation_ptr& work) {
  if (!work->stream) {
    return;
  }
  const auto stream = work->stream;
  if (work->IsComplete() && !work->completion_recorded) {
    work->completion_recorded = true;
    core_.runs.Completed(work->call, work->length);
  }
  if (stream->Advance(*work) != stream_state::kOpen) {
    Detach(work, stream.get());
  }
}

void engine_endpoint::Cancel(const std::string& attempt) {
  for (const auto& [first_attempt, work] : kept_) {
    const bool is_meant = first_attempt == attempt ||
                          (work->stream && work->stream->Attempt() == attempt);
    if (is_meant) {
      const generation_ptr cancelled = work;
      Drop(cancelled);
      return;
    }
  }
}

void engine_endpoint::Drop(const generation_ptr& work) {
  batch_.Remove(work);
  kept_.erase(work->call.attempt);
  if (work->started && !work->IsComplete()) {
    core_.runs.Cancelled(work->call, work->produced);
  }
  if (const auto stream = std::exchange(work->stream, nullptr)) {
    stream->Abort();
  }
}

void engine_endpoint::SweepKept() {
  const time_point now = std::chrono::steady_clock::now();
  std::vector<generation_ptr> expired;
  for (const auto& [attempt, work] : kept_) {
    if (work->kept_until <= now) {
      expired.push_back(work);
    }
  }
  for (const auto& work : expired) {
    Drop(work);
  }
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const std::error_code& error) {
    if (!error) {
      SweepKept();
    }
  });
}

void engine_endpoint::ExportPrefix(const nlohmann::json& body,
                                   http_responder& responder) {
  const std::string prefix = body.at("prefix");
  if (!cache_.Holds(prefix)) {
    SendJson(responder, 404, {{"error", "not cached"}});
    return;
  }
  responder.Send(200, {{"Content-Type", "application/octet-stream"}},
                 kExportedPrefix + prefix);
}

void engine_endpoint::ImportPrefix(const nlohmann::json& body,
                                   http_responder& responder) {
  const std::string prefix = body.at("prefix");
  if (body.at("data") != kExportedPrefix + prefix) {
    throw std::invalid_argument("the data is not of this prefix");
  }
  cache_.Store(prefix, std::chrono::steady_clock::now());
  SendJson(responder, 200, nlohmann::json::object());
}

void engine_endpoint::TakeOrder(const nlohmann::json& body,
                                http_responder& responder) {
  const order_result result = orders_.Apply(body);
  if (result.applied) {
    SendJson(responder, 200, {{"applied", true}});
  } else {
    SendJson(responder, 409, {{"highest", result.highest_fencing}});
  }
}

void engine_endpoint::AnswerLoad(const http_request& request,
                                 http_responder& responder) const {
  constexpr auto kNotAsked = std::numeric_limits<std::uint64_t>::max();
  const auto from = QueryNumber(request.query, "events_from", kNotAsked);
  load_.Answer(request, responder,
               from == kNotAsked
                   ? nlohmann::json(nullptr)
                   : cache_.EventsFrom(from, std::chrono::steady_clock::now()));
}

nlohmann::json engine_endpoint::Load() const {
  const engine_state& state = orders_.State();
  return {{"running", batch_.Running()},
          {"waiting", batch_.Waiting()},
          {"slots", core_.options.slots},
          {"leaving", core_.faults.Leaving()},
          {"models", state.models},
          {"adapters", state.adapters},
          {"role", state.role}};
}

}  // namespace slatestall
