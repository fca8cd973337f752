#include "slatestall/node/stream_reader.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <utility>

namespace slatestall {
namespace {

constexpr milliseconds kLongPoll{10'000};
constexpr milliseconds kFirstBackoff{100};
constexpr milliseconds kMaxBackoff{2000};
/// Between two reads, where the log answers without waiting.
constexpr milliseconds kMinGap{10};

}  // namespace

class stream_reader::impl
    : public std::enable_shared_from_this<stream_reader::impl> {
 public:
  impl(asio::io_context& context, log_service log, std::string stream,
       now_function now, stream_reader_hooks hooks)
      : log_(std::move(log)),
        stream_(std::move(stream)),
        now_(std::move(now)),
        hooks_(std::move(hooks)),
        timer_(context) {}

  // A long poll of a stream without news is answered late: one that had lost
  // the log would not learn that it is back, so after a failure the first
  // read does not wait.
  void Read() {
    begun_ = now_();
    const bool wait = reachable_ && hooks_.may_wait();
    log_.read(stream_, hooks_.from(), wait ? kLongPoll : milliseconds{0},
              [weak = weak_from_this()](const read_result& read) {
                const auto self = weak.lock();
                if (self && !self->stopped_) {
                  self->OnRead(read);
                }
              });
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  bool Reachable() const { return reachable_; }

 private:
  void OnRead(const read_result& read) {
    reachable_ = read.ok;
    const auto asked_pause = hooks_.take(read);
    if (stopped_) {
      return;
    }
    timer_.expires_after(std::max(asked_pause, PauseAfter(read)));
    timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (!error && self && !self->stopped_) {
        self->Read();
      }
    });
  }

  milliseconds PauseAfter(const read_result& read) {
    if (!read.ok) {
      backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMaxBackoff);
      return backoff_;
    }
    backoff_ = milliseconds{0};
    const bool at_once = now_() - begun_ < kMinGap;
    return at_once && read.records.empty() ? kMinGap : milliseconds{0};
  }

  log_service log_;
  std::string stream_;
  now_function now_;
  stream_reader_hooks hooks_;
  asio::steady_timer timer_;
  bool stopped_ = false;
  bool reachable_ = false;
  milliseconds backoff_{0};
  time_point begun_{};
};

stream_reader::stream_reader(asio::io_context& context, log_service log,
                             std::string stream, now_function now,
                             stream_reader_hooks hooks)
    : impl_(std::make_shared<impl>(context, std::move(log), std::move(stream),
                                   std::move(now), std::move(hooks))) {}

stream_reader::~stream_reader() { impl_->Stop(); }

void stream_reader::Start() { impl_->Read(); }

bool stream_reader::Reachable() const { return impl_->Reachable(); }

}  // namespace slatestall
