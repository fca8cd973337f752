#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "slatestall/serve/pipeline_data.h"
#include "slatestall/serve/token_event_scan.h"
#include "slatestall/serve/token_stream.h"

namespace slatestall {

enum class stream_verdict {
  kGoesOn,
  kWhole,
  kDoubled,    ///< Dropped; the stream goes on.
  kCrossed,    ///< An event of another attempt.
  kGap,        ///< Tokens are missing.
  kDiverged,   ///< Repeats tokens with other text.
  kMalformed,  ///< Not an event of the protocol.
};

/// @brief Reads the events of one answer of an engine and puts its tokens into
/// the stream, which outlives it.
class engine_answer {
 public:
  /// @param id Text of the attempt that every event must carry.
  engine_answer(std::string id, token_stream& stream);

  /// @brief Takes the data of one server-sent event.
  stream_verdict Take(std::string_view data);

  /// @brief Whether the last events of a whole answer have come.
  bool Whole() const { return finished_ && done_; }
  /// @brief As said by the finishing event.
  const call_usage& Usage() const { return usage_; }

 private:
  stream_verdict TakeScanned(scanned_event event);
  stream_verdict TakeParsed(std::string_view data);
  stream_verdict TakeDone();
  stream_verdict TakeTokens(const token_event& event);
  stream_verdict TakeFinish(std::uint64_t offset);

  std::string id_;
  token_stream& stream_;
  bool finished_ = false;
  bool done_ = false;
  call_usage usage_;
};

}  // namespace slatestall
