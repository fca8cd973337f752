#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "slatestall/model/time.h"
#include "slatestall/peer/messages_generated.h"
#include "slatestall/policy/membership_view.h"

namespace slatestall {

/// @brief What a host noticed about an endpoint.
/// @ingroup peer
struct endpoint_observation {
  std::string address;
  wire::notice_kind kind = wire::notice_kind::leaving;
  time_point seen_at{};  ///< By the host that saw it first-hand.
};

struct gossip_options {
  milliseconds round{1'000};
  std::size_t fanout = 2;  ///< Hosts a round: one of the own domain, others.
  /// Urgent news leaves after this time, together with what else came.
  milliseconds urgent_delay{150};
  std::size_t urgent_fanout = 3;
  int rumor_sends = 4;         ///< Less one for each time it is heard again.
  std::size_t max_marks = 48;  ///< A message; digests and notices likewise.
  std::size_t max_digests = 8;
  std::size_t max_notices = 64;
  std::size_t max_known_notices = 4096;
  std::chrono::seconds notice_lifetime{120};
  std::uint64_t seed = 1;
};

/// @brief What hosts tell each other of membership, configuration head and
/// endpoints: news is passed on a few times, and sums over parts of what is
/// known find what the news missed. Pure: no I/O, no clock.
class gossip_exchange {
 public:
  /// @param view Outlives this object; its owner may change it in between.
  gossip_exchange(membership_view& view, gossip_options options,
                  time_point now);

  // Commands.

  /// @brief This host saw it itself.
  void NoteEndpoint(const std::string& address, wire::notice_kind kind,
                    time_point now);
  /// @brief Takes a configuration head heard of in any way.
  void NoteHead(config_revision revision, time_point now);

  /// @brief This host has the revision in force. The head is passed on at once,
  /// and that this host has it with its next other word.
  void UseRevision(config_revision revision, time_point now);

  /// @brief Hosts to exchange with now; empty before `DueAt`.
  std::vector<std::string> TakeTargets(time_point now);
  wire::gossipT MakeRequest(time_point now);
  /// @return The reply.
  wire::gossipT TakeRequest(const wire::gossipT& request,
                            const std::string& from, time_point now);
  void TakeReply(const wire::gossipT& reply, const std::string& from,
                 time_point now);
  void ExchangeFailed(const std::string& target, time_point now);
  /// @brief Drops notices past their lifetime; call about once a second.
  void Tick(time_point now);

  // Queries.

  time_point DueAt() const;
  std::vector<endpoint_observation> Notices() const;
  /// @brief Highest head heard of; 0: none.
  config_revision Head() const { return head_; }
  /// @brief Grows with each change of members, notices or head by a message.
  std::uint64_t ChangeCount() const { return changes_; }

 private:
  struct rumor {
    int sends_left = 0;
    bool urgent = false;  ///< And not sent yet.
  };
  using notice_key = std::pair<std::string, wire::notice_kind>;

  // Merging.
  void NoteOwnChanges(time_point now);
  void SayRevision(time_point now);
  void TakeDigests(const wire::gossipT& message, time_point now,
                   std::vector<std::string>* stale);
  void TakeMarks(const wire::gossipT& message, time_point now,
                 std::vector<std::string>* stale);
  void TakeWord(const member_digest& digest, time_point now,
                std::vector<std::string>* stale);
  void TakeSuspicion(const std::string& host, const member_version& version,
                     time_point now, std::vector<std::string>* stale);
  void TakeNotices(const wire::gossipT& message, time_point now);
  void StartRumor(const std::string& host, bool urgent, time_point now);
  void HeardAgain(const std::string& host);
  void HurryUp(time_point now);

  // Building.
  wire::gossipT NewMessage(time_point now);
  void AddRumors(wire::gossipT& message, const wire::gossipT* request,
                 time_point now);
  bool Tells(const wire::gossipT& message, const std::string& host) const;
  static bool Tells(const wire::gossipT& message, const notice_key& key);
  void AddMember(wire::gossipT& message, const std::string& host,
                 time_point now) const;
  void AddNotice(wire::gossipT& message, const notice_key& key,
                 time_point now) const;
  std::unique_ptr<wire::bucket_sumsT> NewSums(std::size_t entries);
  void AddHostSums(wire::bucket_sumsT& sums) const;
  void AddNoticeSums(wire::bucket_sumsT& sums) const;
  void AddMissing(wire::gossipT& reply, const wire::gossipT& request,
                  time_point now) const;
  bool NeedsTexts(const member& known, time_point now) const;
  static std::uint64_t HashOf(const notice_key& key);

  // Names behind the hashes in marks.
  void LearnNames();
  const std::string* NameOf(std::uint32_t hash);

  // Choice of targets.
  std::uint64_t Random();
  void AddTarget(std::vector<std::string>& targets,
                 std::vector<std::string>& candidates);
  std::vector<std::string> RoundTargets(time_point now);

  membership_view& view_;
  gossip_options options_;
  std::map<std::string, rumor> host_rumors_;
  std::map<notice_key, rumor> notice_rumors_;
  std::map<notice_key, time_point> notices_;
  std::unordered_map<std::uint32_t, std::string> names_;  ///< "": ambiguous.
  std::size_t names_known_ = 0;
  member_digest announced_;
  config_revision head_ = 0;
  config_revision in_force_ = 0;  ///< Here; what is said of it lags.
  time_point next_round_;
  time_point urgent_at_ = time_point::max();
  std::uint64_t rounds_ = 0;
  std::uint64_t random_state_;
  std::uint64_t changes_ = 0;
};

}  // namespace slatestall
