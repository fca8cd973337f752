#include "slatestall/node/host_network.h"

#include <algorithm>
#include <utility>

#include "slatestall/model/ids.h"
#include "slatestall/policy/membership_rendezvous.h"

namespace slatestall {
namespace {

constexpr milliseconds kTick{50};
constexpr milliseconds kGossipTimeout{1000};
constexpr milliseconds kShareTimeout{1000};

gossip_options GossipOptions() {
  gossip_options options;
  options.seed = RandomBits();
  return options;
}

wire::share_ask_entry AskEntry(const share_request& request) {
  return {StableHash(request.workspace),
          static_cast<float>(request.demand.requests_per_second),
          static_cast<float>(request.demand.tokens_per_second),
          static_cast<float>(request.demand.concurrency),
          static_cast<float>(request.held.requests_per_second),
          static_cast<float>(request.held.tokens_per_second),
          static_cast<float>(request.held.concurrency),
          static_cast<std::uint32_t>(request.held_for.count()),
          static_cast<std::uint32_t>(request.pace.count())};
}

share_request RequestOf(const wire::share_ask_entry& entry,
                        const std::string& workspace) {
  return {
      workspace,
      {entry.demand_requests(), entry.demand_tokens(),
       entry.demand_concurrency()},
      {entry.held_requests(), entry.held_tokens(), entry.held_concurrency()},
      milliseconds{entry.held_ms()},
      milliseconds{entry.pace_ms()}};
}

wire::share_answer_entry AnswerEntry(const share_grant& grant) {
  return {StableHash(grant.workspace),
          static_cast<float>(grant.lent.requests_per_second),
          static_cast<float>(grant.lent.tokens_per_second),
          static_cast<float>(grant.lent.concurrency),
          static_cast<std::uint32_t>(grant.valid_for.count()),
          static_cast<std::uint32_t>(grant.ask_again.count())};
}

share_grant GrantOf(const wire::share_answer_entry& entry,
                    const std::string& workspace) {
  return {workspace,
          {entry.requests(), entry.tokens(), entry.concurrency()},
          milliseconds{entry.valid_ms()},
          milliseconds{entry.ask_again_ms()}};
}

template <typename Message>
wire::messageUnion Union(Message message) {
  wire::messageUnion body;
  body.Set(std::move(message));
  return body;
}

}  // namespace

host_network::host_network(asio::io_context& context, peer_node& peers,
                           const member_digest& self, now_function now,
                           std::function<void()> on_change)
    : peers_(peers),
      self_(self.host),
      now_(std::move(now)),
      on_change_(std::move(on_change)),
      timer_(context),
      members_(self, {}, now_()),
      exchange_(members_, GossipOptions(), now_()),
      divider_(share_rules{}),
      allocator_(share_rules{}) {
  peers_.Handle(
      wire::message::gossip,
      [this](const auto& request, const auto& from, const auto& reply) {
        if (const auto* gossip = request.Asgossip()) {
          reply(Union(exchange_.TakeRequest(*gossip, from, now_())));
          TellChanges();
        }
      });
  peers_.Handle(
      wire::message::share_ask,
      [this](const auto& request, const auto& from, const auto& reply) {
        if (const auto* ask = request.Asshare_ask()) {
          reply(Union(AnswerAsk(*ask, from)));
        }
      });
}

void host_network::Start() {
  next_second_ = now_();
  ScheduleTick();
}

void host_network::UseHostList(const std::vector<listed_host>& hosts) {
  std::vector<listed_member> listed;
  for (const auto& host : hosts) {
    if (host.service == kEntryService) {
      listed.push_back({host.name, host.where.address,
                        host.where.failure_domain, host.leaving});
    }
  }
  members_.UseList(listed, now_());
  RefreshHosts();
}

void host_network::UseConfiguration(
    const accepted_configuration_ptr& configuration) {
  configuration_ = configuration;
  workspace_names_.clear();
  for (const auto& [name, workspace] : configuration->content.workspaces) {
    workspace_names_[StableHash(name)] = name;
  }
  divider_.UseLimits(configuration->content.workspaces);
  members_.SetRevision(configuration->revision, now_());
  exchange_.NoteHead(configuration->revision, now_());
}

void host_network::SetDraining() { members_.SetDraining(now_()); }

void host_network::SetDrained(const std::string& successor) {
  members_.SetDrained(successor, now_());
}

void host_network::NoteLeaving(const std::string& address) {
  exchange_.NoteEndpoint(address, wire::notice_kind::leaving, now_());
}

void host_network::UseDemand(
    const std::map<std::string, workspace_demand>& demand) {
  for (const auto& [workspace, wanted] : demand) {
    divider_.UseDemand(workspace, wanted);
  }
}

std::vector<endpoint_observation> host_network::Notices() const {
  auto notices = exchange_.Notices();
  std::erase_if(notices, [](const auto& notice) {
    return notice.kind != wire::notice_kind::leaving;
  });
  return notices;
}

std::map<std::string, workspace_share> host_network::Shares() const {
  return divider_.Shares(now_());
}

std::vector<peer_address> host_network::Peers() const {
  std::vector<peer_address> peers;
  for (const auto& [name, member] : members_.Members()) {
    const auto& told = member.digest.peer_address;
    const auto& address = told.empty() ? member.listed_address : told;
    if (name != self_ && member.state != member_state::kGone &&
        !address.empty()) {
      peers.push_back({name, address});
    }
  }
  return peers;
}

void host_network::ScheduleTick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      OnTick();
      ScheduleTick();
    }
  });
}

void host_network::OnTick() {
  if (now_() >= next_second_) {
    next_second_ = now_() + std::chrono::seconds{1};
    OncePerSecond();
  }
  if (now_() >= exchange_.DueAt()) {
    Exchange();
  }
}

void host_network::OncePerSecond() {
  members_.Tick(now_());
  exchange_.Tick(now_());
  allocator_.Tick(now_());
  RefreshHosts();
  AskForShares();
  TellChanges();
}

void host_network::RefreshHosts() {
  peers_.SetPeers(Peers());
  divider_.UseHosts(members_.KnownHosts());
  allocator_.UseHosts(members_.KnownHosts(), members_.ReachableHosts());
}

void host_network::Exchange() {
  for (const auto& target : exchange_.TakeTargets(now_())) {
    peers_.Call(target, Union(exchange_.MakeRequest(now_())), kGossipTimeout,
                [this, target](const peer_reply& reply) {
                  const auto* gossip = reply.end == peer_call_end::kReplied
                                           ? reply.body.Asgossip()
                                           : nullptr;
                  if (gossip == nullptr) {
                    exchange_.ExchangeFailed(target, now_());
                    return;
                  }
                  exchange_.TakeReply(*gossip, target, now_());
                  TellChanges();
                });
  }
}

void host_network::AskForShares() {
  const auto live = members_.LiveHosts();
  std::map<std::string, std::vector<share_request>> by_allocator;
  for (auto& request : divider_.TakeDue(now_())) {
    by_allocator[RendezvousHost(request.workspace, live)].push_back(
        std::move(request));
  }
  for (const auto& [allocator, requests] : by_allocator) {
    if (!allocator.empty()) {
      SendAsk(allocator, requests);
    }
  }
}

void host_network::SendAsk(const std::string& allocator,
                           const std::vector<share_request>& requests) {
  wire::share_askT ask;
  for (const auto& request : requests) {
    ask.entries.push_back(AskEntry(request));
  }
  const auto asked_at = now_();
  if (allocator == self_) {
    const auto answer = AnswerAsk(ask, self_);
    TakeAnswer(requests, &answer, asked_at);
    return;
  }
  peers_.Call(allocator, Union(std::move(ask)), kShareTimeout,
              [this, requests, asked_at](const peer_reply& reply) {
                TakeAnswer(requests,
                           reply.end == peer_call_end::kReplied
                               ? reply.body.Asshare_answer()
                               : nullptr,
                           asked_at);
              });
}

wire::share_answerT host_network::AnswerAsk(const wire::share_askT& ask,
                                            const std::string& from) {
  wire::share_answerT answer;
  for (const auto& entry : ask.entries) {
    const auto* name = NameOf(entry.workspace());
    if (name == nullptr) {
      continue;
    }
    const auto& limits = configuration_->content.workspaces.at(*name).limits;
    answer.entries.push_back(AnswerEntry(
        allocator_.Ask(from, RequestOf(entry, *name), limits, now_())));
  }
  return answer;
}

void host_network::TakeAnswer(const std::vector<share_request>& requests,
                              const wire::share_answerT* answer,
                              time_point asked_at) {
  for (const auto& request : requests) {
    const auto hash = StableHash(request.workspace);
    const wire::share_answer_entry* found = nullptr;
    if (answer != nullptr) {
      for (const auto& entry : answer->entries) {
        found = entry.workspace() == hash ? &entry : found;
      }
    }
    if (found != nullptr) {
      divider_.TakeGrant(GrantOf(*found, request.workspace), asked_at);
    } else {
      divider_.AskFailed(request.workspace, now_());
    }
  }
  on_change_();
}

const std::string* host_network::NameOf(std::uint64_t workspace) const {
  const auto found = workspace_names_.find(workspace);
  return found == workspace_names_.end() ? nullptr : &found->second;
}

void host_network::TellChanges() {
  const auto changes = exchange_.ChangeCount();
  if (changes != changes_told_) {
    changes_told_ = changes;
    on_change_();
  }
}

}  // namespace slatestall
