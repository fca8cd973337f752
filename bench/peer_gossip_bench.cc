// Bytes, messages, rounds and processor time of the exchange between hosts, by
// running the pure exchange of N hosts in one process: each message is encoded
// by the codec of the hosts and counted. Time is a counter. A measurement of
// the exchange alone, no model of a cluster.
//
//   peer_gossip_bench [hosts...]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "slatestall/peer/frame_codec.h"
#include "slatestall/peer/gossip_group.h"
#include "slatestall/policy/membership_rendezvous.h"
#include "slatestall/policy/share_allocator.h"
#include "slatestall/policy/share_divider.h"

namespace slatestall {
namespace {

using std::chrono::seconds;

constexpr std::size_t kDomains = 20;

double Share(gossip_group& group,
             const std::function<bool(gossip_host&)>& knows) {
  std::size_t up = 0;
  std::size_t count = 0;
  for (gossip_host& host : group.Hosts()) {
    up += host.up ? 1 : 0;
    count += host.up && knows(host) ? 1 : 0;
  }
  return static_cast<double>(count) / static_cast<double>(up);
}

/// Seconds until all hosts know, at most `limit`; and until 99 in 100 do.
void Spread(gossip_group& group, const char* what, seconds limit,
            const std::function<bool(gossip_host&)>& knows) {
  const time_point start = group.Now();
  const std::uint64_t bytes_before = group.Bytes();
  double most_at = -1;
  group.RunFor(limit, [&] {
    const double share = Share(group, knows);
    if (most_at < 0 && share >= 0.99) {
      most_at = std::chrono::duration<double>(group.Now() - start).count();
    }
    return share >= 1;
  });
  const double took =
      std::chrono::duration<double>(group.Now() - start).count();
  const auto hosts = static_cast<double>(group.Hosts().size());
  std::printf("  %-28s 99%% %6.2f s, all %6.2f s%s, %5.0f bytes a host\n", what,
              most_at, took, Share(group, knows) < 1 ? " (NOT ALL)" : "",
              static_cast<double>(group.Bytes() - bytes_before) / hosts);
}

void Rate(gossip_group& group, const char* what, seconds time) {
  const std::uint64_t bytes_before = group.Bytes();
  const std::uint64_t messages_before = group.Messages();
  const auto cpu = std::clock();
  group.RunFor(time);
  const double cpu_seconds =
      static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
  const auto hosts = static_cast<double>(group.Hosts().size());
  const double span = std::chrono::duration<double>(time).count();
  const auto messages = static_cast<double>(group.Messages() - messages_before);
  std::printf(
      "  %-28s sent %6.0f bytes/s and %5.2f messages/s a host, %4.0f bytes a "
      "message, %5.1f us a message, %.4f of a core a host\n",
      what, static_cast<double>(group.Bytes() - bytes_before) / hosts / span,
      messages / hosts / span,
      static_cast<double>(group.Bytes() - bytes_before) / messages,
      cpu_seconds / messages * 1e6, cpu_seconds / hosts / span);
}

void SetRevision(gossip_group& group, config_revision revision) {
  for (gossip_host& host : group.Hosts()) {
    host.exchange->UseRevision(revision, group.Now());
  }
}

void RunGossip(std::size_t count) {
  gossip_group group(count, std::min(kDomains, count / 2));
  std::printf("%zu hosts\n", count);
  const auto knows_all = [&](gossip_host& host) {
    const auto& members = host.view->Members();
    return std::all_of(members.begin(), members.end(), [](const auto& entry) {
      return entry.second.digest.version.sequence > 0;
    });
  };
  Spread(group, "start: all heard of by all", seconds(300), knows_all);
  group.RunFor(seconds(60));
  Rate(group, "quiet", seconds(240));

  group.Hosts()[0].exchange->NoteEndpoint(
      "10.9.0.1:9000", wire::notice_kind::leaving, group.Now());
  Spread(group, "one leaving endpoint", seconds(60),
         [](gossip_host& host) { return !host.exchange->Notices().empty(); });
  for (int i = 0; i < 65; ++i) {
    group.Hosts()[1].exchange->NoteEndpoint(
        "10.9.1." + std::to_string(i) + ":9000", wire::notice_kind::leaving,
        group.Now());
  }
  Spread(group, "65 leaving endpoints", seconds(60), [](gossip_host& host) {
    return host.exchange->Notices().size() >= 66;
  });
  group.RunFor(seconds(10));

  group.Hosts()[0].exchange->UseRevision(1, group.Now());
  Spread(group, "configuration head", seconds(60),
         [](gossip_host& host) { return host.exchange->Head() >= 1; });
  SetRevision(group, 1);
  Spread(group, "in force, known of all by all", seconds(300),
         [](gossip_host& host) {
           const auto& members = host.view->Members();
           return std::all_of(members.begin(), members.end(),
                              [](const auto& entry) {
                                return entry.second.digest.revision >= 1;
                              });
         });
  group.RunFor(seconds(30));

  gossip_host& dead = group.Hosts().back();
  dead.up = false;
  Spread(group, "dead host suspected", seconds(120), [&](gossip_host& host) {
    return host.view->Find(dead.name)->suspected;
  });
  dead.up = true;
  Spread(group, "back, suspected by none", seconds(120),
         [&](gossip_host& host) {
           return !host.view->Find(dead.name)->suspected;
         });
  group.RunFor(seconds(30));

  // 2,400 changes of configuration a day, on top of heartbeats.
  const std::uint64_t bytes_before = group.Bytes();
  const time_point start = group.Now();
  for (config_revision revision = 2; revision < 12; ++revision) {
    SetRevision(group, revision);
    group.RunFor(seconds(36));
  }
  const double span =
      std::chrono::duration<double>(group.Now() - start).count();
  std::printf("  %-28s sent %6.0f bytes/s a host\n",
              "a new revision every 36 s",
              static_cast<double>(group.Bytes() - bytes_before) /
                  static_cast<double>(count) / span);
}

/// Share traffic of `hosts` hosts on which `busy` of the workspaces have more
/// demand than their floor.
void RunShares(std::size_t hosts, std::size_t workspaces, std::size_t busy) {
  const share_rules rules;
  std::map<std::string, workspace_config> configured;
  for (std::size_t i = 0; i < workspaces; ++i) {
    workspace_config& config = configured["workspace-" + std::to_string(i)];
    config.limits = {100, 10000, 50};
  }
  std::vector<std::string> names;
  std::vector<share_divider> dividers;
  std::vector<share_allocator> allocators;
  for (std::size_t i = 0; i < hosts; ++i) {
    names.push_back("entry-" + std::to_string(i));
    dividers.emplace_back(rules);
    dividers[i].UseHosts(static_cast<std::uint32_t>(hosts));
    dividers[i].UseLimits(configured);
    allocators.emplace_back(rules);
    allocators[i].UseHosts(static_cast<std::uint32_t>(hosts),
                           static_cast<std::uint32_t>(hosts));
    for (std::size_t j = 0; j < busy; ++j) {
      const std::size_t chosen =
          busy == workspaces ? j : (i * 7 + j * 13) % workspaces;
      dividers[i].UseDemand("workspace-" + std::to_string(chosen),
                            {100, 10000, 50});
    }
  }
  std::map<std::string, std::size_t> allocator_of;
  for (const auto& [name, config] : configured) {
    const std::string host = RendezvousHost(name, names);
    allocator_of[name] = static_cast<std::size_t>(
        std::find(names.begin(), names.end(), host) - names.begin());
  }
  std::vector<std::uint64_t> bytes(hosts);
  std::uint64_t messages = 0;
  const auto cpu = std::clock();
  constexpr int kSeconds = 300;
  constexpr int kWarmUp = 100;
  time_point now(seconds(1000));
  for (int second = 0; second < kSeconds; ++second) {
    if (second == kWarmUp) {
      messages = 0;
      std::fill(bytes.begin(), bytes.end(), 0);
    }
    now += seconds(1);
    for (std::size_t i = 0; i < hosts; ++i) {
      std::map<std::size_t, std::vector<share_request>> by_allocator;
      for (share_request& request : dividers[i].TakeDue(now)) {
        by_allocator[allocator_of.at(request.workspace)].push_back(
            std::move(request));
      }
      for (const auto& [allocator, requests] : by_allocator) {
        wire::share_askT ask;
        wire::share_answerT answer;
        for (const share_request& request : requests) {
          const share_grant grant = allocators[allocator].Ask(
              names[i], request, configured.at(request.workspace).limits, now);
          dividers[i].TakeGrant(grant, now);
          ask.entries.emplace_back();
          answer.entries.emplace_back();
        }
        if (allocator == i) {
          continue;
        }
        wire::frameT frame;
        frame.call = 1;
        frame.body = MakeMessage(std::move(ask));
        const std::size_t asked = EncodeFrame(frame).size();
        frame.body = MakeMessage(std::move(answer));
        const std::size_t answered = EncodeFrame(frame).size();
        messages += 2;
        bytes[i] += asked + answered;
        bytes[allocator] += asked + answered;
      }
    }
  }
  const double cpu_seconds =
      static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
  const double span = kSeconds - kWarmUp;
  std::uint64_t sum = 0;
  for (const std::uint64_t each : bytes) {
    sum += each;
  }
  std::printf(
      "  shares: %3zu of %3zu workspaces busy on each host: sent and received "
      "%6.0f bytes/s a host, most %6.0f, %5.2f messages/s, %.5f of a core\n",
      busy, workspaces,
      static_cast<double>(sum) / static_cast<double>(hosts) / span,
      static_cast<double>(*std::max_element(bytes.begin(), bytes.end())) / span,
      static_cast<double>(messages) / static_cast<double>(hosts) / span,
      cpu_seconds / static_cast<double>(hosts) / kSeconds);
}

}  // namespace
}  // namespace slatestall

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::vector<std::size_t> counts;
  for (int i = 1; i < argc; ++i) {
    counts.push_back(std::strtoul(argv[i], nullptr, 10));
  }
  if (counts.empty()) {
    counts = {8, 50, 390};
  }
  for (const std::size_t count : counts) {
    slatestall::RunGossip(count);
    slatestall::RunShares(count, 5, 5);
    for (const std::size_t busy : {20, 100, 360}) {
      slatestall::RunShares(count, 360, busy);
    }
  }
  return 0;
}
