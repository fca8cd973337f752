#include "slatestall/http/http_client.h"

#include <asio/post.hpp>
#include <deque>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

#include "slatestall/http/client_call.h"
#include "slatestall/http/curl_event_loop.h"

namespace slatestall {
namespace {

constexpr std::size_t kMaxIdleConnections = 256;
constexpr std::size_t kMaxIdleHandles = 64;

void InitializeLibcurl() {
  static const CURLcode kInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (kInitialized != CURLE_OK) {
    throw std::runtime_error("libcurl cannot be initialized");
  }
}

}  // namespace

/// Commands may come from inside libcurl's callbacks, where libcurl takes no
/// calls; those are put off to the next turn of the event loop.
class http_client::impl : public std::enable_shared_from_this<impl> {
 public:
  explicit impl(asio::io_context& context) : context_(context) {}

  void Open() {
    loop_ = std::make_shared<curl_event_loop>(context_, kMaxIdleConnections,
                                              [this] { OnProgress(); });
  }

  call_number Start(http_call call, completion done);
  void Cancel(call_number number);
  void Shutdown();
  std::size_t InFlight() const { return calls_.size(); }
  void SetMeter(traffic_meter meter) { meter_ = std::move(meter); }

 private:
  using call_ptr = std::shared_ptr<client_call>;

  curl_easy_handle TakeHandle();
  void KeepHandle(curl_easy_handle handle);
  void Later(void (impl::*step)());
  void AddWaiting();
  void RemoveForgotten();
  void OnProgress();
  void TellReads();
  void CollectEnded();
  void DeliverEnded();
  void Add(call_number number, const call_ptr& call);
  void Remove(const call_ptr& call);
  void BoundConnections();
  void CloseAll();

  asio::io_context& context_;
  std::shared_ptr<curl_event_loop> loop_;
  std::unordered_map<call_number, call_ptr> calls_;
  std::unordered_map<CURL*, call_number> attached_;
  std::deque<call_number> waiting_;
  std::deque<call_number> ended_;
  std::deque<call_number> read_;  ///< Had data in the read under way.
  std::vector<call_ptr> forgotten_;
  std::vector<curl_easy_handle> idle_handles_;
  std::shared_ptr<impl> self_;
  traffic_meter meter_;
  call_number last_number_ = 0;
  bool shut_down_ = false;
};

curl_easy_handle http_client::impl::TakeHandle() {
  if (!idle_handles_.empty()) {
    curl_easy_handle handle = std::move(idle_handles_.back());
    idle_handles_.pop_back();
    return handle;
  }
  curl_easy_handle handle(curl_easy_init());
  if (!handle) {
    throw std::runtime_error("libcurl has no memory for a call");
  }
  return handle;
}

void http_client::impl::KeepHandle(curl_easy_handle handle) {
  if (idle_handles_.size() < kMaxIdleHandles) {
    curl_easy_reset(handle.get());
    idle_handles_.push_back(std::move(handle));
  }
}

void http_client::impl::Later(void (impl::*step)()) {
  asio::post(context_, [weak = weak_from_this(), step] {
    const auto self = weak.lock();
    if (self && !self->shut_down_) {
      ((*self).*step)();
    }
  });
}

http_client::call_number http_client::impl::Start(http_call call,
                                                  completion done) {
  const call_number number = ++last_number_;
  const auto started = std::make_shared<client_call>(
      std::move(call), std::move(done), TakeHandle(), *loop_,
      [this, number] { read_.push_back(number); });
  calls_.emplace(number, started);
  if (!started->Prepare()) {
    started->Refuse("the call has a method or header that cannot be sent");
    ended_.push_back(number);
    Later(&impl::DeliverEnded);
    return number;
  }
  if (loop_->InsideCurl()) {
    waiting_.push_back(number);
    Later(&impl::AddWaiting);
    return number;
  }
  Add(number, started);
  return number;
}

void http_client::impl::Add(call_number number, const call_ptr& call) {
  const CURLMcode code = curl_multi_add_handle(loop_->Multi(), call->Easy());
  if (code != CURLM_OK) {
    call->Refuse(curl_multi_strerror(code));
    ended_.push_back(number);
    Later(&impl::DeliverEnded);
    return;
  }
  attached_.emplace(call->Easy(), number);
  BoundConnections();
}

// libcurl counts connections in use against this bound as well. With the bound
// alone, a host with more calls in hand than that closed a connection for each
// call that ended, looking through all of them for the oldest, and made a new
// one for each that began.
void http_client::impl::BoundConnections() {
  const std::size_t most = kMaxIdleConnections + attached_.size();
  curl_multi_setopt(loop_->Multi(), CURLMOPT_MAXCONNECTS,
                    static_cast<long>(most));  // NOLINT: libcurl's type
}

void http_client::impl::AddWaiting() {
  while (!waiting_.empty()) {
    const call_number number = waiting_.front();
    waiting_.pop_front();
    const auto found = calls_.find(number);
    if (found != calls_.end()) {
      Add(number, found->second);
    }
  }
}

void http_client::impl::Cancel(call_number number) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) {
    return;
  }
  const call_ptr call = found->second;
  calls_.erase(found);
  call->Forget();
  if (loop_->InsideCurl()) {
    forgotten_.push_back(call);
    Later(&impl::RemoveForgotten);
    return;
  }
  Remove(call);
}

void http_client::impl::RemoveForgotten() {
  const auto calls = std::exchange(forgotten_, {});
  for (const call_ptr& call : calls) {
    Remove(call);
  }
}

void http_client::impl::Remove(const call_ptr& call) {
  if (attached_.erase(call->Easy()) != 0) {
    curl_multi_remove_handle(loop_->Multi(), call->Easy());
    BoundConnections();
  }
}

void http_client::impl::OnProgress() {
  const auto self = shared_from_this();
  if (shut_down_) {
    CloseAll();
    return;
  }
  TellReads();
  CollectEnded();
  DeliverEnded();
}

void http_client::impl::TellReads() {
  while (!shut_down_ && !read_.empty()) {
    const auto found = calls_.find(read_.front());
    read_.pop_front();
    if (found != calls_.end()) {
      const call_ptr call = found->second;
      call->TellRead();
    }
  }
}

void http_client::impl::CollectEnded() {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(loop_->Multi(), &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL* easy = message->easy_handle;
    const CURLcode code = message->data.result;
    const auto attached = attached_.find(easy);
    if (attached == attached_.end()) {
      continue;
    }
    const call_number number = attached->second;
    attached_.erase(attached);
    curl_multi_remove_handle(loop_->Multi(), easy);
    BoundConnections();
    const auto found = calls_.find(number);
    if (found != calls_.end()) {
      found->second->Finish(code);
      if (meter_) {
        found->second->Measure(meter_);
      }
      ended_.push_back(number);
    }
  }
}

void http_client::impl::DeliverEnded() {
  const auto self = shared_from_this();
  while (!shut_down_ && !ended_.empty()) {
    const auto found = calls_.find(ended_.front());
    ended_.pop_front();
    if (found == calls_.end()) {
      continue;
    }
    const call_ptr call = found->second;
    calls_.erase(found);
    KeepHandle(call->TakeEasy());
    try {
      call->Deliver();
    } catch (...) {
      Later(&impl::DeliverEnded);
      throw;
    }
  }
}

void http_client::impl::Shutdown() {
  shut_down_ = true;
  for (auto& [number, call] : calls_) {
    call->Forget();
  }
  if (loop_->InsideCurl()) {
    // The client goes while libcurl is on the stack: closing waits until
    // libcurl has returned, see OnProgress.
    self_ = shared_from_this();
    return;
  }
  CloseAll();
}

void http_client::impl::CloseAll() {
  const auto self = std::exchange(self_, nullptr);
  for (const auto& [easy, number] : attached_) {
    curl_multi_remove_handle(loop_->Multi(), easy);
  }
  attached_.clear();
  loop_->Close();
  calls_.clear();
  forgotten_.clear();
}

http_client::http_client(asio::io_context& context) {
  InitializeLibcurl();
  impl_ = std::make_shared<impl>(context);
  impl_->Open();
}

http_client::~http_client() { impl_->Shutdown(); }

http_client::call_number http_client::Start(http_call call, completion done) {
  return impl_->Start(std::move(call), std::move(done));
}

void http_client::Cancel(call_number number) { impl_->Cancel(number); }

std::size_t http_client::InFlight() const { return impl_->InFlight(); }

void http_client::SetMeter(traffic_meter meter) {
  impl_->SetMeter(std::move(meter));
}

}  // namespace slatestall
