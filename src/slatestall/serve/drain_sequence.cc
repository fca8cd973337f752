#include "slatestall/serve/drain_sequence.h"

#include <asio/post.hpp>
#include <utility>

namespace slatestall {
namespace {

constexpr milliseconds kPoll{20};

}  // namespace

drain_sequence::drain_sequence(asio::io_context& context, drain_hooks hooks)
    : context_(context), timer_(context), hooks_(std::move(hooks)) {}

void drain_sequence::Begin(const drain_options& options) {
  if (begun_) {
    return;
  }
  begun_ = true;
  options_ = options;
  hooks_.announce();
  // The balancer learns of the failing readiness only by its next check, and
  // until then it sends requests here; refused, each would be a visible error.
  After(options_.grace, &drain_sequence::StopAccepting);
}

void drain_sequence::StopAccepting() {
  hooks_.stop_accepting();
  last_answer_by_ = std::chrono::steady_clock::now() +
                    options_.longest_request + options_.answer_slack;
  WaitForRequests();
}

void drain_sequence::WaitForRequests() {
  const bool late = std::chrono::steady_clock::now() >= last_answer_by_;
  if (hooks_.in_hand() == 0 || late) {
    HandOver();
    return;
  }
  After(kPoll, &drain_sequence::WaitForRequests);
}

void drain_sequence::HandOver() {
  After(options_.hand_over_timeout, &drain_sequence::Finish);
  hooks_.hand_over([this] { asio::post(context_, [this] { Finish(); }); });
}

void drain_sequence::Finish() {
  if (finished_) {
    return;
  }
  finished_ = true;
  timer_.cancel();
  hooks_.finished();
}

void drain_sequence::After(milliseconds delay, void (drain_sequence::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, next](const asio::error_code& error) {
    if (!error) {
      (this->*next)();
    }
  });
}

}  // namespace slatestall
