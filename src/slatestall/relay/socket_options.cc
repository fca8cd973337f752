#include "slatestall/relay/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace slatestall {
namespace {

/// Seconds; one is the smallest that the system takes.
constexpr int kKeepAliveIdle = 1;
constexpr int kKeepAliveInterval = 1;

void SetOption(int socket, int level, int name, int value) {
  // An option that is refused leaves a connection that works but ends later.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void LimitSilence(asio::ip::tcp::socket& socket, milliseconds silence) {
  const int fd = socket.native_handle();
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  // Also decides when probes give up: the first one after this time that finds
  // an unanswered one before it. A count of probes would not be looked at.
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(std::max<milliseconds::rep>(silence.count(), 1)));
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdle);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveInterval);
}

}  // namespace slatestall
