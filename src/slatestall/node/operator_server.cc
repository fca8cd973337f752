#include "slatestall/node/operator_server.h"

#include <utility>

#include "slatestall/model/listen_address.h"

namespace slatestall {
namespace {

/// Operators and their monitors, far fewer than callers.
constexpr std::size_t kMaxConnections = 64;
/// A pipeline file of the largest size, escaped as JSON.
constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20U;

http_server_options ServerOptions(const std::string& listen) {
  const listen_address where = ParseListenAddress(listen);
  http_server_options options;
  options.address = where.address;
  options.port = where.port;
  options.max_connections = kMaxConnections;
  options.max_body_bytes = kMaxBodyBytes;
  return options;
}

}  // namespace

operator_server::operator_server(asio::io_context& context,
                                 const std::string& listen, handle_call handle)
    : server_(
          context, ServerOptions(listen),
          [handle = std::move(handle)](const http_request& request,
                                       const http_responder_ptr& responder) {
            handle(request, [responder](admin_answer answer) {
              responder->Send(answer.status,
                              {{"Content-Type", "application/json"}},
                              std::move(answer.body));
            });
          }) {}

}  // namespace slatestall
