#include "slatestall/peer/gossip_service.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "slatestall/peer/frame_codec.h"

namespace slatestall {
namespace {

constexpr milliseconds kUpkeep{1'000};

bool SamePeers(const std::vector<peer_address>& left,
               const std::vector<peer_address>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const peer_address& a, const peer_address& b) {
                      return a.host == b.host && a.address == b.address;
                    });
}

}  // namespace

class gossip_service::impl
    : public std::enable_shared_from_this<gossip_service::impl> {
 public:
  impl(asio::io_context& context, peer_node& peers, now_function now,
       member_digest self, const gossip_service_options& options,
       std::function<void()> on_change)
      : peers_(peers),
        now_(std::move(now)),
        self_(self.host),
        options_(options),
        on_change_(std::move(on_change)),
        view_(std::move(self), options.membership, now_()),
        exchange_(view_, options.exchange, now_()),
        timer_(context) {}

  void Start() {
    peers_.Handle(
        wire::message::gossip,
        [weak = weak_from_this()](const auto& request, const std::string& from,
                                  const auto& reply) {
          if (const auto self = weak.lock()) {
            self->Answer(*request.Asgossip(), from, reply);
          }
        });
    Settle();
  }

  void Stop() {
    stopped_ = true;
    on_change_ = nullptr;
    timer_.cancel();
  }

  void UseList(const std::vector<listed_member>& list) {
    view_.UseList(list, now_());
    UsePeers();
    Settle();
  }

  membership_view& View() { return view_; }
  gossip_exchange& Exchange() { return exchange_; }
  time_point Now() const { return now_(); }

  /// Ends each event: tells the owner of changes and sets the timer.
  void Settle() {
    Arm();
    const std::uint64_t print = Fingerprint();
    if (print == told_) {
      return;
    }
    told_ = print;
    const auto on_change = on_change_;
    if (on_change) {
      on_change();
    }
  }

 private:
  void Answer(const wire::gossipT& request, const std::string& from,
              const std::function<void(wire::messageUnion)>& reply) {
    reply(MakeMessage(exchange_.TakeRequest(request, from, now_())));
    Settle();
  }

  void Arm() {
    const time_point due = exchange_.DueAt();
    if (armed_ && armed_for_ <= due) {
      return;
    }
    armed_ = true;
    armed_for_ = due;
    timer_.expires_after(std::max(due - now_(), duration::zero()));
    timer_.async_wait([weak = weak_from_this()](const std::error_code& error) {
      const auto self = weak.lock();
      if (!error && self != nullptr && !self->stopped_) {
        self->armed_ = false;
        self->OnTimer();
      }
    });
  }

  void OnTimer() {
    const time_point now = now_();
    if (now - kept_up_at_ >= kUpkeep) {
      kept_up_at_ = now;
      view_.Tick(now);
      exchange_.Tick(now);
      UsePeers();
    }
    for (const std::string& target : exchange_.TakeTargets(now)) {
      peers_.Call(target, MakeMessage(exchange_.MakeRequest(now)),
                  options_.call_timeout,
                  [weak = weak_from_this(), target](const peer_reply& reply) {
                    if (const auto self = weak.lock()) {
                      self->TakeEnd(target, reply);
                    }
                  });
    }
    Settle();
  }

  void TakeEnd(const std::string& target, const peer_reply& reply) {
    const wire::gossipT* news =
        reply.end == peer_call_end::kReplied ? reply.body.Asgossip() : nullptr;
    if (news != nullptr) {
      exchange_.TakeReply(*news, target, now_());
    } else {
      exchange_.ExchangeFailed(target, now_());
    }
    Settle();
  }

  void UsePeers() {
    std::vector<peer_address> peers;
    for (const auto& [host, known] : view_.Members()) {
      if (host != self_ && known.state != member_state::kGone &&
          !known.digest.peer_address.empty()) {
        peers.push_back({host, known.digest.peer_address});
      }
    }
    if (!SamePeers(peers, used_peers_)) {
      used_peers_ = std::move(peers);
      peers_.SetPeers(used_peers_);
    }
  }

  std::uint64_t Fingerprint() const {
    std::uint64_t print = exchange_.ChangeCount();
    for (const auto& [host, known] : view_.Members()) {
      print = print * 31 + known.name_hash +
              static_cast<std::uint64_t>(known.state);
    }
    return print;
  }

  peer_node& peers_;
  now_function now_;
  std::string self_;
  gossip_service_options options_;
  std::function<void()> on_change_;
  membership_view view_;
  gossip_exchange exchange_;
  asio::steady_timer timer_;
  bool stopped_ = false;
  bool armed_ = false;
  time_point armed_for_{};
  time_point kept_up_at_{};
  std::uint64_t told_ = 0;
  std::vector<peer_address> used_peers_;
};

gossip_service::gossip_service(asio::io_context& context, peer_node& peers,
                               now_function now, member_digest self,
                               const gossip_service_options& options,
                               std::function<void()> on_change)
    : impl_(std::make_shared<impl>(context, peers, std::move(now),
                                   std::move(self), options,
                                   std::move(on_change))) {}

gossip_service::~gossip_service() { impl_->Stop(); }

void gossip_service::Start() { impl_->Start(); }

void gossip_service::UseList(const std::vector<listed_member>& list) {
  impl_->UseList(list);
}

void gossip_service::SetRevision(config_revision revision) {
  impl_->Exchange().UseRevision(revision, impl_->Now());
  impl_->Settle();
}

void gossip_service::SetDraining() {
  impl_->View().SetDraining(impl_->Now());
  impl_->Settle();
}

void gossip_service::SetDrained(const std::string& successor) {
  impl_->View().SetDrained(successor, impl_->Now());
  impl_->Settle();
}

void gossip_service::NoteEndpoint(const std::string& address,
                                  wire::notice_kind kind) {
  impl_->Exchange().NoteEndpoint(address, kind, impl_->Now());
  impl_->Settle();
}

const membership_view& gossip_service::View() const { return impl_->View(); }

std::vector<endpoint_observation> gossip_service::Notices() const {
  return impl_->Exchange().Notices();
}

config_revision gossip_service::Head() const {
  return impl_->Exchange().Head();
}

std::uint32_t GenerationNow() {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace slatestall
