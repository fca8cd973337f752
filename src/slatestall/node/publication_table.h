#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "slatestall/node/config_follower.h"
#include "slatestall/policy/config_history.h"

namespace slatestall {

/// @brief Publications of this host that are not settled yet. An append whose
/// answer is lost is settled by the verdict on its publication id.
class publication_table {
 public:
  using completion = std::function<void(publish_result)>;

  /// @return Id of the publication.
  std::string Begin(config_revision base, time_point give_up, completion done);
  bool IsOpen(const std::string& id) const { return open_.count(id) != 0; }

  /// @brief An append begins: from now on the record may be in the log.
  void Sending(const std::string& id);
  /// @brief The log proved that it did not take the record.
  void Refused(const std::string& id, const std::string& detail);

  void Settle(const std::vector<config_verdict>& verdicts);
  /// @brief The log, read on, has this head.
  void HeadIs(config_revision head);
  /// @brief Gives up what is past its time.
  void Expire(time_point now, config_revision head);

 private:
  struct entry {
    config_revision base = 0;
    time_point give_up;
    bool may_be_in_log = false;
    std::string detail;
    completion done;
  };

  void Finish(const std::string& id, publish_result result);

  std::map<std::string, entry> open_;
};

}  // namespace slatestall
