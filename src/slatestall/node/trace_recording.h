#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "slatestall/node/recorded_arrival.h"
#include "slatestall/node/recorded_faults.h"
#include "slatestall/policy/control_snapshot.h"
#include "slatestall/policy/trace.h"
#include "slatestall/serve/request_trace.h"

namespace slatestall {

struct trace_recording_options {
  std::string host_name;
  std::string failure_domain;
  std::uint32_t lanes = 1;
  std::uint64_t max_bytes = 0;
};

enum class recording_state { kWaiting, kRecording, kFull, kFailed, kClosed };

inline constexpr name_table<recording_state, 5> kRecordingStateNames{{
    {recording_state::kWaiting, "waiting for a configuration"},
    {recording_state::kRecording, "recording"},
    {recording_state::kFull, "stopped: the largest size is reached"},
    {recording_state::kFailed, "stopped: the file cannot be written"},
    {recording_state::kClosed, "closed"},
}};

/// @brief The trace of what one host served, line by line, in a bounded size.
/// Begins with the first configuration in force. Used from one thread.
class trace_recording {
 public:
  /// @brief Writes text; false where it could not.
  using write_text = std::function<bool(std::string_view)>;

  trace_recording(trace_recording_options options, write_text write);

  /// @brief The control state as it is at `now`; call it often.
  void Observe(const control_snapshot& snapshot, time_point now);
  /// @brief A request that arrived at `arrived` and has ended.
  void Ended(const request_trace& request, time_point arrived);
  /// @brief Writes what was counted, for a replay to be compared with.
  void Close(time_point now);

  recording_state State() const { return state_; }
  std::uint64_t Bytes() const { return bytes_; }
  std::uint64_t Arrivals() const { return arrivals_; }

 private:
  void Begin(const control_snapshot& snapshot, time_point now);
  void ObserveConfiguration(const control_snapshot& snapshot);
  void ObserveHosts(const control_snapshot& snapshot);
  void ObserveEndpoints(const control_snapshot& snapshot);
  void ObserveEndpoint(const service_view& service, const endpoint_view& seen);
  void ForgetMissing(const control_snapshot& snapshot);
  void WriteFaults();
  void WriteTail();
  void Write(const std::string& line);
  void Put(const std::string& line);

  const trace_recording_options options_;
  const write_text write_;
  recording_state state_ = recording_state::kWaiting;
  std::uint64_t bytes_ = 0;
  std::uint64_t arrivals_ = 0;

  time_point start_{};
  duration now_{};       ///< Of the last `Observe`, from the start.
  duration previous_{};  ///< Of the one before.
  accepted_configuration_ptr configuration_;
  std::uint32_t hosts_ = 0;
  std::map<std::string, time_point> reports_;     ///< Last one by address.
  std::map<std::string, bool> services_;          ///< Those with a model line.
  std::map<std::string, std::uint64_t> counted_;  ///< By measure's name.
  recorded_arrivals made_;
  recorded_faults faults_;
};

}  // namespace slatestall
