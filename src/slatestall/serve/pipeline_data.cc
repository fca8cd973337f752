#include "slatestall/serve/pipeline_data.h"

#include <utility>

namespace slatestall {

std::string pipeline_data::Prompt() const {
  if (documents_used) {
    return text;
  }
  std::string prompt;
  for (const document& each : documents) {
    prompt += each.text;
    prompt += '\n';
  }
  return prompt + text;
}

void pipeline_data::Apply(stage_output output, bool engine) {
  if (engine) {
    documents_used = true;
  }
  if (output.text) {
    text = std::move(*output.text);
  }
  if (output.embedding) {
    embedding = std::move(*output.embedding);
  }
  if (output.documents) {
    documents = std::move(*output.documents);
    documents_used = false;
  }
  if (output.raw) {
    raw = std::move(output.raw);
  }
}

}  // namespace slatestall
