#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/dispatch/content_quarantine.h"
#include "slatestall/gateway/decision_log.h"
#include "slatestall/gateway/gateway_options.h"
#include "slatestall/gateway/platform_link.h"
#include "slatestall/gateway/topic_follower.h"

namespace slatestall {

/// @brief What a host learns of crashes from the store.
/// @ingroup gateway
struct crash_news {
  std::function<void(const endpoint_crash&, crash_source)> on_crash;
  /// The verdict is nothing where it was withdrawn.
  std::function<void(request_digest, std::optional<content_verdict>,
                     verdict_teller)>
      on_verdict;
};

/// @brief Hosts report crashes, and what follows from them, in a topic of the
/// platform's store.
///
/// A report is one record for each endpoint and host, so that none overwrites
/// another's. Whoever is first to see that a record has outlived its use
/// deletes it: its writer may be gone. What a store has lost that came back
/// from an older copy is written again.
class crash_feed {
 public:
  crash_feed(asio::io_context& context, const gateway_options& options,
             const platform_link& link, decision_log& log, now_function now,
             crash_news news);

  void Start() { follower_.Start(); }
  /// @brief Writes until the store has taken it.
  void Report(const endpoint_crash& crash);
  void Tell(const content_notice& notice);

 private:
  struct known_record {
    std::optional<std::string> value;  ///< Nothing: it was deleted.
    time_point outlived_at{};
    bool lost = false;  ///< The store came back without it.
  };

  void Write(const std::string& key, const std::string& value);
  void WriteNext();
  void WriteAfter(milliseconds delay);
  void TakeAll(std::vector<keyed_record> records);
  void TakeChanges(const std::vector<keyed_record>& records);
  void TakeRestored(const std::vector<keyed_record>& records);
  void TakeOne(const keyed_record& record, crash_source source);
  bool IsOwn(const std::string& key, const known_record& record) const;
  void WriteLostOwn();
  void WriteLostVerdicts();
  void TakeVerdict(request_digest content,
                   const std::optional<std::string>& value,
                   crash_source source);
  void Remember(const keyed_record& record);
  void DeleteOutlived();

  const std::string self_;
  keyed_writer write_;
  decision_log& log_;
  now_function now_;
  crash_news news_;
  std::map<std::string, std::string> unwritten_;  ///< By key.
  bool writes_ = false;
  unsigned failures_ = 0;                      ///< To write, in a row.
  std::map<std::string, known_record> known_;  ///< By key.
  asio::steady_timer write_timer_;
  asio::steady_timer lost_timer_;
  asio::steady_timer delete_timer_;
  topic_follower follower_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
