#pragma once

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "slatestall/config/settings.h"
#include "slatestall/model/time.h"
#include "slatestall/node/trace_recording.h"
#include "slatestall/policy/control_snapshot.h"
#include "slatestall/serve/event_log.h"
#include "slatestall/serve/request_trace.h"

namespace slatestall {

/// @brief Records a trace to a file on a thread of its own: traffic threads
/// only put ended requests in a bounded queue, and control state is read from
/// the snapshots that traffic reads.
class trace_recorder {
 public:
  /// @param snapshots Outlives the recorder.
  /// @throws std::runtime_error where the file cannot be opened.
  trace_recorder(const settings& options, const snapshot_cell& snapshots,
                 now_function now);
  /// @brief Writes the last lines and ends the thread.
  ~trace_recorder();
  trace_recorder(const trace_recorder&) = delete;
  trace_recorder& operator=(const trace_recorder&) = delete;

  /// @brief A request that has just ended; from any thread.
  void Note(const request_trace_ptr& request);

  /// @brief Lines for /metrics; from any thread.
  std::string Metrics() const;

 private:
  struct ended_request {
    request_trace_ptr request;
    time_point arrived{};
  };

  struct figures {
    recording_state state = recording_state::kWaiting;
    std::uint64_t bytes = 0;
    std::uint64_t arrivals = 0;
  };

  void Run();
  void Step(const std::vector<ended_request>& ended);
  void Publish();
  void Say(const std::string& what);

  const std::string path_;
  const snapshot_cell& snapshots_;
  const now_function now_;
  std::ofstream file_;
  trace_recording recording_;
  event_log log_;
  recording_state said_ = recording_state::kWaiting;

  mutable std::mutex mutex_;  ///< Of what follows.
  std::condition_variable wake_;
  std::vector<ended_request> queue_;
  std::uint64_t dropped_ = 0;
  figures figures_;
  bool stop_ = false;

  std::thread thread_;  ///< Last: it uses all of the above.
};

}  // namespace slatestall
