#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "slatestall/dispatch/endpoint_record.h"

namespace slatestall {

/// @brief All endpoints by service, with what was learned of each.
///
/// Records outlive their entries: a store that was down, or was restored from a
/// copy, may list a leaving endpoint as ready again.
/// @ingroup dispatch
class endpoint_roster {
 public:
  /// @param may_avoid Whether endpoints are left alone after failures.
  /// @param uses_pace Whether the pace that endpoints report counts.
  explicit endpoint_roster(bool may_avoid = true, bool uses_pace = true)
      : may_avoid_(may_avoid), uses_pace_(uses_pace) {}

  void Replace(const std::vector<known_endpoint>& listed);
  /// @brief Takes what has changed of the list, at a cost by the changes.
  /// @param put New ones, and those listed otherwise than before.
  /// @param gone Ids that are no longer listed.
  void Apply(const std::vector<known_endpoint>& put,
             const std::vector<std::string>& gone);

  /// @brief An answer reported that the endpoint is leaving.
  /// @returns its record; null if that was known, or it was never listed.
  endpoint_record_ptr NoteLeaving(const endpoint_incarnation& run);

  /// @brief Listed endpoints that are leaving by their answers alone.
  std::vector<endpoint_incarnation> ReportedLeaving() const;

  /// @brief Endpoints of a service, leaving ones included.
  const std::vector<endpoint_record_ptr>& Of(const std::string& service) const;
  using endpoint_filter = std::function<bool(const known_endpoint&)>;
  /// @brief Whether some endpoint of a service takes work.
  /// @param may_use Which of them count; not set: all.
  bool HasUsable(const std::string& service,
                 const endpoint_filter& may_use = {}) const;
  /// @brief When the first endpoint of a service takes calls of this host.
  /// @returns nothing where no endpoint takes work.
  std::optional<time_point> OpensAt(const std::string& service,
                                    const endpoint_filter& may_use) const;
  /// @returns null where the incarnation is not listed.
  endpoint_record_ptr Find(const std::string& id) const;
  /// @brief The usable endpoint at "IP:port", or null.
  endpoint_record_ptr FindAt(const std::string& address) const;
  std::size_t size() const { return by_id_.size(); }

 private:
  endpoint_record_ptr RecordOf(const known_endpoint& endpoint);
  void List(const endpoint_record_ptr& record);
  void Unlist(const endpoint_record_ptr& record);
  endpoint_record_ptr TakeUnlisted(const endpoint_incarnation& run);
  std::deque<endpoint_record_ptr>::const_iterator Unlisted(
      const endpoint_incarnation& run) const;
  void KeepUnlisted(const endpoint_record_ptr& record);

  bool may_avoid_;
  bool uses_pace_;
  std::map<std::string, endpoint_record_ptr> by_id_;
  std::map<std::string, std::vector<endpoint_record_ptr>> by_service_;
  std::unordered_map<std::string, endpoint_record_ptr> by_address_;
  std::deque<endpoint_record_ptr> unlisted_;  ///< Oldest first.
  /// Listed, and leaving by an answer.
  std::vector<endpoint_record_ptr> reported_leaving_;
};

}  // namespace slatestall
