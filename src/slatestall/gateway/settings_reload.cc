#include "slatestall/gateway/settings_reload.h"

#include <csignal>
#include <system_error>
#include <utility>

namespace slatestall {
namespace {

/// Between two looks at the file, which cost a system call each.
constexpr milliseconds kLookInterval{2000};

template <typename Value>
void Note(const char* field, const Value& loaded, const Value& current,
          std::vector<std::string>& changed) {
  if (!(loaded == current)) {
    changed.emplace_back(field);
  }
}

template <typename Value>
void Take(const char* field, const Value& loaded, Value& current,
          std::vector<std::string>& changed) {
  Note(field, loaded, current, changed);
  current = loaded;
}

}  // namespace

settings_change ApplyReload(const gateway_options& loaded,
                            gateway_options& current) {
  settings_change change;
  auto& now = change.applied;
  Take("seeds", loaded.seeds, current.seeds, now);
  Take("stop_grace_seconds", loaded.stop_grace, current.stop_grace, now);
  Take("cold_rate_factor", loaded.cold.factor, current.cold.factor, now);
  Take("cold_rate_extra", loaded.cold.extra, current.cold.extra, now);
  Take("repeat_ratio", loaded.repeats.ratio, current.repeats.ratio, now);
  Take("repeat_window_seconds", loaded.repeats.window, current.repeats.window,
       now);
  Take("repeat_reserve", loaded.repeats.reserve, current.repeats.reserve, now);
  auto& later = change.at_restart;
  Note("host_name", loaded.host_name, current.host_name, later);
  Note("failure_domain", loaded.failure_domain, current.failure_domain, later);
  Note("front_listen", loaded.address, current.address, later);
  Note("front_listen", loaded.front_port, current.front_port, later);
  Note("status_listen", loaded.status_port, current.status_port, later);
  Note("peer_listen", loaded.peer_port, current.peer_port, later);
  if (loaded.relay_port != 0) {
    Note("relay_listen", loaded.relay_port, current.relay_port, later);
  }
  Note("store_address", loaded.store_address, current.store_address, later);
  Note("max_connections", loaded.max_connections, current.max_connections,
       later);
  Note("processor_share", loaded.processor_share, current.processor_share,
       later);
  Note("link_mbps", loaded.link_mbps, current.link_mbps, later);
  Note("disabled_mechanisms", loaded.disabled, current.disabled, later);
  Note("domain_regions", loaded.regions, current.regions, later);
  Note("leave_limit_ms", loaded.leave_limit, current.leave_limit, later);
  Note("evacuation_limit_ms", loaded.evacuation_limit, current.evacuation_limit,
       later);
  Note("settle_limit_ms", loaded.settle_limit, current.settle_limit, later);
  return change;
}

settings_watch::settings_watch(asio::io_context& context, std::string file,
                               loaded_hook on_loaded)
    : file_(std::move(file)),
      on_loaded_(std::move(on_loaded)),
      signal_(context, SIGHUP),
      look_(context),
      written_at_(WrittenAt()) {
  AwaitSignal();
  if (!file_.empty()) {
    AwaitLook();
  }
}

/// Unhandled, the signal would end the process.
void settings_watch::AwaitSignal() {
  signal_.async_wait([this](const asio::error_code& error, int) {
    if (!error) {
      Load();
      AwaitSignal();
    }
  });
}

void settings_watch::AwaitLook() {
  look_.expires_after(kLookInterval);
  look_.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    if (WrittenAt() != written_at_) {
      Load();
    }
    AwaitLook();
  });
}

void settings_watch::Load() {
  written_at_ = WrittenAt();
  if (!file_.empty()) {
    on_loaded_(LoadGatewaySettings(file_));
  }
}

/// A file that is missing for a moment, while it is replaced, counts as
/// unchanged: the next look finds the new one.
std::filesystem::file_time_type settings_watch::WrittenAt() const {
  std::error_code missing;
  const auto at = std::filesystem::last_write_time(file_, missing);
  return missing ? written_at_ : at;
}

}  // namespace slatestall
