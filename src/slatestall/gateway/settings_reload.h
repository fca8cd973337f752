#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "slatestall/gateway/gateway_options.h"
#include "slatestall/gateway/gateway_settings.h"

namespace slatestall {

/// @brief What a changed settings file means for a running host.
/// @ingroup gateway
struct settings_change {
  std::vector<std::string> applied;     ///< Fields in force from now on.
  std::vector<std::string> at_restart;  ///< Fields that wait for a restart.

  bool Empty() const { return applied.empty() && at_restart.empty(); }
};

/// @brief Takes over what can change while the host runs: `seeds`, the limits
/// on repeats and the time for a stop. The rest of `current` stays as it is.
settings_change ApplyReload(const gateway_options& loaded,
                            gateway_options& current);

/// @brief Reads the settings file again on SIGHUP, and when it has changed
/// without one.
class settings_watch {
 public:
  using loaded_hook = std::function<void(const loaded_gateway_settings&)>;

  /// @param file Empty: SIGHUP is taken and nothing is read.
  settings_watch(asio::io_context& context, std::string file,
                 loaded_hook on_loaded);

 private:
  void AwaitSignal();
  void AwaitLook();
  void Load();
  std::filesystem::file_time_type WrittenAt() const;

  const std::string file_;
  loaded_hook on_loaded_;
  asio::signal_set signal_;
  asio::steady_timer look_;
  std::filesystem::file_time_type written_at_;
};

}  // namespace slatestall
