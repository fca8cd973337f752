#include "slatestall/node/endpoint_poller.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <utility>

namespace slatestall {
namespace {

/// Polls due within this time go together, so that the thread wakes less
/// often.
constexpr milliseconds kJoin{50};
constexpr milliseconds kPollTimeout{1000};
constexpr std::size_t kMaxAnswerBytes = std::size_t{1} << 20U;
constexpr int kOk = 200;
constexpr int kNoContent = 204;

http_call PollCall(const std::string& address, const std::string& path) {
  http_call call;
  call.url = "http://" + address + path;
  call.timeout = kPollTimeout;
  call.max_answer_bytes = kMaxAnswerBytes;
  return call;
}

}  // namespace

class endpoint_poller::impl
    : public std::enable_shared_from_this<endpoint_poller::impl> {
 public:
  impl(asio::io_context& context, http_client& client, now_function now,
       endpoint_poller_hooks hooks)
      : client_(client),
        now_(std::move(now)),
        hooks_(std::move(hooks)),
        timer_(context) {}

  void Stop() {
    stopped_ = true;
    timer_.cancel();
    for (const auto& [address, call] : calls_) {
      client_.Cancel(call);
    }
  }

  void SetTargets(const std::map<std::string, poll_reason>& targets,
                  poll_pace pace) {
    std::erase_if(calls_, [&](const auto& entry) {
      const bool dropped = targets.count(entry.first) == 0;
      if (dropped) {
        client_.Cancel(entry.second);
      }
      return dropped;
    });
    schedule_.SetTargets(targets, pace, now_());
    Arm();
  }

  void NoteTold(const std::string& address, time_point when) {
    schedule_.NoteTold(address, when);
    Arm();
  }

 private:
  // Earlier than before where the host has just become busy.
  void Arm() {
    const auto now = now_();
    const auto due = schedule_.NextDue(now);
    if (!due || (armed_for_ && *armed_for_ <= *due)) {
      return;
    }
    armed_for_ = std::max(*due, now + kJoin);
    timer_.expires_after(*armed_for_ - now);
    timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (!error && self && !self->stopped_) {
        self->armed_for_.reset();
        self->PollDue();
        self->Arm();
      }
    });
  }

  void PollDue() {
    for (const auto& address : schedule_.TakeDue(now_())) {
      if (calls_.count(address) == 0) {
        Poll(address);
      }
    }
  }

  void Poll(const std::string& address) {
    calls_[address] =
        client_.Start(PollCall(address, hooks_.path(address)),
                      [weak = weak_from_this(), address,
                       asked = now_()](const http_result& result) {
                        const auto self = weak.lock();
                        if (self && !self->stopped_) {
                          self->OnAnswer(address, asked, result);
                        }
                      });
  }

  void OnAnswer(const std::string& address, time_point asked,
                const http_result& result) {
    calls_.erase(address);
    if (result.end == call_end::kComplete &&
        (result.status == kOk || result.status == kNoContent)) {
      hooks_.on_answer(address, asked, result);
    }
  }

  http_client& client_;
  now_function now_;
  endpoint_poller_hooks hooks_;
  asio::steady_timer timer_;
  poll_schedule schedule_;
  std::map<std::string, http_client::call_number> calls_;
  std::optional<time_point> armed_for_;
  bool stopped_ = false;
};

endpoint_poller::endpoint_poller(asio::io_context& context, http_client& client,
                                 now_function now, endpoint_poller_hooks hooks)
    : impl_(std::make_shared<impl>(context, client, std::move(now),
                                   std::move(hooks))) {}

endpoint_poller::~endpoint_poller() { impl_->Stop(); }

void endpoint_poller::SetTargets(
    const std::map<std::string, poll_reason>& targets, poll_pace pace) {
  impl_->SetTargets(targets, pace);
}

void endpoint_poller::NoteTold(const std::string& address, time_point when) {
  impl_->NoteTold(address, when);
}

}  // namespace slatestall
