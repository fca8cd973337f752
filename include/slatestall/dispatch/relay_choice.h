#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief A host that passes calls on to endpoints for others.
/// @ingroup dispatch
struct relay_host {
  std::string host;
  asio::ip::tcp::endpoint address;
  double weight = 1.0;  ///< What it can do against others.
};

/// @brief Chooses the hosts that a call may be passed on by: those that have
/// least of this host's calls for what they can do, and none that has refused
/// one of late.
class relay_choice {
 public:
  /// @returns a number below its argument.
  using random_below = std::function<std::uint64_t(std::uint64_t)>;

  explicit relay_choice(random_below draw) : draw_(std::move(draw)) {}

  bool Empty() const { return hosts_.empty(); }
  void SetHosts(const std::vector<relay_host>& hosts);
  /// @returns hosts to try one after the other, at most `most`.
  std::vector<relay_host> Pick(std::size_t most, time_point now) const;
  void NoteStart(const std::string& host);
  void NoteEnd(const std::string& host);
  /// @brief It could not be reached, is cut off itself, or has no room.
  void NoteRefused(const std::string& host, time_point now);

 private:
  struct known_host {
    relay_host listed;
    unsigned calls = 0;
    time_point avoid_until{};
  };

  random_below draw_;
  std::map<std::string, known_host> hosts_;
};

}  // namespace slatestall
