#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "bench/load/load_flow.h"
#include "slatestall/http/sse_parser.h"

namespace slatestall {

/// @brief The verdict on one answer.
enum class answer_verdict {
  kWhole,
  kNotWhole,    ///< Broke off, but what came was right so far.
  kWrong,       ///< Holds what does not belong to it.
  kProblem,     ///< An error that the caller was told.
  kInProgress,  ///< Another sending with the key still runs.
};

struct checked_answer {
  answer_verdict verdict = answer_verdict::kNotWhole;
  bool not_run = false;        ///< `kProblem` that promises so.
  bool retry_is_safe = false;  ///< `kProblem` that says so.
  std::string detail;
};

/// @brief Recomputes the answer that a request with this marker must get, and
/// compares what arrives with it.
class answer_check {
 public:
  answer_check(const load_flow& flow, const std::string& marker,
               std::string body);

  /// @brief Takes a piece of a streamed answer.
  void Feed(std::string_view piece);
  /// @brief Verdict at the end of a streamed answer.
  checked_answer StreamEnd() const;
  checked_answer Whole(int status, const std::string& body) const;
  std::uint32_t Tokens() const { return tokens_; }

 private:
  void TakeEvent(const sse_event& event);
  void TakeTokens(const std::string& data);
  checked_answer ProblemIn(int status, const std::string& body) const;
  bool Matches(const std::string& body) const;

  const load_flow& flow_;
  std::string marker_;
  std::string sent_body_;
  std::string expected_;
  std::uint32_t expected_tokens_ = 0;
  sse_parser parser_;
  std::string received_;
  std::uint32_t tokens_ = 0;
  bool ended_ = false;
  std::string wrong_;
  std::string problem_;
};

}  // namespace slatestall
