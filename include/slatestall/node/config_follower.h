#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/model/time.h"
#include "slatestall/platform/log_service.h"
#include "slatestall/policy/config_history.h"

namespace slatestall {

/// @brief How a publication ended as far as this host can tell.
/// @ingroup node
enum class publish_end {
  kAccepted,
  kRefused,       ///< Another publication won, or the file has problems.
  kUnknown,       ///< It may yet be accepted; see `status` later.
  kNotPublished,  ///< The log did not take it: it will never be accepted.
};

struct publish_result {
  publish_end end = publish_end::kUnknown;
  config_revision revision = 0;  ///< In force after it, where known.
  std::string detail;
};

struct config_follower_options {
  std::string stream = "config";
  milliseconds publish_timeout{5000};  ///< Until a publication is "unknown".
  std::chrono::seconds retention{0};   ///< Of the log; 0: not known.
  std::string host;                    ///< Of this host.
};

struct config_follower_hooks {
  /// The revision obeyed or the trust in the log changed.
  std::function<void()> on_change;
  /// Names of the hosts believed live, for who republishes.
  std::function<std::vector<std::string>()> live_hosts;
  /// Wall clock, seconds since 1970.
  std::function<std::int64_t()> wall_clock;
};

/// @brief Follows the configuration in the platform's log, publishes to it and
/// republishes the head before it expires. Used from the thread that runs
/// `context` only.
class config_follower {
 public:
  config_follower(asio::io_context& context, config_follower_options options,
                  check_configuration check, log_service log, now_function now,
                  config_follower_hooks hooks);
  ~config_follower();
  config_follower(const config_follower&) = delete;
  config_follower& operator=(const config_follower&) = delete;

  void Start();

  const config_history& History() const;
  /// @brief Whether the last read of the log was answered.
  bool LogReachable() const;

  /// @brief Publishes a source that has been checked.
  /// @param done Runs once, at `publish_timeout` at the latest.
  void Publish(config_revision base, std::string source,
               std::function<void(publish_result)> done);

  /// @brief Takes the head of a peer.
  void TakePeerHead(const head_claim& claim, const std::string& source);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
