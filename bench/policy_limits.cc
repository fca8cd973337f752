// How far the requests that all hosts admit together are from a workspace's
// limit: real admission, real shares, simulated time.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/policy/event_queue.h"
#include "slatestall/policy/random_generator.h"
#include "slatestall/policy/seconds.h"
#include "slatestall/policy/share_exchange.h"
#include "slatestall/policy/traffic_policy.h"

namespace {

using namespace slatestall;  // NOLINT: a program of one file.
using std::chrono::seconds;

constexpr double kLimit = 120;    // Requests a second.
constexpr double kOffered = 1.5;  // Times the limit.
constexpr int kSettle = 60;       // Seconds before anything is counted.
constexpr int kLength = 240;
constexpr int kWindow = 10;
constexpr double kServed = 0.2;  // Seconds that a request is in hand.
const std::string kShop = "shop";

/// @brief Hosts that admit one workspace, and what they admitted by second.
class limit_run {
 public:
  using weights = std::function<double(std::size_t host, int second)>;

  limit_run(std::size_t hosts, weights share_of_load, std::uint64_t seed)
      : share_of_load_(std::move(share_of_load)),
        random_(seed),
        exchange_(events_, milliseconds(1)),
        admitted_(kSettle + kLength) {
    workspace_config shop;
    shop.name = kShop;
    shop.limits.requests_per_second = kLimit;
    std::vector<std::string> names;
    names.reserve(hosts);
    for (std::size_t i = 0; i < hosts; ++i) {
      names.push_back("entry-" + std::to_string(i));
      traffic_policy_options options;
      options.host_name = names.back();
      policies_.push_back(std::make_unique<traffic_policy>(options));
    }
    auto accepted = std::make_shared<accepted_configuration>();
    accepted->revision = 1;
    accepted->content.workspaces[kShop] = shop;
    accepted_ = accepted;
    pipeline_.name = "reply";
    exchange_.UseHosts(names);
    exchange_.UseLimits(accepted->content.workspaces);
    names_ = std::move(names);
  }

  share_exchange& Exchange() { return exchange_; }
  const std::vector<std::string>& Names() const { return names_; }
  void At(int second, std::function<void()> action) {
    events_.At(start_ + seconds(kSettle + second), std::move(action));
  }

  void Run() {
    exchange_.Start();
    Publish();
    for (std::size_t i = 0; i < names_.size(); ++i) {
      NextArrival(i);
    }
    events_.RunUntil(start_ + seconds(kSettle + kLength));
  }

  /// @brief Admitted over `length` seconds from `from`, as part of the limit.
  double Part(int from, int length) const {
    double sum = 0;
    const int first = kSettle + from;
    for (int i = first; i < first + length; ++i) {
      sum += admitted_.at(static_cast<std::size_t>(i));
    }
    return sum / (kLimit * length);
  }

  double WorstWindow() const {
    double worst = 0;
    for (int i = 0; i + kWindow <= kLength; ++i) {
      worst = std::max(worst, Part(i, kWindow));
    }
    return worst;
  }

 private:
  int Second() const {
    return static_cast<int>(Seconds(events_.Now() - start_)) - kSettle;
  }

  void Publish() {
    for (std::size_t i = 0; i < names_.size(); ++i) {
      auto snapshot = std::make_shared<control_snapshot>();
      snapshot->configuration = accepted_;
      snapshot->live_hosts = static_cast<std::uint32_t>(names_.size());
      snapshot->shares = exchange_.Shares(names_[i]);
      policies_[i]->UseSnapshot(snapshot, events_.Now());
    }
    events_.After(milliseconds(100), [this] { Publish(); });
  }

  // Drawn anew every half second at most, so that a host follows its weight.
  void NextArrival(std::size_t host) {
    const double rate = kLimit * kOffered * share_of_load_(host, Second());
    constexpr double kLongest = 0.5;
    const double wait =
        rate <= 0 ? kLongest : -std::log(1 - random_.Unit()) / rate;
    events_.After(FromSeconds(std::min(wait, kLongest)),
                  [this, host, arrives = wait < kLongest] {
                    if (arrives) {
                      Arrive(host);
                    }
                    NextArrival(host);
                  });
  }

  void Arrive(std::size_t host) {
    const time_point now = events_.Now();
    traffic_policy& policy = *policies_[host];
    const admission decision =
        policy.Admit({kShop, &pipeline_, now + seconds(5)}, now);
    if (!decision.admitted) {
      exchange_.Demand(names_[host]).Refused(kShop);
      return;
    }
    admitted_.at(static_cast<std::size_t>(Seconds(now - start_))) += 1;
    events_.After(FromSeconds(kServed), [this, host] {
      policies_[host]->Release({kShop, &pipeline_, true, 0}, events_.Now());
      exchange_.Demand(names_[host]).Ended(kShop, kServed, 0);
    });
  }

  const time_point start_{std::chrono::hours(1)};
  weights share_of_load_;
  random_generator random_;
  event_queue events_{start_};
  share_exchange exchange_;
  pipeline_config pipeline_;
  accepted_configuration_ptr accepted_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<traffic_policy>> policies_;
  std::vector<double> admitted_;
};

void Print(const std::string& name, std::size_t hosts, limit_run& run) {
  run.Run();
  std::cout << std::left << std::setw(46) << name << std::right << std::setw(6)
            << hosts << std::fixed << std::setprecision(1) << std::setw(10)
            << (run.Part(0, kLength) - 1) * 100 << "%" << std::setw(12)
            << (run.WorstWindow() - 1) * 100 << "%\n";
}

void RunAll(std::size_t hosts, std::uint64_t seed) {
  const double even = 1.0 / static_cast<double>(hosts);
  const auto same = [even](std::size_t, int) { return even; };
  const auto mixed = [hosts](std::size_t host, int) {
    // Loads of 1 : 2 : ... : hosts.
    const auto n = static_cast<double>(hosts);
    return static_cast<double>(host + 1) / (n * (n + 1) / 2);
  };
  {
    limit_run run(hosts, same, seed);
    Print("steady, even load", hosts, run);
  }
  {
    limit_run run(hosts, mixed, seed);
    Print("steady, loads 1 : 2 : ... : n", hosts, run);
  }
  {
    limit_run run(
        hosts, [](std::size_t host, int) { return host == 0 ? 1.0 : 0.0; },
        seed);
    Print("steady, all load on one host", hosts, run);
  }
  {
    // Half of the hosts carry the load, in turns of 30 s.
    limit_run run(
        hosts,
        [hosts, even](std::size_t host, int second) {
          const bool first = (second / 30) % 2 == 0;
          return (host < hosts / 2) == first ? 2 * even : 0.0;
        },
        seed);
    Print("load moves to the other half every 30 s", hosts, run);
  }
  {
    limit_run run(hosts, mixed, seed);
    run.At(30, [&run, hosts] {
      run.Exchange().Part(
          {run.Names().begin() + static_cast<std::ptrdiff_t>(hosts / 2),
           run.Names().end()});
    });
    run.At(90, [&run] { run.Exchange().Heal(); });
    Print("half of the hosts cut off for 60 s", hosts, run);
  }
  {
    limit_run run(hosts, mixed, seed);
    for (std::size_t i = 0; i < hosts; ++i) {
      run.At(20 + static_cast<int>(i % 40) * 5,
             [&run, i] { run.Exchange().Restart(run.Names()[i]); });
    }
    Print("every host restarts once, 5 s apart", hosts, run);
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Error of workspace limits over hosts"};
  std::vector<std::size_t> hosts{2, 8, 40};
  std::uint64_t seed = 1;
  app.add_option("--hosts", hosts, "Numbers of hosts");
  app.add_option("--seed", seed, "Of the arrivals");
  CLI11_PARSE(app, argc, argv);
  std::cout << "offered " << kOffered << " times the limit; over " << kLength
            << " s, and the worst " << kWindow << " s\n"
            << std::left << std::setw(46) << "" << std::right << std::setw(6)
            << "hosts" << std::setw(11) << "error" << std::setw(13) << "worst"
            << "\n";
  for (const std::size_t count : hosts) {
    RunAll(count, seed);
  }
  return 0;
}
