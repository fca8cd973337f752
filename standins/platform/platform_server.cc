#include "standins/platform/platform_server.h"

#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "standins/common/json_http.h"

namespace slatestall {
namespace {

constexpr std::string_view kAppendPath = "/log-append";
constexpr std::string_view kReadPath = "/log-read";
constexpr std::size_t kMaxHung = 1024;

http_server_options ServerOptions(const listen_address& listen) {
  http_server_options options;
  options.address = listen.ip;
  options.port = listen.port;
  return options;
}

}  // namespace

platform_server::platform_server(asio::io_context& context,
                                 const platform_options& options)
    : context_(context),
      options_(options),
      log_(context, options.log, faults_),
      hosts_(options.list_lag),
      weights_limit_(options.weights_per_second),
      server_(context, ServerOptions(options.listen),
              AnsweringBadInput([this](const http_request& request,
                                       const http_responder_ptr& responder) {
                Handle(request, responder);
              })) {}

void platform_server::Handle(const http_request& request,
                             const http_responder_ptr& responder) {
  if (request.path == kAppendPath || request.path == kReadPath) {
    HandleLog(request, responder);
  } else if (request.path == "/hosts") {
    HandleHosts(request, responder);
  } else if (request.path.starts_with("/weights/")) {
    HandleWeights(responder);
  } else if (request.path == "/faults") {
    HandleFaults(request, responder);
  } else if (request.path == "/counts") {
    HandleCounts(responder);
  } else {
    SendJson(*responder, 404, {{"error", "no such path"}});
  }
}

void platform_server::HandleLog(const http_request& request,
                                const http_responder_ptr& responder) {
  const bool is_append = request.path == kAppendPath;
  if (request.method != (is_append ? "POST" : "GET")) {
    SendJson(*responder, 404, {{"error", "no such call"}});
    return;
  }
  const std::string stream(QueryText(request.query, "topic"));
  if (stream.empty() || QueryNumber(request.query, "part", 0) != 0) {
    SendJson(*responder, 400, {{"error", "a topic, and partition 0"}});
    return;
  }
  if (is_append ? faults_.appends_down : faults_.reads_down) {
    FailAsDown(responder);
    return;
  }
  const http_handler act = AnsweringBadInput(
      [this, is_append, stream](const http_request& asked,
                                const http_responder_ptr& answer) {
        if (is_append) {
          log_.Append(stream, asked, answer);
        } else {
          log_.Read(stream, asked, answer);
        }
      });
  if (faults_.slow.count() == 0) {
    act(request, responder);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(context_, faults_.slow);
  timer->async_wait([timer, act, request, responder](const std::error_code&) {
    act(request, responder);
  });
}

void platform_server::HandleHosts(const http_request& request,
                                  const http_responder_ptr& responder) {
  const time_point now = std::chrono::steady_clock::now();
  if (request.method == "POST") {
    const nlohmann::json body = JsonBody(request);
    for (const auto& line : body.at("hosts")) {
      hosts_.Change(line, now);
    }
    SendJson(*responder, 200, nlohmann::json::object());
    return;
  }
  if (faults_.list_down) {
    FailAsDown(responder);
    return;
  }
  SendJson(*responder, 200, hosts_.Visible(now));
}

void platform_server::HandleWeights(const http_responder_ptr& responder) {
  if (faults_.weights_down) {
    FailAsDown(responder);
  } else if (!weights_limit_.Take(std::chrono::steady_clock::now())) {
    SendJson(*responder, 429, {{"error", "asked too often"}},
             {{"Retry-After", "1"}});
  } else {
    SendJson(*responder, 200, {{"bytes", options_.weight_bytes}});
  }
}

void platform_server::HandleFaults(const http_request& request,
                                   const http_responder_ptr& responder) {
  if (request.method == "POST") {
    nlohmann::json change = JsonBody(request);
    if (change.contains("list_lag_ms")) {
      hosts_.SetLag(milliseconds(change["list_lag_ms"].get<std::int64_t>()));
      change.erase("list_lag_ms");
    }
    if (change.contains("restore_age_ms")) {
      log_.Restore(milliseconds(change["restore_age_ms"].get<std::int64_t>()));
      change.erase("restore_age_ms");
    }
    ApplyFaultChange(change, faults_);
    log_.FaultsChanged();
    if (faults_.form != outage_form::kHang) {
      hung_.clear();
    }
  }
  SendJson(*responder, 200, ToJson(faults_));
}

void platform_server::HandleCounts(const http_responder_ptr& responder) {
  SendJson(*responder, 200,
           {{"appends", log_.Appends()},
            {"refused_appends", log_.RefusedAppends()}});
}

void platform_server::FailAsDown(const http_responder_ptr& responder) {
  if (faults_.form == outage_form::kClose) {
    responder->Abort();
  } else if (faults_.form == outage_form::kHang && hung_.size() < kMaxHung) {
    hung_.push_back(responder);
  } else {
    SendJson(*responder, 503, {{"error", "out of service"}});
  }
}

}  // namespace slatestall
