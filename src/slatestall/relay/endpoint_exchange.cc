#include "slatestall/relay/endpoint_exchange.h"

#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace slatestall {
namespace {

struct exchange {
  explicit exchange(asio::io_context& context) : timer(context) {}

  asio::steady_timer timer;
  /// Its own pending operations keep it; its hooks keep the exchange.
  std::weak_ptr<endpoint_call> call;
  http_result result;
  std::function<void(call_outcome)> on_end;
  std::function<void(const http_result&)> done;
};

call_end EndOf(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kComplete:
      return call_end::kComplete;
    case call_outcome::kNotConnected:
    case call_outcome::kNotRelayed:
      return call_end::kConnectFailed;
    case call_outcome::kWithdrawn:
      return call_end::kCancelled;
    case call_outcome::kBroken:
    case call_outcome::kMalformed:
      break;
  }
  return call_end::kTruncated;
}

const char* DetailOf(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kComplete:
      return "";
    case call_outcome::kNotConnected:
      return "not connected";
    case call_outcome::kNotRelayed:
      return "no host passed it on";
    case call_outcome::kWithdrawn:
      return "withdrawn";
    case call_outcome::kBroken:
      return "broken off";
    case call_outcome::kMalformed:
      break;
  }
  return "malformed answer";
}

void Finish(const std::shared_ptr<exchange>& one) {
  one->timer.cancel();
  one->call.reset();
  const auto done = std::exchange(one->done, nullptr);
  if (done) {
    done(one->result);
  }
}

}  // namespace

void StartExchange(asio::io_context& context, endpoint_call_options options,
                   endpoint_call_hooks hooks, milliseconds timeout,
                   std::function<void(const http_result&)> done) {
  const auto one = std::make_shared<exchange>(context);
  one->done = std::move(done);
  one->on_end = std::move(hooks.on_end);
  hooks.on_head = [one](message_head& head) {
    one->result.status = head.status;
    one->result.headers = head.headers;
  };
  hooks.on_body = [one](const std::string& bytes) {
    one->result.body += bytes;
  };
  hooks.on_end = [one](call_outcome outcome) {
    one->result.end = EndOf(outcome);
    one->result.detail = DetailOf(outcome);
    const auto ended = one->call.lock();
    one->result.may_have_been_sent = ended && ended->MayHaveLeft();
    if (one->on_end) {
      one->on_end(outcome);
    }
    Finish(one);
  };
  const auto call = std::make_shared<endpoint_call>(context, std::move(options),
                                                    std::move(hooks));
  one->call = call;
  one->timer.expires_after(timeout);
  one->timer.async_wait([one](const asio::error_code& error) {
    const auto late = one->call.lock();
    if (error || !late) {
      return;
    }
    one->result.end = call_end::kTimedOut;
    one->result.detail = "time limit";
    one->result.may_have_been_sent = late->MayHaveLeft();
    late->Cancel();
    Finish(one);
  });
  call->Start();
}

}  // namespace slatestall
