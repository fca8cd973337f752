#pragma once

#include <map>
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
  void NoteAsked(const std::string& host, time_point now);
  void NoteAnswer(const std::string& host, bool draining, time_point now);
  /// @brief Its connection broke, or it refused.
  void NoteFailure(const std::string& host, time_point now);

  bool IsTrusted(const std::string& host) const;
  bool AnyTrusted() const;
  /// @brief Neither has it answered yet nor failed to.
  bool IsUnknown(const std::string& host) const;
  /// @brief Whether it is time to ask it again.
  bool IsDue(const std::string& host, time_point now) const;
  /// @brief Hosts whose answer is overdue; each is to be noted as a failure.
  std::vector<std::string> Overdue(time_point now) const;
  /// @brief Forgets hosts that are not listed.
  void Keep(const std::vector<std::string>& hosts);

 private:
  struct state {
    bool trusted = false;
    bool draining = false;
    bool asked = false;  ///< An answer is awaited.
    time_point asked_at{};
    time_point next_at{};
    unsigned failures = 0;
  };

  std::map<std::string, state> states_;
};

}  // namespace slatestall
