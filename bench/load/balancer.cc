#include "bench/load/balancer.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "slatestall/model/time.h"

namespace slatestall {
namespace {

constexpr milliseconds kRereadInterval{100};

}  // namespace

balancer::balancer(asio::io_context& context, std::string path,
                   std::uint64_t seed)
    : timer_(context), path_(std::move(path)), random_(seed) {
  Reread();
  if (hosts_.empty()) {
    throw std::invalid_argument(path_ + " names no host");
  }
}

void balancer::Reread() {
  std::ifstream file(path_);
  std::vector<std::string> hosts;
  std::string line;
  while (std::getline(file, line)) {
    if (!line.empty()) {
      hosts.push_back(line);
    }
  }
  if (!hosts.empty()) {
    hosts_ = std::move(hosts);
  }
  timer_.expires_after(kRereadInterval);
  timer_.async_wait([this](const std::error_code& error) {
    if (!error) {
      Reread();
    }
  });
}

std::string balancer::Pick(const std::string& avoided) {
  std::vector<std::string> others = hosts_;
  std::erase(others, avoided);
  const auto& choice = others.empty() ? hosts_ : others;
  return choice[random_() % choice.size()];
}

}  // namespace slatestall
