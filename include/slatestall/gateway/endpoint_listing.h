#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/dispatch/endpoint_record.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief The list of endpoints as a host has read it, through outages of the
/// store. Pure state; the time comes in.
///
/// Entries lapse when an endpoint cannot write to the store, also for the
/// store's own fault. Those that vanish during an outage are kept until a
/// little after it: living endpoints are back by then.
///
/// Records may come late, from another host or an older read. One of an earlier
/// run of an endpoint changes nothing: its "leaving" would take the new run
/// out, its "ready" would have work sent to results that are gone.
/// @ingroup gateway
class endpoint_listing {
 public:
  /// @param return_time How long after an outage living endpoints may take to
  /// be listed again.
  explicit endpoint_listing(milliseconds return_time)
      : return_time_(return_time) {}

  /// @brief One changed entry.
  void Put(const known_endpoint& endpoint);
  /// @brief An entry that cannot be read: its key names no endpoint until a
  /// readable one is written there, which a living endpoint does within a beat.
  void Withdraw(const std::string& id) { entries_.erase(id); }
  /// @brief One deleted entry.
  void Drop(const std::string& id, time_point now);
  /// @brief The whole list was read anew.
  void ReplaceAll(const std::vector<known_endpoint>& listed, time_point now);

  /// @brief The whole list was read of a store that came back from an older
  /// copy: entries may be missing, and others be those of endpoints that have
  /// left. A living endpoint writes its own again.
  void AddRestored(const std::vector<known_endpoint>& listed);

  /// @brief A read succeeded, or not.
  void NoteRead(bool succeeded, time_point now);
  /// @returns whether entries were dropped since their return time is over.
  bool DropOverdue(time_point now);

  /// @returns all, in order of their ids.
  std::vector<known_endpoint> Listed() const;
  /// @returns nothing where it is not listed.
  std::optional<known_endpoint> Find(const std::string& id) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    known_endpoint endpoint;
    std::optional<time_point> missing_since;  ///< Vanished in an outage.
  };

  /// Whether what is read now shows what went on in an outage.
  bool SeesOutage(time_point now) const;
  bool InOutage(time_point now) const;
  void LimitStarts();

  milliseconds return_time_;
  std::map<std::string, entry> entries_;
  /// Start of the newest run seen of each id, also of those that are gone.
  std::map<std::string, std::int64_t> newest_starts_;
  bool failing_ = false;
  std::optional<time_point> outage_over_;
};

/// @brief What has changed of a list since it was last passed on. An id is
/// either in `put` or in `gone`, and once.
struct listing_changes {
  std::vector<known_endpoint> put;   ///< New, or listed otherwise than before.
  std::vector<std::string> added;    ///< Ids of those in `put` that are new.
  std::vector<std::string> leaving;  ///< Of those that have begun to leave.
  std::vector<std::string> gone;

  bool IsEmpty() const { return put.empty() && gone.empty(); }
};

/// @brief A list of endpoints as it was passed on to those who use it, so that
/// a change costs by what has changed, however long the list is.
class passed_listing {
 public:
  /// Endpoints as they are now, by id; nothing: not listed.
  using endpoint_states = std::map<std::string, std::optional<known_endpoint>>;

  /// @brief Takes the states of some endpoints.
  listing_changes Change(const endpoint_states& states);
  /// @brief Takes a whole list.
  listing_changes Replace(const std::vector<known_endpoint>& listed);

  /// @returns null where it was not passed on.
  const known_endpoint* Find(const std::string& id) const;
  const std::map<std::string, known_endpoint>& All() const { return passed_; }

 private:
  void Remove(const std::string& id, listing_changes& changes);
  void Put(const known_endpoint& endpoint, listing_changes& changes);

  std::map<std::string, known_endpoint> passed_;
};

}  // namespace slatestall
