#pragma once

#include <string>

#include "slatestall/model/service_kind.h"
#include "slatestall/model/time.h"

namespace slatestall {

struct pool_answer {
  std::string body;
  /// The parts of the call belong to different callers.
  bool is_crossed = false;
};

/// @brief Path that calls of this kind are posted to.
const char* PathOf(service_kind kind);

/// @brief The answer of an encoder, retriever, reranker or plain service.
/// @throws std::exception where the body lacks what the kind needs.
pool_answer AnswerPoolCall(service_kind kind, const std::string& body,
                           const std::string& attempt,
                           milliseconds service_time);

/// @brief Answer of a plain service: "text" follows from the marker alone,
/// "body_hash" from the whole body.
std::string PlainAnswer(const std::string& body);

}  // namespace slatestall
