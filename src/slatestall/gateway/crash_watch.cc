#include "slatestall/gateway/crash_watch.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace slatestall {
namespace {

/// All calls at an endpoint break within a few milliseconds of its crash.
constexpr milliseconds kCollectTime{20};
constexpr milliseconds kConnectTimeout{350};
/// Calls that break later are reported together with those before.
constexpr milliseconds kRememberTime{5000};

}  // namespace

struct crash_watch::probe {
  probe(asio::io_context& context, const known_endpoint& endpoint)
      : incarnation(endpoint.Incarnation()),
        address(endpoint.address),
        crash{endpoint.id, endpoint.service, {}},
        socket(context),
        timer(context) {}

  endpoint_incarnation incarnation;
  asio::ip::tcp::endpoint address;
  endpoint_crash crash;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  bool under_way = false;
};

crash_watch::crash_watch(asio::io_context& context, crash_hook on_crash)
    : context_(context), on_crash_(std::move(on_crash)) {}

crash_watch::~crash_watch() = default;

void crash_watch::NoteBroken(const known_endpoint& endpoint,
                             const std::vector<request_digest>& running) {
  auto& one = probes_[endpoint.Incarnation()];
  if (!one) {
    one = std::make_shared<probe>(context_, endpoint);
  }
  auto& known = one->crash.running;
  for (const auto digest : running) {
    if (std::find(known.begin(), known.end(), digest) == known.end()) {
      known.push_back(digest);
    }
  }
  if (std::exchange(one->under_way, true)) {
    return;
  }
  one->timer.expires_after(kCollectTime);
  one->timer.async_wait([this, one = one, alive = std::weak_ptr<int>(alive_)](
                            const asio::error_code& error) {
    if (!error && !alive.expired()) {
      Connect(one);
    }
  });
}

void crash_watch::Connect(const std::shared_ptr<probe>& one) {
  one->timer.expires_after(kConnectTimeout);
  one->timer.async_wait([one](const asio::error_code& error) {
    if (!error) {
      asio::error_code ignored;
      one->socket.close(ignored);
    }
  });
  one->socket.async_connect(
      one->address, [this, one, alive = std::weak_ptr<int>(alive_)](
                        const asio::error_code& error) {
        if (!alive.expired()) {
          Conclude(one, error == asio::error::connection_refused);
        }
      });
}

void crash_watch::Conclude(const std::shared_ptr<probe>& one, bool refused) {
  asio::error_code ignored;
  one->socket.close(ignored);
  one->under_way = false;
  one->timer.cancel();
  if (!refused) {
    probes_.erase(one->incarnation);
    return;
  }
  one->timer.expires_after(kRememberTime);
  one->timer.async_wait([this, one, alive = std::weak_ptr<int>(alive_)](
                            const asio::error_code& error) {
    if (!error && !alive.expired()) {
      probes_.erase(one->incarnation);
    }
  });
  on_crash_(one->crash);
}

}  // namespace slatestall
