#include "slatestall/policy/membership_rendezvous.h"

#include <cstdint>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {

std::string RendezvousHost(std::string_view key,
                           const std::vector<std::string>& hosts) {
  const std::uint64_t seed = StableHash(key);
  std::pair<std::uint64_t, std::string> best;
  for (const std::string& host : hosts) {
    std::pair<std::uint64_t, std::string> score(StableHash(host, seed), host);
    if (best.second.empty() || best < score) {
      best = std::move(score);
    }
  }
  return best.second;
}

}  // namespace slatestall
