#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"
#include "slatestall/policy/lease_table.h"

namespace slatestall {

struct lease_options {
  milliseconds term{15'000};  ///< From sending the record that took effect.
  /// Taken off the term by the holder; more than two clocks can drift apart
  /// over a term.
  milliseconds margin{1'000};
  milliseconds renew_every{4'000};
  milliseconds give_up{3'000};  ///< On an append that was not seen.
};

/// @brief One host's part in one lease: when to write to the log, and whether
/// it may act as the holder at this moment. Times are monotonic and its own.
/// @ingroup policy
class lease_keeper {
 public:
  /// @param delay How long this host leaves a free lease to others first.
  lease_keeper(std::string lease, host_id self, lease_options options,
               milliseconds delay);

  // Commands.

  void SetDelay(milliseconds delay) { delay_ = delay; }
  /// @brief Takes a record of the lease that was read, and whether it took
  /// effect.
  void Saw(const lease_record& record, bool took_effect,
           const lease_table& table, time_point now);
  /// @brief The record to append now, if any; counts as sent.
  /// @param id Of the append.
  /// @param read_to How far the stream has been read.
  std::optional<lease_record> TakeDue(const lease_table& table,
                                      std::uint64_t read_to,
                                      const std::string& id, time_point now);
  /// @brief The stream was read to its end; before, nothing is judged.
  void CaughtUp(time_point now);
  /// @brief Gives the lease up at once, and writes that at the next `TakeDue`.
  void Resign();

  // Queries.

  /// @brief Fencing number while this host may act as holder. To be asked
  /// right before each order leaves: a host that was paused since its last
  /// check finds its time over.
  std::optional<std::uint64_t> Fencing(time_point now) const;

 private:
  struct sent_record {
    std::string id;
    time_point at;
  };

  bool IsFree(const lease_table& table, time_point now) const;
  bool HoldsByLog(const lease_table& table) const;
  std::optional<lease_record> Send(lease_action action, std::uint64_t read_to,
                                   const std::string& id, time_point now);

  std::string lease_;
  host_id self_;
  lease_options options_;
  milliseconds delay_;
  bool caught_up_ = false;
  bool resigned_ = false;
  std::optional<sent_record> sent_;
  time_point last_seen_{};     ///< A record of the lease was read.
  time_point renewed_at_{};    ///< The last one in effect was sent.
  std::uint64_t fencing_ = 0;  ///< 0: not the holder.
};

}  // namespace slatestall
