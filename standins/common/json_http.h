#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "slatestall/http/http_server.h"

namespace slatestall {

/// @brief The body as a JSON object; an empty body is an empty object.
/// @throws std::invalid_argument where it is not one.
nlohmann::json JsonBody(const http_request& request);

void SendJson(http_responder& responder, int status, const nlohmann::json& body,
              http_headers extra = {});

/// @brief A number out of "a=1&b=2", or `fallback` where it is missing.
/// @throws std::invalid_argument where it is no number.
std::uint64_t QueryNumber(std::string_view query, std::string_view name,
                          std::uint64_t fallback);

/// @brief A value out of "a=x&b=y"; empty where it is missing.
std::string_view QueryText(std::string_view query, std::string_view name);

/// @brief Answers 400 where `handler` throws.
http_handler AnsweringBadInput(http_handler handler);

}  // namespace slatestall
