#include "slatestall/node/lease_record_codec.h"

#include <nlohmann/json.hpp>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using nlohmann::json;

}  // namespace

std::optional<lease_record> DecodeLeaseRecord(const log_record& record) {
  try {
    const auto body = ParseJson(record.payload);
    const auto action =
        ValueIn(kLeaseActionNames, body.at("action").get<std::string>());
    if (!action || !body.at("read_to").is_number_unsigned()) {
      return std::nullopt;
    }
    lease_record decoded;
    decoded.offset = record.offset;
    decoded.lease = body.at("lease").get<std::string>();
    decoded.action = *action;
    decoded.host.name = body.at("host").get<std::string>();
    decoded.host.incarnation = body.at("incarnation").get<std::uint64_t>();
    decoded.id = body.at("id").get<std::string>();
    decoded.read_to = body.at("read_to").get<std::uint64_t>();
    return decoded;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeLeaseRecord(const lease_record& record) {
  return json{{"lease", record.lease},
              {"action", NameIn(kLeaseActionNames, record.action)},
              {"host", record.host.name},
              {"incarnation", record.host.incarnation},
              {"id", record.id},
              {"read_to", record.read_to}}
      .dump();
}

}  // namespace slatestall
