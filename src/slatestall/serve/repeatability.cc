#include "slatestall/serve/repeatability.h"

namespace slatestall {

bool IsAtMostOnce(const configuration& content, const pipeline_config& pipeline,
                  std::size_t stage) {
  const auto found = content.services.find(pipeline.stages[stage].service);
  if (found == content.services.end()) {
    return true;
  }
  const service_config& service = found->second;
  return !service.repeatable ||
         (pipeline.billed && service.kind == service_kind::kEngine);
}

bool NeedsKey(const configuration& content, const pipeline_config& pipeline) {
  bool needed = pipeline.billed;
  for (std::size_t stage = 0; stage < pipeline.stages.size(); ++stage) {
    needed = needed || IsAtMostOnce(content, pipeline, stage);
  }
  return needed;
}

}  // namespace slatestall
