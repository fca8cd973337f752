#include "slatestall/serve/caller_request.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

#include "slatestall/model/error_kind.h"
#include "slatestall/model/ids.h"
#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

constexpr std::size_t kMaxKeyLength = 256;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;

[[noreturn]] void ThrowInvalid(const std::string& detail) {
  throw request_error(error_kind::kInvalidRequest, detail);
}

std::optional<milliseconds> ReadDeadline(const http_headers& headers) {
  const std::string_view text = FindHeader(headers, "X-Deadline-Ms");
  if (text.empty()) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 1) {
    ThrowInvalid("X-Deadline-Ms is not a positive number of milliseconds");
  }
  return milliseconds(std::min(value, kMaxDeadlineMs));
}

std::optional<std::string> ReadKey(const http_headers& headers) {
  const std::string_view key = FindHeader(headers, "Idempotency-Key");
  if (key.empty()) {
    return std::nullopt;
  }
  if (!IsIdempotencyKey(key)) {
    ThrowInvalid("Idempotency-Key is not 1 to 256 visible ASCII characters");
  }
  return std::string(key);
}

caller_request ReadHeaders(const http_request& request) {
  caller_request read;
  read.key = ReadKey(request.headers);
  read.deadline = ReadDeadline(request.headers);
  read.wants_stream =
      FindHeader(request.headers, "Accept").find("text/event-stream") !=
      std::string_view::npos;
  return read;
}

}  // namespace

caller_request ReadPipelineRequest(const http_request& request) {
  caller_request read = ReadHeaders(request);
  const nlohmann::json body = ParseJson(request.body);
  if (!body.is_object()) {
    ThrowInvalid("the body is not a JSON object");
  }
  const auto input = StringMember(body, "input");
  if (!input || input->empty()) {
    ThrowInvalid("\"input\" is missing, empty or not a string");
  }
  read.data.input = *input;
  read.data.text = *input;
  if (body.contains("max_tokens")) {
    const auto limit = UnsignedMember(body, "max_tokens");
    if (!limit || *limit == 0 ||
        *limit > std::numeric_limits<std::uint32_t>::max()) {
      ThrowInvalid("\"max_tokens\" is not a positive integer");
    }
    read.data.max_tokens = static_cast<std::uint32_t>(*limit);
  }
  return read;
}

caller_request ReadServiceRequest(const http_request& request) {
  caller_request read = ReadHeaders(request);
  read.wants_stream = false;
  std::string content_type(FindHeader(request.headers, "Content-Type"));
  if (content_type.empty()) {
    content_type = "application/octet-stream";
  }
  read.data.raw = raw_body{0, std::move(content_type), request.body};
  return read;
}

bool IsIdempotencyKey(std::string_view key) {
  constexpr char kFirstVisible = '!';
  constexpr char kLastVisible = '~';
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::all_of(key.begin(), key.end(), [](char each) {
           return each >= kFirstVisible && each <= kLastVisible;
         });
}

std::uint64_t BodyHash(std::string_view route, std::string_view body) {
  return StableHash(body, StableHash(route));
}

}  // namespace slatestall
