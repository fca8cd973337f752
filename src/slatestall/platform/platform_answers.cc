#include "slatestall/platform/platform_answers.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace slatestall {
namespace {

using nlohmann::json;

constexpr milliseconds kDefaultRetryAfter{1000};

bool IsWhole(const http_result& result, int status) {
  return result.end == call_end::kComplete && result.status == status;
}

std::string DetailOf(const http_result& result) {
  if (result.end == call_end::kComplete) {
    return "status " + std::to_string(result.status);
  }
  return result.detail.empty() ? "no answer" : result.detail;
}

bool IsDefiniteRefusal(const http_result& result) {
  if (result.end == call_end::kComplete) {
    return result.status == 429 || result.status == 413;
  }
  return !result.may_have_been_sent;
}

listed_host ListedHostOf(const json& line) {
  listed_host host;
  host.service = line.at("service").get<std::string>();
  host.name = line.at("name").get<std::string>();
  host.where.address = line.at("address").get<std::string>();
  host.where.failure_domain = line.value("failure_domain", "");
  host.leaving = line.value("state", "live") != "live";
  return host;
}

milliseconds RetryAfterOf(const http_result& result) {
  const auto text = FindHeader(result.headers, "Retry-After");
  int seconds = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (parsed.ec != std::errc{} || seconds < 0) {
    return kDefaultRetryAfter;
  }
  return std::chrono::seconds{seconds};
}

}  // namespace

append_result AppendResultOf(const http_result& result) {
  if (IsWhole(result, 200)) {
    // A 200 without a readable offset may stand for a record that is in the
    // log: it is settled by reading back, like a lost answer.
    const auto answer = json::parse(result.body, nullptr, false);
    if (answer.is_object() && answer.contains("offset") &&
        answer["offset"].is_number_unsigned()) {
      return {append_end::kAppended, answer["offset"].get<log_offset>(), {}};
    }
    return {append_end::kUnknown, 0, "answer without an offset"};
  }
  if (IsDefiniteRefusal(result)) {
    return {append_end::kRefused, 0, DetailOf(result)};
  }
  return {append_end::kUnknown, 0, DetailOf(result)};
}

read_result ReadResultOf(const http_result& result) {
  read_result read;
  if (!IsWhole(result, 200)) {
    read.detail = DetailOf(result);
    return read;
  }
  try {
    const auto answer = json::parse(result.body);
    read.first = answer.at("first").get<log_offset>();
    read.next = answer.at("next").get<log_offset>();
    for (const auto& record : answer.at("records")) {
      read.records.push_back({record.at("offset").get<log_offset>(),
                              record.at("payload").get<std::string>()});
    }
    read.ok = true;
  } catch (const json::exception& error) {
    read = {};
    read.detail = error.what();
  }
  return read;
}

host_list_result HostListOf(const http_result& result) {
  host_list_result list;
  if (!IsWhole(result, 200)) {
    list.detail = DetailOf(result);
    return list;
  }
  try {
    const auto answer = json::parse(result.body);
    for (const auto& line : answer.at("hosts")) {
      list.hosts.push_back(ListedHostOf(line));
    }
    list.ok = true;
  } catch (const json::exception& error) {
    list = {};
    list.detail = error.what();
  }
  return list;
}

weight_result WeightResultOf(const http_result& result) {
  weight_result weights;
  if (result.end == call_end::kComplete && result.status == 429) {
    weights.retry_after = RetryAfterOf(result);
    weights.detail = "asked too often";
    return weights;
  }
  const auto answer = json::parse(result.body, nullptr, false);
  weights.ok = IsWhole(result, 200) && answer.is_object();
  if (!weights.ok) {
    weights.detail = DetailOf(result);
    return weights;
  }
  weights.bytes = answer.value("bytes", std::uint64_t{0});
  return weights;
}

}  // namespace slatestall
