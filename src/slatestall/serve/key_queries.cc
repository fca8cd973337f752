#include "slatestall/serve/key_queries.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

constexpr milliseconds kLookupTime{2000};

constexpr name_table<key_state, 4> kKeyStateNames{{
    {key_state::kNone, "none"},
    {key_state::kRunning, "running"},
    {key_state::kEnded, "ended"},
    {key_state::kUnknown, "unknown"},
}};

std::string LookupAsJson(const std::string& key, const key_lookup& lookup) {
  nlohmann::json body = {{"key", key},
                         {"state", NameIn(kKeyStateNames, lookup.state)},
                         {"detail", lookup.detail}};
  if (lookup.state == key_state::kEnded) {
    body["status"] = lookup.outcome.status;
    body["content_type"] = lookup.outcome.content_type;
    body["body"] = lookup.outcome.body;
  }
  return DumpJson(body);
}

}  // namespace

key_queries::key_queries(const lane_environment& environment)
    : environment_(environment), alive_(std::make_shared<key_queries*>(this)) {}

void key_queries::Ask(const std::string& workspace, const std::string& key,
                      http_responder_ptr responder) {
  const std::uint64_t query = next_++;
  open_.emplace(query, std::move(responder));
  environment_.guard->lookup(
      workspace, key, environment_.now() + kLookupTime,
      [alive = std::weak_ptr(alive_), query, key,
       executor = environment_.context.get_executor()](key_lookup lookup) {
        asio::post(executor, [alive, query, key, lookup = std::move(lookup)] {
          if (const auto self = alive.lock()) {
            (*self)->Answer(query, key, lookup);
          }
        });
      });
}

void key_queries::Answer(std::uint64_t query, const std::string& key,
                         const key_lookup& lookup) {
  auto found = open_.extract(query);
  if (found.empty()) {
    return;
  }
  found.mapped()->Send(
      200,
      {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}},
      LookupAsJson(key, lookup));
}

}  // namespace slatestall
