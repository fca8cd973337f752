#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "slatestall/node/outcome_service.h"
#include "slatestall/node/outcome_test_time.h"
#include "slatestall/policy/key_text.h"

namespace slatestall::outcome_test {

/// @brief How often things go wrong, in parts of 1.
struct fault_rates {
  double lost_append_answer = 0;
  double late_append = 0;  ///< Lands after its timeout was reported.
  double refused_append = 0;
  double lost_peer_message = 0;
  double wrongly_gone = 0;  ///< A live holder is reported as gone.
};

/// @brief Several hosts with real outcome services over a fake log and fake
/// peers, all in one thread and in virtual time.
class test_world {
 public:
  test_world(std::uint64_t seed, int hosts, const outcome_options& options)
      : options_(options), random_(seed) {
    options_.run_timer = false;
    options_.key_secret = seed | 1U;
    options_.wall_clock = [this] {
      return std::chrono::duration_cast<std::chrono::seconds>(
                 time_.Now().time_since_epoch())
          .count();
    };
    for (int number = 0; number < hosts; ++number) {
      hosts_["e" + std::to_string(number)] = std::make_unique<host>();
    }
    for (const auto& [name, at] : hosts_) {
      Start(name);
    }
  }

  virtual_time& Time() { return time_; }
  fault_rates& Faults() { return faults_; }
  /// Of hosts started from now on.
  outcome_options& Options() { return options_; }
  std::mt19937_64& Random() { return random_; }
  bool Chance(double rate) {
    return std::uniform_real_distribution<>(0, 1)(random_) < rate;
  }
  milliseconds Between(int low, int high) {
    return milliseconds{std::uniform_int_distribution<>(low, high)(random_)};
  }

  std::vector<std::string> HostNames() const {
    std::vector<std::string> names;
    for (const auto& [name, at] : hosts_) {
      names.push_back(name);
    }
    return names;
  }
  bool IsAlive(const std::string& name) const {
    return hosts_.at(name)->service != nullptr;
  }
  bool IsDrained(const std::string& name) const {
    return drained_.contains(hosts_.at(name)->id);
  }
  host_id IdOf(const std::string& name) const { return hosts_.at(name)->id; }
  outcome_guard& Guard(const std::string& name) {
    return hosts_.at(name)->guard;
  }
  outcome_counters Counters(const std::string& name) const {
    return hosts_.at(name)->service->Counters();
  }

  /// Runs `work` on the host, later if it is paused, never if it has gone.
  void OnHost(const std::string& name, const std::function<void()>& work) {
    host& at = *hosts_.at(name);
    const std::uint64_t incarnation = at.id.incarnation;
    if (time_.Now() < at.paused_until) {
      time_.At(at.paused_until, [this, name, incarnation, work] {
        OnSameHost(name, incarnation, work);
      });
      return;
    }
    OnSameHost(name, incarnation, work);
  }

  void Start(const std::string& name) {
    host& at = *hosts_.at(name);
    at.id = {name, ++incarnations_};
    at.context = std::make_unique<asio::io_context>();
    at.paused_until = time_point{};
    at.service = std::make_unique<outcome_service>(
        *at.context, at.id, options_, FakeLog(name), FakePeers(name),
        [this] { return time_.Now(); });
    at.guard = at.service->Guard();
    TickSoon(name, at.id.incarnation);
  }

  void Kill(const std::string& name) {
    host& at = *hosts_.at(name);
    killed_.insert(at.id);
    killed_at_[at.id] = time_.Now();
    // A process that dies tells nobody anything.
    at.dying = true;
    at.service.reset();
    at.handlers.clear();
    at.context.reset();
    at.dying = false;
  }
  bool IsDying(const std::string& name) const { return hosts_.at(name)->dying; }

  void Pause(const std::string& name, milliseconds length) {
    hosts_.at(name)->paused_until = time_.Now() + length;
  }

  /// Drains the host; `done` runs once its successor is published.
  void Drain(const std::string& name, const std::function<void()>& done) {
    OnHost(name, [this, name, done] {
      const host_id id = hosts_.at(name)->id;
      hosts_.at(name)->service->Drain(
          [this, id, done](const std::string& successor) {
            drained_.insert(id);
            if (!successor.empty()) {
              successors_[id] = successor;
            }
            done();
          });
    });
  }

  void SetLogDown(bool down) { log_down_ = down; }
  void SetCutOff(const std::string& name, bool cut_off) {
    cut_off ? void(cut_off_.insert(name)) : void(cut_off_.erase(name));
  }
  /// Loses every reply to a handover that `name` sends.
  void LoseHandoverReplies(const std::string& name) {
    silent_successor_ = name;
  }
  /// Host that the newest handover was sent to first.
  std::string FirstHandoverTarget() const { return handover_target_; }
  std::string SuccessorOf(const std::string& name) const {
    const auto found = successors_.find(hosts_.at(name)->id);
    const auto id = found == successors_.end() ? std::nullopt
                                               : ParseHostText(found->second);
    return id ? id->name : "";
  }
  /// Lets the log forget all but the newest `kept` records of each stream.
  void DropRecords(std::size_t kept) {
    for (auto& [name, stream] : streams_) {
      const std::size_t all = stream.records.size();
      stream.first =
          std::max<std::uint64_t>(stream.first, all > kept ? all - kept : 0);
    }
  }
  bool WasKilled(const host_id& id) const { return killed_.contains(id); }
  std::uint64_t Appends() const { return appends_; }

 private:
  struct host {
    host_id id;
    std::unique_ptr<asio::io_context> context;
    std::unique_ptr<outcome_service> service;
    outcome_guard guard;
    std::map<wire::message, peer_node::call_handler> handlers;
    time_point paused_until{};
    bool dying = false;
  };

  struct stream {
    std::vector<std::string> records;
    std::uint64_t first = 0;
    std::vector<std::function<void()>> waiting;
  };

  static constexpr milliseconds kTick{20};
  static constexpr milliseconds kLogTimeout{400};
  static constexpr milliseconds kDeathNoticed{1500};
  static constexpr std::size_t kRecordsPerRead = 4;

  void OnSameHost(const std::string& name, std::uint64_t incarnation,
                  const std::function<void()>& work) {
    host& at = *hosts_.at(name);
    if (at.service == nullptr || at.id.incarnation != incarnation) {
      return;
    }
    if (time_.Now() < at.paused_until) {
      time_.At(at.paused_until, [this, name, incarnation, work] {
        OnSameHost(name, incarnation, work);
      });
      return;
    }
    work();
    if (at.context != nullptr) {
      at.context->restart();
      at.context->poll();
    }
  }

  void TickSoon(const std::string& name, std::uint64_t incarnation) {
    time_.After(kTick, [this, name, incarnation] {
      const host& at = *hosts_.at(name);
      if (at.service == nullptr || at.id.incarnation != incarnation) {
        return;
      }
      OnSameHost(name, incarnation,
                 [this, name] { hosts_.at(name)->service->Tick(); });
      TickSoon(name, incarnation);
    });
  }

  /// Wraps a completion so that it runs on the host that asked.
  template <typename Result>
  std::function<void(milliseconds, Result)> Back(
      const std::string& name, std::function<void(Result)> done) {
    const std::uint64_t incarnation = hosts_.at(name)->id.incarnation;
    const auto once = std::make_shared<bool>(false);
    return [this, name, incarnation, once, done](milliseconds delay,
                                                 Result result) {
      time_.After(delay, [this, name, incarnation, once, done, result] {
        OnSameHost(name, incarnation, [once, done, result] {
          if (!std::exchange(*once, true)) {
            done(result);
          }
        });
      });
    };
  }

  log_service FakeLog(const std::string& name) {
    log_service log;
    log.append = [this, name](const std::string& to, const std::string& payload,
                              std::function<void(append_result)> done) {
      Append(to, payload, Back<append_result>(name, std::move(done)));
    };
    log.read = [this, name](const std::string& from_stream, log_offset from,
                            milliseconds wait,
                            std::function<void(read_result)> done) {
      const auto back = Back<read_result>(name, std::move(done));
      time_.After(Between(1, 10), [this, from_stream, from, wait, back] {
        Read(from_stream, from, time_.Now() + wait, back);
      });
    };
    return log;
  }

  void Append(const std::string& to, const std::string& payload,
              const std::function<void(milliseconds, append_result)>& back) {
    ++appends_;
    if (Chance(faults_.refused_append)) {
      back(Between(1, 10), {append_end::kRefused, 0, "too many"});
      return;
    }
    const bool late = Chance(faults_.late_append);
    const milliseconds arrival =
        late ? kLogTimeout + Between(1, 1500) : Between(1, 15);
    time_.After(arrival, [this, to, payload, late, back] {
      if (log_down_) {
        back(kLogTimeout, {append_end::kUnknown, 0, "down"});
        return;
      }
      stream& at = streams_[to];
      at.records.push_back(payload);
      const bool lost = late || Chance(faults_.lost_append_answer);
      if (lost) {
        back(kLogTimeout, {append_end::kUnknown, 0, "lost"});
      } else {
        back(Between(1, 15),
             {append_end::kAppended, at.records.size() - 1, ""});
      }
      for (const auto& waiting : std::exchange(at.waiting, {})) {
        waiting();
      }
    });
    if (late) {
      back(kLogTimeout, {append_end::kUnknown, 0, "late"});
    }
  }

  void Read(const std::string& name, log_offset from, time_point until,
            const std::function<void(milliseconds, read_result)>& back) {
    if (log_down_) {
      back(kLogTimeout, {});
      return;
    }
    stream& at = streams_[name];
    const log_offset start = std::max<log_offset>(from, at.first);
    if (start < at.records.size() || until <= time_.Now()) {
      read_result result;
      result.ok = true;
      result.first = at.first;
      result.next = at.records.size();
      for (log_offset offset = start; offset < at.records.size() &&
                                      result.records.size() < kRecordsPerRead;
           ++offset) {
        result.records.push_back({offset, at.records[offset]});
      }
      back(Between(1, 10), std::move(result));
      return;
    }
    // Answered once: by a record or by the end of the wait.
    const auto open = std::make_shared<bool>(true);
    const auto again = [this, name, from, until, back, open](bool at_end) {
      if (std::exchange(*open, false)) {
        Read(name, from, at_end ? time_.Now() : until, back);
      }
    };
    at.waiting.push_back([again] { again(false); });
    time_.At(until, [again] { again(true); });
  }

  outcome_peers FakePeers(const std::string& name) {
    outcome_peers peers;
    peers.call = [this, name](const std::string& to,
                              const wire::messageUnion& request,
                              milliseconds timeout,
                              std::function<void(peer_reply)> done) {
      const auto back = Back<peer_reply>(name, std::move(done));
      if (request.type == wire::message::key_handover &&
          handover_target_.empty()) {
        handover_target_ = to;
      }
      const bool reachable = hosts_.contains(to) && IsAlive(to) &&
                             !cut_off_.contains(to) && !cut_off_.contains(name);
      if (!reachable) {
        back(Between(1, 5), ReplyOf(peer_call_end::kNotSent, {}));
        return;
      }
      back(timeout, ReplyOf(peer_call_end::kUnknown, {}));
      if (!Chance(faults_.lost_peer_message)) {
        time_.After(Between(1, 10), [this, name, to, request, back] {
          DeliverCall(name, to, request, back);
        });
      }
    };
    peers.handle = [this, name](wire::message kind,
                                peer_node::call_handler handler) {
      hosts_.at(name)->handlers[kind] = std::move(handler);
    };
    peers.live_hosts = [this] {
      std::vector<std::string> live;
      for (const auto& [other, at] : hosts_) {
        const auto died = killed_at_.find(at->id);
        const bool noticed = died != killed_at_.end() &&
                             died->second + kDeathNoticed < time_.Now();
        if (!noticed && !drained_.contains(at->id)) {
          live.push_back(other);
        }
      }
      return live;
    };
    peers.presence = [this](const host_id& id) { return PresenceOf(id); };
    peers.successor = [this](const host_id& id) -> std::optional<std::string> {
      const auto found = successors_.find(id);
      return found == successors_.end() ? std::nullopt
                                        : std::optional(found->second);
    };
    return peers;
  }

  static peer_reply ReplyOf(peer_call_end end, wire::messageUnion body) {
    peer_reply reply;
    reply.end = end;
    reply.body = std::move(body);
    return reply;
  }

  void DeliverCall(const std::string& from, const std::string& to,
                   const wire::messageUnion& request,
                   const std::function<void(milliseconds, peer_reply)>& back) {
    OnHost(to, [this, from, to, request, back] {
      const auto& handler = hosts_.at(to)->handlers.at(request.type);
      const bool mute = to == silent_successor_ &&
                        request.type == wire::message::key_handover;
      handler(request, from, [this, back, mute](wire::messageUnion answer) {
        if (!mute && !Chance(faults_.lost_peer_message)) {
          back(Between(1, 10),
               ReplyOf(peer_call_end::kReplied, std::move(answer)));
        }
      });
    });
  }

  host_presence PresenceOf(const host_id& id) {
    if (!hosts_.contains(id.name) ||
        hosts_.at(id.name)->id.incarnation > id.incarnation) {
      return host_presence::kGone;
    }
    const auto died = killed_at_.find(id);
    if (died != killed_at_.end()) {
      return died->second + kDeathNoticed < time_.Now()
                 ? host_presence::kGone
                 : host_presence::kUnreachable;
    }
    if (Chance(faults_.wrongly_gone)) {
      return host_presence::kGone;
    }
    return cut_off_.contains(id.name) ? host_presence::kUnreachable
                                      : host_presence::kLive;
  }

  outcome_options options_;
  std::mt19937_64 random_;
  virtual_time time_;
  fault_rates faults_;
  std::map<std::string, std::unique_ptr<host>> hosts_;
  std::map<std::string, stream> streams_;
  std::map<host_id, std::string> successors_;
  std::set<host_id> drained_;
  std::set<host_id> killed_;
  std::map<host_id, time_point> killed_at_;
  std::set<std::string> cut_off_;
  std::string silent_successor_;
  std::string handover_target_;
  std::uint64_t incarnations_ = 100;
  std::uint64_t appends_ = 0;
  bool log_down_ = false;
};

}  // namespace slatestall::outcome_test
