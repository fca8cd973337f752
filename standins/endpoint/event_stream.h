#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "slatestall/http/http_server.h"
#include "standins/endpoint/fault_switch.h"
#include "standins/endpoint/generation.h"

namespace slatestall {

enum class stream_state { kOpen, kFinished, kCut };

/// @brief Sends one generation to one caller as server-sent events.
class event_stream {
 public:
  /// @param offset First token to send.
  /// @param load What the header X-Load is to say when the answer begins.
  event_stream(http_responder_ptr responder, std::string attempt,
               std::uint32_t offset, fault_mode fault,
               std::function<std::string()> load);

  /// @brief Sends what `source` has produced and this stream has not sent.
  stream_state Advance(const generation& source);
  void Abort() { responder_->Abort(); }
  const std::string& Attempt() const { return attempt_; }

 private:
  void Start();
  void SendTokens(const generation& source);
  void SendEnd(const generation& source);
  void SendEvent(const std::string& data);

  http_responder_ptr responder_;
  std::string attempt_;
  std::string shown_attempt_;
  std::uint32_t sent_;
  fault_mode fault_;
  std::function<std::string()> load_;
  bool started_ = false;
};

}  // namespace slatestall
