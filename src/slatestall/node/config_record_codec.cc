#include "slatestall/node/config_record_codec.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "slatestall/node/text_packing.h"
#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using nlohmann::json;

/// A negative number or a fraction would wrap or be cut silently, and so
/// name a revision that nobody meant.
std::uint64_t Whole(const json& body, const char* name) {
  const json& value = body.at(name);
  if (!value.is_number_unsigned()) {
    throw std::invalid_argument(name);
  }
  return value.get<std::uint64_t>();
}

std::string SourceOf(const json& body) {
  if (!body.contains("packed")) {
    return body.at("source").get<std::string>();
  }
  auto source = UnpackText(body.at("packed").get_ref<const std::string&>());
  if (!source || body.contains("source")) {
    throw std::invalid_argument("packed");
  }
  return std::move(*source);
}

config_record FromJson(const json& body) {
  config_record record;
  record.publication = body.at("publication").get<std::string>();
  record.source = SourceOf(body);
  record.published_at = body.value("at", std::int64_t{0});
  if (body.contains("republish")) {
    record.republication =
        head_claim{Whole(body, "republish"), Whole(body, "read_to")};
  } else {
    record.base = Whole(body, "base");
  }
  return record;
}

}  // namespace

config_record DecodeConfigRecord(const log_record& record) {
  config_record decoded;
  try {
    decoded = FromJson(ParseJsonOrThrow(record.payload));
  } catch (const std::exception&) {
    decoded = {};
    decoded.malformed = true;
  }
  decoded.offset = record.offset;
  return decoded;
}

std::string EncodeConfigRecord(const config_record& record) {
  json body{{"publication", record.publication}, {"at", record.published_at}};
  // Each host reads each record: at 2,400 changes a day a file of 92 KB as it
  // is would be half of what a host may spend on control.
  std::string packed = PackText(record.source);
  if (packed.empty()) {
    body["source"] = record.source;
  } else {
    body["packed"] = std::move(packed);
  }
  if (record.republication) {
    body["republish"] = record.republication->revision;
    body["read_to"] = record.republication->read_to;
  } else {
    body["base"] = record.base;
  }
  return body.dump();
}

config_page DecodeConfigPage(const read_result& read) {
  config_page page{read.first, read.next, {}};
  page.records.reserve(read.records.size());
  for (const auto& record : read.records) {
    page.records.push_back(DecodeConfigRecord(record));
  }
  return page;
}

}  // namespace slatestall
