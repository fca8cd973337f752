#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Which hosts can be relied on to be homes, by the answers to regular
/// questions. Pure state; the time comes in.
///
/// A host is used only after it has answered once, and not any more when an
/// answer is overdue: a paused or cut-off host keeps its connections open, and
/// pieces sent there would wait for as long as it is away.
/// @ingroup dispatch
class home_health {
 public:
  /// So many of a ranking in a row that do not answer are a cut, no chance.
  static constexpr std::size_t kMostLost = 12;

  void NoteAsked(const std::string& host, time_point now);
  void NoteAnswer(const std::string& host, bool draining, time_point now);
  /// @brief With its answer, it reported whether the store answers it.
  void NoteStore(const std::string& host, bool answers);
  /// @brief Its connection broke, or it refused.
  void NoteFailure(const std::string& host, time_point now);

  bool IsTrusted(const std::string& host) const;
  bool AnyTrusted() const;
  /// @brief It has reported last that the store does not answer it.
  bool LacksStore(const std::string& host) const;
  /// @brief Neither has it answered yet nor failed to.
  bool IsUnknown(const std::string& host) const;
  /// @brief Whether it is time to ask it again.
  bool IsDue(const std::string& host, time_point now) const;
  /// @brief Whether it is trusted and its last answer is as recent.
  bool AnsweredWithin(const std::string& host, duration age,
                      time_point now) const;
  /// @brief Adds the hosts of a ranking to be asked now so that the first
  /// `count` that serve become or stay known.
  void AddDue(const std::vector<std::string>& ranking, const std::string& self,
              std::size_t count,
              const std::function<bool(const std::string&)>& serves,
              time_point now, std::set<std::string>& due) const;
  /// @brief Hosts whose answer is overdue; each is to be noted as a failure.
  std::vector<std::string> Overdue(time_point now) const;
  /// @brief Forgets hosts that are not listed.
  void Keep(const std::vector<std::string>& hosts);

 private:
  struct state {
    bool trusted = false;
    bool draining = false;
    bool lacks_store = false;
    bool asked = false;  ///< An answer is awaited.
    time_point asked_at{};
    time_point answered_at{};
    time_point next_at{};
    unsigned failures = 0;
  };

  std::map<std::string, state> states_;
};

}  // namespace slatestall
