#pragma once

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "slatestall/http/http_server.h"
#include "slatestall/http/sse_parser.h"
#include "slatestall/model/test_loopback.h"

namespace slatestall {

/// @brief One call as a fake endpoint saw it.
struct seen_call {
  std::string path;
  std::string attempt;
  nlohmann::json body;
};

/// @brief An endpoint whose behaviour the test sets by a hook.
class test_endpoint {
 public:
  using behaviour =
      std::function<void(const seen_call&, const http_responder_ptr&)>;

  test_endpoint(asio::io_context& context, behaviour act)
      : act_(std::move(act)),
        server_(context, Options(),
                [this](const http_request& request,
                       const http_responder_ptr& answer) {
                  Serve(request, answer);
                }) {}

  std::string Address() const { return LoopbackAt(server_.Port()); }
  void Act(behaviour act) { act_ = std::move(act); }
  const std::vector<seen_call>& Calls() const { return calls_; }
  std::size_t Connections() const { return server_.OpenConnections(); }
  std::size_t Closed() const { return closed_; }

 private:
  static http_server_options Options() {
    http_server_options options;
    options.address = LoopbackOfThisProcess();
    return options;
  }

  void Serve(const http_request& request, const http_responder_ptr& answer) {
    answer->OnClosed([this] { ++closed_; });
    calls_.push_back({request.path,
                      std::string(FindHeader(request.headers, "X-Attempt-Id")),
                      nlohmann::json::parse(request.body, nullptr, false)});
    const behaviour act = act_;
    act(calls_.back(), answer);
  }

  behaviour act_;
  std::vector<seen_call> calls_;
  std::size_t closed_ = 0;
  http_server server_;
};

inline void AnswerJson(const seen_call& call, http_responder& answer,
                       nlohmann::json body) {
  body["id"] = call.attempt;
  answer.Send(200, {{"X-Attempt-Id", call.attempt}}, body.dump());
}

inline test_endpoint::behaviour Encoder() {
  return [](const seen_call& call, const http_responder_ptr& answer) {
    AnswerJson(call, *answer,
               {{"embedding", {0.5, 1.0}},
                {"usage", {{"prompt_tokens", 3}, {"engine_ms", 1}}}});
  };
}

inline test_endpoint::behaviour Documents() {
  return [](const seen_call& call, const http_responder_ptr& answer) {
    AnswerJson(call, *answer,
               {{"documents", {{{"id", "d1"}, {"text", "shelf"}}}}});
  };
}

inline test_endpoint::behaviour Refuse(int status,
                                       const http_headers& headers) {
  return [status, headers](const seen_call&, const http_responder_ptr& answer) {
    answer->Send(status, headers, "");
  };
}

inline test_endpoint::behaviour Hang(std::vector<http_responder_ptr>& held) {
  return [&held](const seen_call&, const http_responder_ptr& answer) {
    held.push_back(answer);
  };
}

inline std::string TokenText(std::uint64_t token) {
  return " w" + std::to_string(token);
}

inline std::string GeneratedText(std::uint64_t tokens) {
  std::string text;
  for (std::uint64_t i = 0; i < tokens; ++i) {
    text += TokenText(i);
  }
  return text;
}

inline void WriteText(http_responder& answer, const std::string& id,
                      std::uint64_t offset, const std::string& text) {
  const nlohmann::json event = {
      {"id", id}, {"offset", offset}, {"count", 1}, {"text", text}};
  answer.Write(SseEvent(event.dump()));
}

inline void WriteToken(http_responder& answer, const std::string& id,
                       std::uint64_t token) {
  WriteText(answer, id, token, TokenText(token));
}

inline void WriteEnd(http_responder& answer, const std::string& id,
                     std::uint64_t tokens) {
  const nlohmann::json event = {{"id", id},
                                {"offset", tokens},
                                {"finish_reason", "stop"},
                                {"usage",
                                 {{"prompt_tokens", 9},
                                  {"cached_tokens", 4},
                                  {"generated_tokens", tokens},
                                  {"engine_ms", 20}}}};
  answer.Write(SseEvent(event.dump()));
  answer.Write(SseEvent("[DONE]"));
}

/// @brief Streams tokens [first, end) of the deterministic text.
inline void StreamTokens(const seen_call& call, http_responder& answer,
                         std::uint64_t first, std::uint64_t end) {
  answer.StartStream(200, {{"Content-Type", "text/event-stream"},
                           {"X-Attempt-Id", call.attempt}});
  for (std::uint64_t i = first; i < end; ++i) {
    WriteToken(answer, call.attempt, i);
  }
}

/// @brief An engine that generates `tokens` and resumes what it began.
inline test_endpoint::behaviour Engine(std::uint64_t tokens) {
  return [tokens](const seen_call& call, const http_responder_ptr& answer) {
    StreamTokens(call, *answer, call.body.value("resume_offset", 0U), tokens);
    WriteEnd(*answer, call.attempt, tokens);
    answer->Finish();
  };
}

/// @brief Breaks the connection once what was written has left.
inline void CutLater(asio::io_context& context,
                     const http_responder_ptr& answer) {
  auto timer = std::make_shared<asio::steady_timer>(context, milliseconds(10));
  timer->async_wait([timer, answer](asio::error_code) { answer->Abort(); });
}

/// @brief An engine whose first stream breaks after `cut` tokens.
inline test_endpoint::behaviour CutOnce(asio::io_context& context,
                                        std::uint64_t cut,
                                        std::uint64_t tokens) {
  return [&context, cut, tokens](const seen_call& call,
                                 const http_responder_ptr& answer) {
    if (call.body.contains("resume")) {
      return Engine(tokens)(call, answer);
    }
    StreamTokens(call, *answer, 0, cut);
    CutLater(context, answer);
  };
}

}  // namespace slatestall
