#include "standins/common/json_http.h"

#include <charconv>
#include <stdexcept>
#include <utility>

namespace slatestall {

nlohmann::json JsonBody(const http_request& request) {
  if (request.body.empty()) {
    return nlohmann::json::object();
  }
  nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    throw std::invalid_argument("the body is not a JSON object");
  }
  return body;
}

void SendJson(http_responder& responder, int status, const nlohmann::json& body,
              http_headers extra) {
  extra.push_back({"Content-Type", "application/json"});
  responder.Send(
      status, extra,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::string_view QueryText(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
  }
  return {};
}

std::uint64_t QueryNumber(std::string_view query, std::string_view name,
                          std::uint64_t fallback) {
  const std::string_view text = QueryText(query, name);
  if (text.data() == nullptr) {
    return fallback;
  }
  std::uint64_t value = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
    throw std::invalid_argument(std::string(name) + " is not a number");
  }
  return value;
}

http_handler AnsweringBadInput(http_handler handler) {
  return [handler = std::move(handler)](const http_request& request,
                                        const http_responder_ptr& responder) {
    try {
      handler(request, responder);
    } catch (const std::exception& problem) {
      SendJson(*responder, 400, {{"error", problem.what()}});
    }
  };
}

}  // namespace slatestall
