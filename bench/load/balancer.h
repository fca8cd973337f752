#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace slatestall {

/// @brief Stands for the platform's balancer: spreads requests over the hosts
/// named in a file, one base URL a line, which is read again now and then.
class balancer {
 public:
  balancer(asio::io_context& context, std::string path, std::uint64_t seed);

  /// @brief A host other than `avoided` where there is one.
  std::string Pick(const std::string& avoided);
  void Stop() { timer_.cancel(); }

 private:
  void Reread();

  asio::steady_timer timer_;
  std::string path_;
  std::mt19937_64 random_;
  std::vector<std::string> hosts_;
};

}  // namespace slatestall
