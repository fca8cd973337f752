#include "slatestall/node/config_record_codec.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>

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

config_record FromJson(const json& body) {
  config_record record;
  record.publication = body.at("publication").get<std::string>();
  record.source = body.at("source").get<std::string>();
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
    decoded = FromJson(json::parse(record.payload));
  } catch (const std::exception&) {
    decoded = {};
    decoded.malformed = true;
  }
  decoded.offset = record.offset;
  return decoded;
}

std::string EncodeConfigRecord(const config_record& record) {
  json body{{"publication", record.publication},
            {"source", record.source},
            {"at", record.published_at}};
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
