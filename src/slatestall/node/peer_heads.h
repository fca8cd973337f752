#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/node/host_status.h"
#include "slatestall/policy/config_record.h"

namespace slatestall {

/// @brief The head that a peer obeys.
struct peer_head {
  head_claim claim;
  std::string source;
};

/// @brief Asks peers for their head and gives the highest.
/// @param known Revision that this host obeys; peers send no source for it.
/// @param done Runs once with the answers that name a later revision, lowest
/// first, and how many peers answered at all.
void AskHeads(const peer_call& call, const std::vector<std::string>& peers,
              config_revision known, milliseconds timeout,
              std::function<void(std::vector<peer_head>, std::size_t)> done);

/// @brief `count` of `hosts`, another choice each time.
std::vector<std::string> SomeOf(std::vector<std::string> hosts,
                                std::size_t count);

}  // namespace slatestall
