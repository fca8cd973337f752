#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "slatestall/http/http_server.h"
#include "slatestall/node/admin_api.h"

namespace slatestall {

/// @brief Serves the operators' interface at an address of its own, on the
/// control thread.
class operator_server {
 public:
  using handle_call =
      std::function<void(const http_request&, const admin_reply&)>;

  /// @param listen "IP:port".
  /// @throws std::system_error where the address cannot be bound.
  operator_server(asio::io_context& context, const std::string& listen,
                  handle_call handle);

  std::uint16_t Port() const { return server_.Port(); }

 private:
  http_server server_;
};

}  // namespace slatestall
