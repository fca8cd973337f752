#include "slatestall/node/endpoint_poller.h"

#include <asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

constexpr milliseconds kTick{20};
constexpr milliseconds kPollTimeout{1000};
constexpr std::size_t kMaxAnswerBytes = std::size_t{1} << 20U;

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

  void Start() { Schedule(); }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
    for (const auto& [address, target] : targets_) {
      if (target.call) {
        client_.Cancel(*target.call);
      }
    }
  }

  void SetTargets(const std::set<std::string>& addresses,
                  milliseconds interval) {
    interval_ = interval;
    for (auto target = targets_.begin(); target != targets_.end();) {
      if (addresses.count(target->first) != 0) {
        ++target;
        continue;
      }
      if (target->second.call) {
        client_.Cancel(*target->second.call);
      }
      target = targets_.erase(target);
    }
    for (const auto& address : addresses) {
      if (targets_.count(address) == 0) {
        targets_[address].due = now_() + FirstDelay(address);
      }
    }
  }

 private:
  struct target {
    time_point due;
    std::optional<http_client::call_number> call;
  };

  // New targets come all at once with a configuration; polled at once they
  // would stay in step for good.
  milliseconds FirstDelay(const std::string& address) const {
    const auto spread = std::min(interval_, milliseconds{250});
    const auto range = static_cast<std::uint64_t>(spread.count()) + 1;
    return milliseconds{StableHash(address, RandomBits()) % range};
  }

  void Schedule() {
    timer_.expires_after(kTick);
    timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (!error && self && !self->stopped_) {
        self->PollDue();
        self->Schedule();
      }
    });
  }

  void PollDue() {
    const auto now = now_();
    for (auto& [address, target] : targets_) {
      if (!target.call && target.due <= now) {
        Poll(address, target);
      }
    }
  }

  void Poll(const std::string& address, target& target) {
    target.due = now_() + interval_;
    target.call = client_.Start(
        PollCall(address, hooks_.path(address)),
        [weak = weak_from_this(), address](const http_result& result) {
          const auto self = weak.lock();
          if (self && !self->stopped_) {
            self->OnAnswer(address, result);
          }
        });
  }

  void OnAnswer(const std::string& address, const http_result& result) {
    const auto found = targets_.find(address);
    if (found == targets_.end()) {
      return;
    }
    found->second.call.reset();
    if (result.end != call_end::kComplete || result.status != 200) {
      return;
    }
    hooks_.on_answer(address, result.body);
  }

  http_client& client_;
  now_function now_;
  endpoint_poller_hooks hooks_;
  asio::steady_timer timer_;
  std::map<std::string, target> targets_;
  milliseconds interval_{500};
  bool stopped_ = false;
};

endpoint_poller::endpoint_poller(asio::io_context& context, http_client& client,
                                 now_function now, endpoint_poller_hooks hooks)
    : impl_(std::make_shared<impl>(context, client, std::move(now),
                                   std::move(hooks))) {
  impl_->Start();
}

endpoint_poller::~endpoint_poller() { impl_->Stop(); }

void endpoint_poller::SetTargets(const std::set<std::string>& addresses,
                                 milliseconds interval) {
  impl_->SetTargets(addresses, interval);
}

}  // namespace slatestall
