#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief How long the parts of a reserve of repeats last.
///
/// Each is counted by two clocks, of which neither is trusted to run as fast
/// as the other (2 in 100 at most); `Outlasting` is what the one that must wait
/// longer waits.
/// @ingroup dispatch
struct reserve_times {
  milliseconds window{10'000};  ///< In which the reserve is counted.
  /// A host list that is older says too little of who else draws on it.
  milliseconds list_age{10'000};
  /// A host that has not renewed its entry for so long stops drawing on it.
  milliseconds entry_age{90'000};
  milliseconds loan{2'000};   ///< How long a pool may grant what it was lent.
  milliseconds grant{2'000};  ///< How long a host may use what it was granted.

  static reserve_times For(milliseconds window) {
    reserve_times times;
    times.window = window;
    return times;
  }
  static duration Outlasting(duration time) {
    constexpr int kClockErrorPart = 50;
    return time + time / kClockErrorPart;
  }
  /// From a host's first entry on: lists without it are no longer used, and
  /// what was drawn by them is out of the window.
  duration Settling() const {
    return Outlasting(list_age + window + loan + grant);
  }
  /// From the last renewal of an entry on: others may leave its host out of
  /// their count, since what it has drawn is out of the window.
  duration EntryLife() const { return Outlasting(entry_age) + Settling(); }
};

/// @brief What a host knows of how many draw on the reserve.
struct host_census {
  std::size_t hosts = 0;
  time_point read_at{};       ///< The list is at least as recent.
  time_point announced_at{};  ///< Own entry: last renewed at or after.
};

/// @brief The life of a pool and its clock. A loan names one that the pool has
/// told, so that it ends by the pool's own clock however long it was under way.
struct reserve_stamp {
  std::uint64_t life = 0;
  std::uint64_t at_ms = 0;
};

struct reserve_loan {
  reserve_stamp stamp;
  double repeats = 0;  ///< Of each service, in a window.
};

/// @brief What a host tells and asks the pool, as often as it asks whether the
/// pool's host lives.
struct reserve_question {
  std::optional<reserve_loan> loan;
  std::map<std::string, std::size_t> wanted;  ///< Repeats, by service.
};

struct reserve_answer {
  reserve_stamp stamp;
  /// Repeats, by service, to be used within the grant time of the question.
  std::map<std::string, std::size_t> granted;
};

/// @brief This host's part of a reserve that all hosts share.
///
/// The reserve is divided by the hosts that are listed. A small part is kept;
/// the rest is lent to one host, the pool, which grants it to those whose
/// endpoints fail. Nothing is ever in two hands: a part that was lent to a pool
/// that is gone rests until all that could have been granted of it has left the
/// window. So the sum holds whoever sees whom.
class reserve_share {
 public:
  explicit reserve_share(const reserve_times& times) : times_(times) {}

  void Note(const host_census& census, time_point now);
  /// @brief Whether this host is in all lists that are in use, and its own list
  /// is recent. Until then it draws on no limit that all hosts share.
  bool IsCounted(time_point now) const;
  /// @brief Repeats of each service that this host may send in a window
  /// without asking.
  double Kept(double reserve, time_point now) const;
  /// @brief What to lend to a host with a question that is sent now.
  std::optional<reserve_loan> Lend(const std::string& pool, double reserve,
                                   time_point now);
  void NoteStamp(const std::string& pool, const reserve_stamp& stamp,
                 time_point received);

 private:
  double Whole(double reserve, time_point now) const;

  reserve_times times_;
  host_census census_;
  time_point settled_at_ = time_point::max();
  std::string pool_;
  std::optional<reserve_stamp> stamp_;  ///< The newest of the pool.
  time_point stamped_at_{};
  time_point lent_until_{};
};

/// @brief What other hosts have lent to this one, and its grants.
class reserve_pool {
 public:
  /// @param life Names this life of the process.
  reserve_pool(const reserve_times& times, std::uint64_t life,
               time_point started)
      : times_(times), life_(life), started_(started) {}

  reserve_answer Answer(const std::string& from,
                        const reserve_question& question, time_point now);

 private:
  struct held_loan {
    double repeats = 0;
    std::uint64_t until_ms = 0;
  };
  struct spent_grant {
    std::size_t repeats = 0;
    time_point until{};  ///< In a window up to then.
  };

  void TakeLoan(const std::string& from, const reserve_loan& loan,
                time_point now);
  double Lent(time_point now);
  std::size_t Grant(const std::string& service, std::size_t wanted,
                    time_point now);

  reserve_times times_;
  std::uint64_t life_;
  time_point started_;
  std::map<std::string, held_loan> loans_;
  std::map<std::string, std::deque<spent_grant>> spent_;
};

}  // namespace slatestall
