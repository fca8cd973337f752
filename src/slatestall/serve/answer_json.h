#pragma once

#include <string>
#include <vector>

#include "slatestall/model/stage_usage.h"
#include "slatestall/serve/pipeline_run.h"

namespace slatestall {

/// @brief What the caller of a pipeline is told, see docs/API.md.
struct answer_report {
  std::string request;
  const run_answer* answer = nullptr;
  const std::vector<stage_usage>* usages = nullptr;
};

/// @brief The whole answer.
std::string WholeAnswerAsJson(const answer_report& report);
/// @brief The same less the answer's text, for the end of a stream.
std::string EndOfStreamAsJson(const answer_report& report);

}  // namespace slatestall
