#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>

namespace slatestall {

/// @brief Stops the event loop on SIGTERM and SIGINT.
class stop_signal {
 public:
  explicit stop_signal(asio::io_context& context)
      : signals_(context, SIGTERM, SIGINT) {
    signals_.async_wait([&context](auto, int) { context.stop(); });
  }

 private:
  asio::signal_set signals_;
};

}  // namespace slatestall
