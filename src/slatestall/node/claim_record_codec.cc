#include "slatestall/node/claim_record_codec.h"

#include <array>
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using json = nlohmann::json;

// Short names: a claim is some 200 bytes, and the log keeps millions.
constexpr const char* kWrittenAt = "a";
constexpr const char* kClaims = "c";
constexpr const char* kEnds = "e";
constexpr const char* kWorkspace = "w";
constexpr const char* kKey = "k";
constexpr const char* kBodyHash = "b";
constexpr const char* kRequest = "r";
constexpr const char* kHost = "h";
constexpr const char* kIncarnation = "i";
constexpr const char* kReleased = "x";
constexpr const char* kStatus = "s";
constexpr const char* kContentType = "t";
constexpr const char* kBody = "o";
constexpr const char* kHexBody = "q";

constexpr int kHexadecimal = 16;

bool IsText(const std::string& bytes) {
  try {
    (void)json(bytes).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

std::string ToHex(const std::string& bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value / kHexadecimal];
    text += kDigits[value % kHexadecimal];
  }
  return text;
}

std::string FromHex(const std::string& text) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < text.size(); at += 2) {
    unsigned value = 0;
    std::from_chars(text.data() + at, text.data() + at + 2, value,
                    kHexadecimal);
    bytes += static_cast<char>(value);
  }
  return bytes;
}

json ToJson(const claim_attempt& attempt) {
  return {{kWorkspace, attempt.key.workspace},
          {kKey, attempt.key.key},
          {kBodyHash, attempt.body_hash},
          {kRequest, attempt.request},
          {kHost, attempt.holder.name},
          {kIncarnation, attempt.holder.incarnation}};
}

json ToJson(const claim_ending& ending) {
  json line = {{kWorkspace, ending.key.workspace},
               {kKey, ending.key.key},
               {kRequest, ending.request}};
  if (ending.released) {
    line[kReleased] = true;
    return line;
  }
  line[kBodyHash] = ending.body_hash;
  if (ending.outcome == nullptr) {
    return line;
  }
  const claim_outcome& outcome = *ending.outcome;
  line[kStatus] = outcome.status;
  line[kContentType] = outcome.content_type;
  if (IsText(outcome.body)) {
    line[kBody] = outcome.body;
  } else {
    line[kHexBody] = ToHex(outcome.body);
  }
  return line;
}

claim_attempt AttemptFrom(const json& line) {
  claim_attempt attempt;
  line.at(kWorkspace).get_to(attempt.key.workspace);
  line.at(kKey).get_to(attempt.key.key);
  line.at(kBodyHash).get_to(attempt.body_hash);
  line.at(kRequest).get_to(attempt.request);
  line.at(kHost).get_to(attempt.holder.name);
  line.at(kIncarnation).get_to(attempt.holder.incarnation);
  return attempt;
}

claim_outcome_ptr OutcomeFrom(const json& line) {
  if (!line.contains(kStatus)) {
    return nullptr;
  }
  auto outcome = std::make_shared<claim_outcome>();
  line.at(kStatus).get_to(outcome->status);
  line.at(kContentType).get_to(outcome->content_type);
  if (line.contains(kHexBody)) {
    outcome->body = FromHex(line.at(kHexBody).get<std::string>());
  } else {
    line.at(kBody).get_to(outcome->body);
  }
  return outcome;
}

claim_ending EndingFrom(const json& line) {
  claim_ending ending;
  line.at(kWorkspace).get_to(ending.key.workspace);
  line.at(kKey).get_to(ending.key.key);
  line.at(kRequest).get_to(ending.request);
  ending.released = line.value(kReleased, false);
  ending.body_hash = line.value(kBodyHash, std::uint64_t{0});
  ending.outcome = OutcomeFrom(line);
  return ending;
}

}  // namespace

std::string EncodeClaims(const claim_batch& batch) {
  json ends = json::array();
  for (const auto& ending : batch.ends) {
    ends.push_back(ToJson(ending));
  }
  json claims = json::array();
  for (const auto& attempt : batch.claims) {
    claims.push_back(ToJson(attempt));
  }
  return json{{kWrittenAt, batch.written_at},
              {kEnds, std::move(ends)},
              {kClaims, std::move(claims)}}
      .dump();
}

std::optional<claim_batch> DecodeClaims(std::string_view payload) {
  try {
    const json record = ParseJson(payload);
    claim_batch batch;
    batch.written_at = record.value(kWrittenAt, std::int64_t{0});
    for (const auto& line : record.at(kEnds)) {
      batch.ends.push_back(EndingFrom(line));
    }
    for (const auto& line : record.at(kClaims)) {
      batch.claims.push_back(AttemptFrom(line));
    }
    return batch;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace slatestall
