#include "slatestall/admin_client.h"

#include <asio/io_context.hpp>
#include <cstdlib>

#include "slatestall/http/http_client.h"

namespace slatestall {
namespace {

constexpr milliseconds kConnectTimeout{1000};

http_call HttpCallOf(const admin_call& call) {
  http_call http;
  http.method = call.method;
  http.url = call.host + call.path;
  http.body = call.body;
  http.connect_timeout = kConnectTimeout;
  http.timeout = call.timeout;
  // By the environment, so that it stands in no list of processes.
  const char* key = std::getenv("SLATE_OPERATOR_KEY");
  if (key != nullptr) {
    http.headers.push_back({"Authorization", std::string("Bearer ") + key});
  }
  if (!call.body.empty()) {
    http.headers.push_back({"Content-Type", "application/json"});
  }
  // Publishing twice is harmless to the log (the second is refused for its
  // base), but the operator would be told "refused" of a file that is in force.
  http.at_most_once = call.method != "GET";
  return http;
}

admin_answer AnswerOf(const http_result& result) {
  admin_answer answer;
  answer.may_have_been_sent = result.may_have_been_sent;
  answer.status = result.status;
  if (result.end != call_end::kComplete) {
    answer.detail = result.detail.empty() ? "no answer" : result.detail;
    return answer;
  }
  answer.body = nlohmann::json::parse(result.body, nullptr, false);
  answer.answered = answer.body.is_object();
  if (!answer.answered) {
    answer.detail = "the answer is no JSON object (status " +
                    std::to_string(result.status) + ")";
  }
  return answer;
}

}  // namespace

std::vector<admin_answer> SendOverHttp(const std::vector<admin_call>& calls) {
  std::vector<admin_answer> answers(calls.size());
  asio::io_context context;
  http_client client(context);
  std::size_t open = calls.size();
  for (std::size_t i = 0; i < calls.size(); ++i) {
    client.Start(HttpCallOf(calls[i]),
                 [&answers, &open, i](const http_result& result) {
                   answers[i] = AnswerOf(result);
                   --open;
                 });
  }
  while (open > 0 && context.run_one() > 0) {
  }
  return answers;
}

admin_answer SendOne(const send_admin_calls& send, const admin_call& call) {
  return send({call}).front();
}

std::string DetailOf(const admin_answer& answer) {
  if (!answer.answered) {
    return answer.detail;
  }
  const auto found = answer.body.find("detail");
  return answer.body.is_object() && found != answer.body.end() &&
                 found->is_string()
             ? found->get<std::string>()
             : "status " + std::to_string(answer.status);
}

}  // namespace slatestall
