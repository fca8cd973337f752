#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/policy/config_record.h"

namespace slatestall {

/// @brief Parses and checks a source; nothing where it has a problem. Equal
/// on all hosts, for all must accept and refuse alike.
/// @ingroup policy
using check_configuration =
    std::function<std::optional<configuration>(const std::string& source)>;

/// @brief What the order of the log decided on one publication.
struct config_verdict {
  std::uint64_t offset = 0;
  std::string publication;
  bool accepted = false;
  config_revision head = 0;  ///< After the record.
  std::string reason;        ///< Why it was refused.
};

/// @brief How far the log can be believed.
enum class log_trust {
  kStarting,  ///< Not read to its end yet.
  kTrusted,
  kNoAnchor,  ///< Records expired before a republication: head unknown.
  kLostData,  ///< Ends before an offset that it had already given.
  kDiverged,  ///< Holds another record where this host has read one.
};

inline constexpr name_table<log_trust, 5> kLogTrustNames{{
    {log_trust::kStarting, "starting"},
    {log_trust::kTrusted, "trusted"},
    {log_trust::kNoAnchor, "no-anchor"},
    {log_trust::kLostData, "lost-data"},
    {log_trust::kDiverged, "diverged"},
}};

/// @brief Folds the records of the stream "config" into the accepted head,
/// the same for every reader wherever it starts, and keeps the revision that
/// this host obeys, which never goes back.
class config_history {
 public:
  explicit config_history(check_configuration check);

  /// @brief Offset to read from.
  std::uint64_t ReadFrom() const;
  /// @brief Lowest `next` that an answer to a read begun now may carry.
  std::uint64_t Floor() const { return seen_next_; }

  /// @brief Takes an answer of the log.
  /// @param floor `Floor()` as it was when the read was begun.
  /// @return Verdicts on the publications that it decided, in log order.
  std::vector<config_verdict> Take(const config_page& page,
                                   std::uint64_t floor);

  /// @brief Takes a head that a peer obeys.
  /// @param claim `read_to` 0 where the peer's own log reading is not
  /// anchored; the revision is then obeyed and nothing is folded from it.
  /// @param source Not looked at for the revision already obeyed.
  void TakePeerHead(const head_claim& claim, const std::string& source);

  /// @brief What this host obeys; null until there is one.
  const accepted_configuration_ptr& Obeyed() const { return obeyed_; }
  config_revision ObeyedRevision() const;

  /// @brief Head by the log alone, with how far it was read; nothing while
  /// the log cannot be judged.
  std::optional<head_claim> Head() const;
  log_trust Trust() const { return trust_; }

  /// @brief `read_to` of the newest republication, 0 for the log's beginning.
  std::uint64_t AnchorOffset() const { return anchor_offset_; }
  std::int64_t AnchorPublishedAt() const { return anchor_published_at_; }
  std::uint64_t FirstKept() const { return first_kept_; }

 private:
  struct anchor {
    head_claim claim;
    accepted_configuration_ptr configuration;  ///< Null for revision 0.
    std::int64_t published_at = 0;
  };

  bool Believable(const config_page& page, std::uint64_t floor);
  bool SameAsRead(const config_page& page) const;
  void ForgetUnread(std::uint64_t first);
  void Hold(const config_record& record);
  void TryAnchor(const config_page& page, std::vector<config_verdict>& out);
  void AnchorAt(const anchor& chosen, std::vector<config_verdict>& out);
  void FoldRecord(const config_record& record,
                  std::vector<config_verdict>& out);
  config_verdict Judge(const config_record& record);
  accepted_configuration_ptr Checked(config_revision revision,
                                     const std::string& source) const;
  void Obey(const accepted_configuration_ptr& next);

  check_configuration check_;
  accepted_configuration_ptr obeyed_;
  log_trust trust_ = log_trust::kStarting;

  bool anchored_ = false;
  config_revision head_ = 0;      ///< Valid while anchored.
  std::uint64_t position_ = 0;    ///< Next offset to take.
  std::uint64_t seen_next_ = 0;   ///< Highest end of the log seen.
  std::uint64_t first_kept_ = 0;  ///< Oldest offset the log kept last.
  std::uint64_t anchor_offset_ = 0;
  std::int64_t anchor_published_at_ = 0;
  std::uint64_t last_hash_ = 0;  ///< Of the record before `position_`.
  std::uint64_t last_offset_ = 0;
  bool verify_last_ = false;

  std::uint64_t window_first_ = 0;  ///< Every record since is in `held_`.
  std::deque<config_record> held_;  ///< Read but not judged: no anchor yet.
  std::size_t held_bytes_ = 0;
  std::optional<anchor> candidate_;
};

}  // namespace slatestall
