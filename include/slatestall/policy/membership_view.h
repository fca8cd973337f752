#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/policy/membership_types.h"

namespace slatestall {

struct membership_options {
  int failures_to_suspect = 2;  ///< Contacts that failed one after another.
  /// A host that cannot be reached from here is not tried, nor its suspicion
  /// repeated, for this long.
  std::chrono::seconds unreachable_pause{20};
  std::chrono::seconds heartbeat{120};  ///< Between words of a quiet host.
  /// After a run was heard of for so long, every earlier run is over.
  std::chrono::seconds run_settled{30};
  /// After this an unlisted host that is suspected or draining is gone.
  std::chrono::seconds unlisted_suspect_gone{10};
  /// After this without a word an unlisted host is gone.
  std::chrono::seconds unlisted_unheard_gone{300};
  /// How long gone hosts, and who has their keys, are remembered.
  std::chrono::hours memory{13};
  std::size_t max_remembered = 4096;
};

/// @brief Who belongs to the system: the platform's lagging list, corrected by
/// what hosts say of themselves and by what contacts show. No quorum: every
/// host judges alone, from inputs that reach all of them.
/// @ingroup policy
class membership_view {
 public:
  membership_view(member_digest self, membership_options options,
                  time_point now);

  // Commands.

  /// @brief Replaces the last list that was fetched.
  void UseList(const std::vector<listed_member>& list, time_point now);
  /// @brief Takes a host's word on itself, relayed or not. Empty addresses,
  /// domains and successors keep what is known.
  /// @return Whether it was news.
  bool TakeDigest(const member_digest& digest, time_point now);
  /// @brief Takes another host's suspicion. One against this host is refuted
  /// by a newer word of its own.
  /// @return Whether it was news.
  bool TakeSuspicion(const std::string& host, const member_version& version,
                     time_point now);
  /// @brief The host called this one: it runs, but may be out of reach.
  void HeardFrom(const std::string& host, time_point now);
  /// @brief A call to the host was answered.
  void ContactSucceeded(const std::string& host, time_point now);
  /// @return Whether the host became a suspect by this.
  bool ContactFailed(const std::string& host, time_point now);

  /// @brief What this host says of itself from now on.
  void SetRevision(config_revision revision, time_point now);
  void SetDraining(time_point now);
  void SetDrained(const std::string& successor, time_point now);

  /// @brief Heartbeat and ageing; call about once a second.
  void Tick(time_point now);

  // Queries.

  const member& Self() const;
  /// @brief All members by name, this host and gone ones included.
  const std::map<std::string, member>& Members() const { return members_; }
  const member* Find(const std::string& host) const;
  /// @brief Names of live hosts, this one included unless it drains; in order.
  std::vector<std::string> LiveHosts() const;
  /// @brief Hosts that may be admitting requests: all but gone and drained
  /// ones. Suspects count, since the other side of a partition goes on.
  std::uint32_t KnownHosts() const;
  /// @brief Hosts among `KnownHosts` that are neither suspects nor out of
  /// reach from here.
  std::uint32_t ReachableHosts() const;
  /// @brief Whether this run of the host has ended: a later one took its
  /// place, or the host is gone. False while that is not known.
  bool HasEnded(const host_id& host, time_point now) const;
  /// @brief What a drained run said of its keys; nothing while not drained.
  std::optional<std::string> SuccessorOf(const host_id& host) const;

 private:
  struct drained_run {
    std::string successor;
    time_point learned_at{};
  };

  member& Own();
  void Say(time_point now);
  void Adopt(member& known, const member_digest& digest, time_point now);
  void Outrun(const member_version& version, time_point now);
  bool DoubtsItself() const;
  member_state Judge(const member& known, time_point now) const;
  void Rejudge(time_point now);
  void Forget(time_point now);

  std::string self_;
  membership_options options_;
  std::map<std::string, member> members_;
  std::map<host_id, drained_run> drained_;
  std::set<std::string> failed_in_a_row_;  ///< Since any contact succeeded.
  time_point said_at_{};
};

}  // namespace slatestall
