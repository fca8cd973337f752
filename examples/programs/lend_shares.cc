// A workspace's limit holds over all hosts together. Each host has a floor of
// its own; the rest is lent to where the requests arrive.

#include <iomanip>
#include <iostream>
#include <vector>

#include "slatestall/policy/share_allocator.h"
#include "slatestall/policy/share_divider.h"

namespace slatestall {
namespace {

constexpr std::uint32_t kHosts = 3;
constexpr double kLimit = 60;
constexpr const char* kWorkspace = "alaba-electronics";
constexpr int kSeconds = 12;

/// Three hosts with one workspace, and the one that lends its pool.
class three_hosts {
 public:
  three_hosts() : allocator_(rules_) {
    workspace_config workspace;
    workspace.limits.requests_per_second = kLimit;
    allocator_.UseHosts(kHosts, kHosts);
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      hosts_.emplace_back(rules_);
      hosts_.back().UseHosts(kHosts);
      hosts_.back().UseLimits({{kWorkspace, workspace}});
    }
  }

  void SetDemand(const std::vector<double>& demand) {
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      hosts_[i].UseDemand(kWorkspace, {demand[i], 0, 0});
    }
  }

  void RunFor(int seconds) {
    for (int second = 0; second < seconds; ++second) {
      now_ += std::chrono::seconds(1);
      allocator_.Tick(now_);
      for (std::uint32_t i = 0; i < kHosts; ++i) {
        Ask(i);
      }
    }
  }

  void Print(const std::string& title) const {
    double sum = 0;
    std::cout << std::left << std::setw(42) << title << std::right;
    for (const share_divider& host : hosts_) {
      const double share = host.Shares(now_).at(kWorkspace).requests_per_second;
      sum += share;
      std::cout << std::setw(10) << std::fixed << std::setprecision(1) << share;
    }
    std::cout << std::setw(10) << sum << "\n";
  }

 private:
  void Ask(std::uint32_t host) {
    for (const share_request& request : hosts_[host].TakeDue(now_)) {
      workspace_limits limits;
      limits.requests_per_second = kLimit;
      hosts_[host].TakeGrant(allocator_.Ask("entry-" + std::to_string(host + 1),
                                            request, limits, now_),
                             now_);
    }
  }

  share_rules rules_;
  share_allocator allocator_;
  std::vector<share_divider> hosts_;
  time_point now_{std::chrono::hours(1)};
};

void Run() {
  std::cout << "Limit of " << kWorkspace << ": " << kLimit
            << " requests a second over three hosts\n"
            << std::left << std::setw(42)
            << "requests a second that each lets in" << std::right
            << std::setw(10) << "entry-1" << std::setw(10) << "entry-2"
            << std::setw(10) << "entry-3" << std::setw(10) << "together\n";
  three_hosts hosts;
  hosts.Print("at the start: the floor alone");
  hosts.SetDemand({50, 2, 2});
  hosts.RunFor(kSeconds);
  hosts.Print("the balancer sends 50 / 2 / 2 a second");
  hosts.SetDemand({2, 2, 50});
  hosts.RunFor(kSeconds);
  hosts.Print("then 2 / 2 / 50");
  hosts.SetDemand({100, 100, 100});
  hosts.RunFor(kSeconds);
  hosts.Print("then 100 on each: more than the limit");
}

}  // namespace
}  // namespace slatestall

int main() { slatestall::Run(); }
