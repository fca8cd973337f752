#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/peer/frame_codec.h"
#include "slatestall/peer/frame_splitter.h"
#include "slatestall/peer/gossip_exchange.h"

namespace slatestall {

struct gossip_host {
  std::string name;
  bool up = true;
  std::unique_ptr<membership_view> view;
  std::unique_ptr<gossip_exchange> exchange;
};

/// @brief Runs the pure exchange of some hosts in one process for tests and
/// the bench. Time is a counter; messages pass the codec and are counted.
class gossip_group {
 public:
  gossip_group(std::size_t count, std::size_t domains) {
    for (std::size_t i = 0; i < count; ++i) {
      list_.push_back({"entry-" + std::to_string(i),
                       "10.0." + std::to_string(i / 250) + "." +
                           std::to_string(i % 250) + ":8081",
                       "domain-" + std::to_string(i % domains), false});
      index_[list_[i].host] = i;
    }
    for (std::size_t i = 0; i < count; ++i) {
      hosts_.push_back(NewHost(i));
    }
  }

  std::vector<gossip_host>& Hosts() { return hosts_; }
  const std::vector<listed_member>& List() const { return list_; }
  time_point Now() const { return now_; }
  std::uint64_t Messages() const { return messages_; }
  std::uint64_t Bytes() const { return bytes_; }

  /// @brief Whether a message from one host gets to the other now.
  std::function<bool(std::size_t from, std::size_t to)> reaches;

  std::uint64_t Random() {
    random_ = random_ * 6364136223846793005U + 1442695040888963407U;
    return random_ >> 33U;
  }

  void RunFor(duration time, const std::function<bool()>& done = nullptr) {
    const time_point end = now_ + time;
    for (int step = 0; now_ < end; ++step) {
      if (done && step % kStepsToCheck == 0 && done()) {
        return;
      }
      now_ += kStep;
      Deliver();
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i].up && now_ >= hosts_[i].exchange->DueAt()) {
          Begin(i);
        }
      }
      if (now_.time_since_epoch() % std::chrono::seconds(1) == kStep) {
        Tick();
      }
    }
  }

  /// @brief Whether all hosts that are up fulfil it.
  bool All(const std::function<bool(const gossip_host&)>& holds) const {
    return std::all_of(
        hosts_.begin(), hosts_.end(),
        [&](const gossip_host& host) { return !host.up || holds(host); });
  }

 private:
  static constexpr milliseconds kHop{5};
  static constexpr milliseconds kStep{5};
  static constexpr int kStepsToCheck = 10;  // Times are exact to 50 ms.
  static constexpr milliseconds kCallTimeout{1'000};

  struct delivery {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const delivery& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  gossip_host NewHost(std::size_t i) {
    member_digest self;
    self.host = list_[i].host;
    self.version = {1000, StableHash(self.host), 0};
    self.peer_address = list_[i].peer_address;
    self.failure_domain = list_[i].failure_domain;
    gossip_options options;
    options.seed = i + 1;
    gossip_host host;
    host.name = self.host;
    host.view =
        std::make_unique<membership_view>(self, membership_options(), now_);
    host.view->UseList(list_, now_);
    // Hosts start at different moments of a round.
    const time_point start =
        now_ + milliseconds(Random() % options.round.count());
    host.exchange =
        std::make_unique<gossip_exchange>(*host.view, options, start);
    return host;
  }

  void Tick() {
    for (gossip_host& host : hosts_) {
      host.view->Tick(now_);
      host.exchange->Tick(now_);
    }
  }

  void Later(duration after, std::function<void()> run) {
    pending_.push({now_ + after, order_++, std::move(run)});
  }

  void Deliver() {
    while (!pending_.empty() && pending_.top().at <= now_) {
      const auto run = pending_.top().run;
      pending_.pop();
      run();
    }
  }

  std::shared_ptr<wire::gossipT> OverTheWire(wire::gossipT message,
                                             bool is_reply) {
    wire::frameT frame;
    frame.call = 1;
    frame.is_reply = is_reply;
    frame.body = MakeMessage(std::move(message));
    const std::string bytes = EncodeFrame(frame);
    ++messages_;
    bytes_ += bytes.size();
    const auto decoded =
        DecodeFrame({bytes.begin() + kFrameHeaderBytes, bytes.end()});
    return std::make_shared<wire::gossipT>(
        std::move(*decoded->body.Asgossip()));
  }

  bool Reaches(std::size_t from, std::size_t to) const {
    return hosts_[to].up && (!reaches || reaches(from, to));
  }

  void Begin(std::size_t from) {
    for (const std::string& target : hosts_[from].exchange->TakeTargets(now_)) {
      const std::size_t to = index_.at(target);
      const auto request =
          OverTheWire(hosts_[from].exchange->MakeRequest(now_), false);
      Later(kHop, [this, from, to, request] { Arrive(from, to, *request); });
    }
  }

  void Arrive(std::size_t from, std::size_t to, const wire::gossipT& request) {
    const auto fail = [this, from, to] {
      hosts_[from].exchange->ExchangeFailed(hosts_[to].name, now_);
    };
    if (!Reaches(from, to)) {
      Later(kCallTimeout, fail);
      return;
    }
    const auto reply = OverTheWire(
        hosts_[to].exchange->TakeRequest(request, hosts_[from].name, now_),
        true);
    if (!Reaches(to, from)) {
      Later(kCallTimeout, fail);
      return;
    }
    Later(kHop, [this, from, to, reply] {
      hosts_[from].exchange->TakeReply(*reply, hosts_[to].name, now_);
    });
  }

  time_point now_ = time_point(std::chrono::seconds(1000));
  std::vector<listed_member> list_;
  std::map<std::string, std::size_t> index_;
  std::vector<gossip_host> hosts_;
  std::priority_queue<delivery> pending_;
  std::uint64_t order_ = 0;
  std::uint64_t random_ = 7;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace slatestall
