#include "slatestall/node/trace_recorder.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace slatestall {
namespace {

/// Between two looks at the control state.
constexpr milliseconds kInterval{50};
/// Ended requests that wait for the recorder's thread; with a disk that hangs
/// the rest is dropped and counted, and traffic does not notice.
constexpr std::size_t kMaxQueue = 16384;
constexpr std::uint32_t kMaxLogEventsPerSecond = 10;

trace_recording_options RecordingOptions(const settings& options) {
  return {options.host_name, options.failure_domain, options.traffic_threads,
          options.record_max_bytes};
}

std::string Metric(const std::string& name, const std::string& type,
                   std::uint64_t value) {
  return "# TYPE slatestall_" + name + " " + type + "\nslatestall_" + name +
         " " + std::to_string(value) + "\n";
}

}  // namespace

trace_recorder::trace_recorder(const settings& options,
                               const snapshot_cell& snapshots, now_function now)
    : path_(options.record_path),
      snapshots_(snapshots),
      now_(std::move(now)),
      file_(path_, std::ios::binary | std::ios::trunc),
      recording_(RecordingOptions(options),
                 [this](std::string_view text) {
                   file_.write(text.data(),
                               static_cast<std::streamsize>(text.size()));
                   return file_.good();
                 }),
      log_(now_, kMaxLogEventsPerSecond) {
  if (!file_.is_open()) {
    throw std::runtime_error("record_path: " + path_ + ": cannot be written");
  }
  thread_ = std::thread([this] { Run(); });
}

trace_recorder::~trace_recorder() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void trace_recorder::Note(const request_trace_ptr& request) {
  const time_point arrived = now_() - request->total;
  const std::lock_guard lock(mutex_);
  if (queue_.size() >= kMaxQueue) {
    ++dropped_;
    return;
  }
  queue_.push_back({request, arrived});
}

void trace_recorder::Run() {
  bool stop = false;
  while (!stop) {
    std::vector<ended_request> ended;
    {
      std::unique_lock lock(mutex_);
      stop = wake_.wait_for(lock, kInterval, [this] { return stop_; });
      ended.swap(queue_);
    }
    Step(ended);
  }
  recording_.Close(now_());
  file_.flush();
  Publish();
}

// The control state goes first: the requests that ended since the last look
// may have run under it.
void trace_recorder::Step(const std::vector<ended_request>& ended) {
  recording_.Observe(*snapshots_.Read(), now_());
  for (const ended_request& each : ended) {
    recording_.Ended(*each.request, each.arrived);
  }
  file_.flush();
  Publish();
}

void trace_recorder::Publish() {
  const recording_state state = recording_.State();
  {
    const std::lock_guard lock(mutex_);
    figures_ = {state, recording_.Bytes(), recording_.Arrivals()};
  }
  if (std::exchange(said_, state) != state) {
    Say(std::string(NameIn(kRecordingStateNames, state)));
  }
}

void trace_recorder::Say(const std::string& what) {
  const std::string detail =
      path_ + ": " + what + ", " + std::to_string(recording_.Arrivals()) +
      " requests, " + std::to_string(recording_.Bytes()) + " bytes";
  log_event event;
  event.severity =
      said_ == recording_state::kFull || said_ == recording_state::kFailed
          ? log_severity::kWarning
          : log_severity::kInfo;
  event.message = "trace recording";
  event.detail = detail;
  log_.Write(event);
}

std::string trace_recorder::Metrics() const {
  const std::lock_guard lock(mutex_);
  const bool records = figures_.state == recording_state::kRecording;
  return Metric("recording", "gauge", records ? 1 : 0) +
         Metric("recording_bytes", "gauge", figures_.bytes) +
         Metric("recorded_requests_total", "counter", figures_.arrivals) +
         Metric("recording_dropped_requests_total", "counter", dropped_);
}

}  // namespace slatestall
