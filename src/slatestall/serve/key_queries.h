#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "slatestall/http/http_server.h"
#include "slatestall/serve/lane_environment.h"

namespace slatestall {

/// @brief Answers what became of a keyed request. The responders stay here:
/// the guard may call back on any thread, and a responder may be touched by
/// this thread alone.
class key_queries {
 public:
  explicit key_queries(const lane_environment& environment);

  void Ask(const std::string& workspace, const std::string& key,
           http_responder_ptr responder);

 private:
  void Answer(std::uint64_t query, const std::string& key,
              const key_lookup& lookup);

  const lane_environment& environment_;
  std::uint64_t next_ = 0;
  std::unordered_map<std::uint64_t, http_responder_ptr> open_;
  std::shared_ptr<key_queries*> alive_;
};

}  // namespace slatestall
