#include "slatestall/node/load_poller.h"

#include <asio/steady_timer.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

using nlohmann::json;

constexpr milliseconds kTick{20};
constexpr milliseconds kPollTimeout{1000};
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} << 10U;

http_call LoadCall(const std::string& address) {
  http_call call;
  call.url = "http://" + address + "/load";
  call.timeout = kPollTimeout;
  call.max_answer_bytes = kMaxAnswerBytes;
  return call;
}

}  // namespace

std::optional<load_report> LoadReportOf(const std::string& body,
                                        time_point received) {
  try {
    const auto answer = json::parse(body);
    load_report load;
    load.running = answer.value("running", 0U);
    load.waiting = answer.value("waiting", 0U);
    load.slots = answer.value("slots", 0U);
    load.leaving = answer.value("leaving", false);
    load.models = answer.value("models", std::vector<std::string>{});
    load.adapters = answer.value("adapters", std::vector<std::string>{});
    load.received = received;
    return load;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

class load_poller::impl
    : public std::enable_shared_from_this<load_poller::impl> {
 public:
  impl(asio::io_context& context, http_client& client, now_function now,
       load_handler on_load)
      : client_(client),
        now_(std::move(now)),
        on_load_(std::move(on_load)),
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
        LoadCall(address),
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
    if (auto load = LoadReportOf(result.body, now_())) {
      on_load_(address, std::move(*load));
    }
  }

  http_client& client_;
  now_function now_;
  load_handler on_load_;
  asio::steady_timer timer_;
  std::map<std::string, target> targets_;
  milliseconds interval_{500};
  bool stopped_ = false;
};

load_poller::load_poller(asio::io_context& context, http_client& client,
                         now_function now, load_handler on_load)
    : impl_(std::make_shared<impl>(context, client, std::move(now),
                                   std::move(on_load))) {
  impl_->Start();
}

load_poller::~load_poller() { impl_->Stop(); }

void load_poller::SetTargets(const std::set<std::string>& addresses,
                             milliseconds interval) {
  impl_->SetTargets(addresses, interval);
}

}  // namespace slatestall
