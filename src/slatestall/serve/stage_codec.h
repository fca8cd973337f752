#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "slatestall/http/http_client.h"
#include "slatestall/model/configuration.h"
#include "slatestall/model/ids.h"
#include "slatestall/serve/pipeline_data.h"

namespace slatestall {

/// @brief One call to an endpoint before it is put into HTTP.
struct stage_message {
  service_kind kind = service_kind::kPlain;
  const stage_config* stage = nullptr;
  const pipeline_data* data = nullptr;
  priority_class priority = priority_class::kInteractive;
  int engine_priority = 0;
  bool lower_max_tokens = false;  ///< The caller's limit counts here.
  milliseconds time_left{0};
};

/// @brief Where a cut engine stream goes on.
struct resume_point {
  attempt_id first;  ///< The attempt that began the stream.
  std::uint64_t offset = 0;
};

/// @brief Puts a call into HTTP as docs/ENDPOINT_PROTOCOL.md says.
http_call BuildStageCall(const stage_message& message,
                         const std::string& address, const attempt_id& id,
                         const std::optional<resume_point>& resume);

enum class answer_check {
  kMatches,
  kCrossed,    ///< Carries another attempt's id, or none.
  kMalformed,  ///< Not what a whole answer of its kind is.
};

struct checked_answer {
  answer_check check = answer_check::kMalformed;
  stage_output output;
};

/// @brief Reads a whole 2xx answer of any kind but an engine.
/// @param direct A plain service called directly: its body stays as it is.
checked_answer ReadStageAnswer(service_kind kind, const attempt_id& id,
                               http_result result, bool direct);

/// @brief Whether the endpoint's headers echo `id`; nothing where they do not
/// speak of it.
std::optional<bool> EchoesAttempt(const http_headers& headers,
                                  const attempt_id& id);

/// @brief Hashes of the prompt's first 256, 512, 1024 ... bytes, by which
/// engines name cached prefixes.
std::vector<std::uint64_t> PrefixHashes(std::string_view prompt);

}  // namespace slatestall
