#include "slatestall/peer/share_service.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <cmath>
#include <set>
#include <utility>
#include <vector>

#include "slatestall/peer/frame_codec.h"
#include "slatestall/policy/membership_rendezvous.h"
#include "slatestall/policy/share_allocator.h"
#include "slatestall/policy/share_divider.h"

namespace slatestall {
namespace {

constexpr milliseconds kTick{500};
constexpr milliseconds kCallTimeout{1'000};
// A wrong number from a peer must not become a grant without end.
constexpr milliseconds kLongestGrant{10 * 60'000};

double Sane(float value) {
  return std::isfinite(value) && value > 0 ? value : 0;
}

milliseconds SaneTime(std::uint32_t ms) {
  return std::min(milliseconds(ms), kLongestGrant);
}

std::uint32_t WireTime(milliseconds time) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(time.count(), 0));
}

wire::share_ask_entry ToWire(const share_request& request) {
  return {StableHash(request.workspace),
          static_cast<float>(request.demand.requests_per_second),
          static_cast<float>(request.demand.tokens_per_second),
          static_cast<float>(request.demand.concurrency),
          static_cast<float>(request.held.requests_per_second),
          static_cast<float>(request.held.tokens_per_second),
          static_cast<float>(request.held.concurrency),
          WireTime(request.held_for),
          WireTime(request.pace)};
}

share_request FromWire(const wire::share_ask_entry& entry,
                       const std::string& workspace) {
  share_request request;
  request.workspace = workspace;
  request.demand = {Sane(entry.demand_requests()), Sane(entry.demand_tokens()),
                    Sane(entry.demand_concurrency())};
  request.held = {Sane(entry.held_requests()), Sane(entry.held_tokens()),
                  Sane(entry.held_concurrency())};
  request.held_for = SaneTime(entry.held_ms());
  request.pace = SaneTime(entry.pace_ms());
  return request;
}

wire::share_answer_entry ToWire(const share_grant& grant) {
  return {StableHash(grant.workspace),
          static_cast<float>(grant.lent.requests_per_second),
          static_cast<float>(grant.lent.tokens_per_second),
          static_cast<float>(grant.lent.concurrency),
          WireTime(grant.valid_for),
          WireTime(grant.ask_again)};
}

share_grant FromWire(const wire::share_answer_entry& entry,
                     const std::string& workspace) {
  share_grant grant;
  grant.workspace = workspace;
  grant.lent = {Sane(entry.requests()), Sane(entry.tokens()),
                Sane(entry.concurrency())};
  grant.valid_for = SaneTime(entry.valid_ms());
  grant.ask_again = SaneTime(entry.ask_again_ms());
  return grant;
}

bool Same(const std::map<std::string, workspace_share>& left,
          const std::map<std::string, workspace_share>& right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](const auto& a, const auto& b) {
        return a.first == b.first &&
               a.second.requests_per_second == b.second.requests_per_second &&
               a.second.tokens_per_second == b.second.tokens_per_second &&
               a.second.concurrency == b.second.concurrency;
      });
}

}  // namespace

class share_service::impl
    : public std::enable_shared_from_this<share_service::impl> {
 public:
  impl(asio::io_context& context, peer_node& peers, now_function now,
       const membership_view& view, const share_rules& rules,
       std::function<void()> on_change)
      : peers_(peers),
        now_(std::move(now)),
        view_(view),
        on_change_(std::move(on_change)),
        divider_(rules),
        allocator_(rules),
        timer_(context) {}

  void Start() {
    peers_.Handle(
        wire::message::share_ask,
        [weak = weak_from_this()](const auto& request, const std::string& from,
                                  const auto& reply) {
          if (const auto self = weak.lock()) {
            reply(MakeMessage(self->Answer(*request.Asshare_ask(), from)));
          }
        });
    Tick();
  }

  void Stop() {
    stopped_ = true;
    on_change_ = nullptr;
    timer_.cancel();
  }

  void UseWorkspaces(
      const std::map<std::string, workspace_config>& workspaces) {
    divider_.UseLimits(workspaces);
    limits_.clear();
    names_.clear();
    for (const auto& [name, config] : workspaces) {
      limits_[name] = config.limits;
      names_[StableHash(name)] = name;
    }
    TellChanges();
  }

  share_divider& Divider() { return divider_; }

  std::map<std::string, workspace_share> Shares() const {
    return divider_.Shares(now_());
  }

 private:
  void Tick() {
    divider_.UseHosts(view_.KnownHosts());
    allocator_.UseHosts(view_.KnownHosts(), view_.ReachableHosts());
    allocator_.Tick(now_());
    AskAllocators();
    TellChanges();
    timer_.expires_after(kTick);
    timer_.async_wait([weak = weak_from_this()](const std::error_code& error) {
      const auto self = weak.lock();
      if (!error && self != nullptr && !self->stopped_) {
        self->Tick();
      }
    });
  }

  std::string AllocatorOf(const std::string& workspace) const {
    const std::string host = RendezvousHost(workspace, view_.LiveHosts());
    return host.empty() ? Self() : host;
  }

  const std::string& Self() const { return view_.Self().digest.host; }

  void AskAllocators() {
    std::map<std::string, std::vector<share_request>> by_allocator;
    for (share_request& request : divider_.TakeDue(now_())) {
      by_allocator[AllocatorOf(request.workspace)].push_back(
          std::move(request));
    }
    for (const auto& [host, requests] : by_allocator) {
      if (host == Self()) {
        AskSelf(requests);
      } else {
        AskHost(host, requests);
      }
    }
  }

  void AskSelf(const std::vector<share_request>& requests) {
    const time_point now = now_();
    for (const share_request& request : requests) {
      divider_.TakeGrant(
          allocator_.Ask(Self(), request, limits_[request.workspace], now),
          now);
    }
  }

  void AskHost(const std::string& host,
               const std::vector<share_request>& requests) {
    wire::share_askT ask;
    std::vector<std::string> asked;
    for (const share_request& request : requests) {
      ask.entries.push_back(ToWire(request));
      asked.push_back(request.workspace);
    }
    peers_.Call(host, MakeMessage(std::move(ask)), kCallTimeout,
                [weak = weak_from_this(), asked = std::move(asked),
                 asked_at = now_()](const peer_reply& reply) {
                  if (const auto self = weak.lock()) {
                    self->TakeEnd(asked, asked_at, reply);
                  }
                });
  }

  void TakeEnd(const std::vector<std::string>& asked, time_point asked_at,
               const peer_reply& reply) {
    std::set<std::string> open(asked.begin(), asked.end());
    const wire::share_answerT* answer = reply.end == peer_call_end::kReplied
                                            ? reply.body.Asshare_answer()
                                            : nullptr;
    if (answer != nullptr) {
      for (const wire::share_answer_entry& entry : answer->entries) {
        const auto name = names_.find(entry.workspace());
        if (name != names_.end() && open.erase(name->second) > 0) {
          divider_.TakeGrant(FromWire(entry, name->second), asked_at);
        }
      }
    }
    for (const std::string& workspace : open) {
      divider_.AskFailed(workspace, now_());
    }
    TellChanges();
  }

  wire::share_answerT Answer(const wire::share_askT& ask,
                             const std::string& from) {
    wire::share_answerT answer;
    for (const wire::share_ask_entry& entry : ask.entries) {
      const auto name = names_.find(entry.workspace());
      // Not lent by two hosts at a time where the views of the hosts differ:
      // the asker then makes do with its equal part.
      if (name == names_.end() || AllocatorOf(name->second) != Self()) {
        continue;
      }
      answer.entries.push_back(
          ToWire(allocator_.Ask(from, FromWire(entry, name->second),
                                limits_.at(name->second), now_())));
    }
    return answer;
  }

  void TellChanges() {
    auto shares = Shares();
    if (Same(shares, told_)) {
      return;
    }
    told_ = std::move(shares);
    const auto on_change = on_change_;
    if (on_change) {
      on_change();
    }
  }

  peer_node& peers_;
  now_function now_;
  const membership_view& view_;
  std::function<void()> on_change_;
  share_divider divider_;
  share_allocator allocator_;
  asio::steady_timer timer_;
  bool stopped_ = false;
  std::map<std::string, workspace_limits> limits_;
  std::map<std::uint64_t, std::string> names_;  ///< By hash, as on the wire.
  std::map<std::string, workspace_share> told_;
};

share_service::share_service(asio::io_context& context, peer_node& peers,
                             now_function now, const membership_view& view,
                             const share_rules& rules,
                             std::function<void()> on_change)
    : impl_(std::make_shared<impl>(context, peers, std::move(now), view, rules,
                                   std::move(on_change))) {}

share_service::~share_service() { impl_->Stop(); }

void share_service::Start() { impl_->Start(); }

void share_service::UseWorkspaces(
    const std::map<std::string, workspace_config>& workspaces) {
  impl_->UseWorkspaces(workspaces);
}

void share_service::UseDemand(const std::string& workspace,
                              const workspace_demand& demand) {
  impl_->Divider().UseDemand(workspace, demand);
}

std::map<std::string, workspace_share> share_service::Shares() const {
  return impl_->Shares();
}

}  // namespace slatestall
