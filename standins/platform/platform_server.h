#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "slatestall/http/http_server.h"
#include "standins/common/listen_address.h"
#include "standins/common/token_bucket.h"
#include "standins/platform/host_table.h"
#include "standins/platform/log_front.h"
#include "standins/platform/platform_faults.h"

namespace slatestall {

struct platform_options {
  listen_address listen{"127.0.0.1", 0};
  log_front_options log;
  milliseconds list_lag{1000};
  double weights_per_second = 2;
  std::uint64_t weight_bytes = 1'000'000;
};

/// @brief Log, host list and weight store on one port.
class platform_server {
 public:
  platform_server(asio::io_context& context, const platform_options& options);

  std::uint16_t Port() const { return server_.Port(); }

 private:
  void Handle(const http_request& request, const http_responder_ptr& responder);
  void HandleLog(const http_request& request,
                 const http_responder_ptr& responder);
  void HandleHosts(const http_request& request,
                   const http_responder_ptr& responder);
  void HandleWeights(const http_responder_ptr& responder);
  void HandleFaults(const http_request& request,
                    const http_responder_ptr& responder);
  void HandleCounts(const http_responder_ptr& responder);
  void FailAsDown(const http_responder_ptr& responder);

  asio::io_context& context_;
  platform_options options_;
  platform_faults faults_;
  log_front log_;
  host_table hosts_;
  token_bucket weights_limit_;
  std::vector<http_responder_ptr> hung_;
  http_server server_;
};

}  // namespace slatestall
