#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "slatestall/model/error_kind.h"
#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief A request that may run at most once.
/// @ingroup serve
struct keyed_request {
  std::string workspace;
  std::string key;              ///< The caller's Idempotency-Key.
  std::uint64_t body_hash = 0;  ///< Over pipeline and body.
  request_id id;
  time_point deadline{};
};

/// @brief The final answer of a keyed request, kept to be given again.
struct stored_outcome {
  int status = 0;
  std::string content_type;
  std::string body;
};

enum class claim_verdict {
  kRun,       ///< This host holds the claim and may dispatch.
  kAnswered,  ///< Another request with the key ended: give its outcome.
  kRefused,   ///< Do not run; `refusal` says why.
};

struct claim_decision {
  claim_verdict verdict = claim_verdict::kRefused;
  stored_outcome outcome;
  error_kind refusal = error_kind::kClaimUnavailable;
  std::string detail;
  milliseconds retry_after{0};  ///< `kRefused`; 0: a resend is of no use.
};

enum class key_state {
  kNone,     ///< No request with the key is known to have begun.
  kRunning,  ///< It has begun and not ended.
  kEnded,    ///< It ended with `outcome`.
  kUnknown,  ///< It cannot be told; `detail` says why.
};

struct key_lookup {
  key_state state = key_state::kUnknown;
  stored_outcome outcome;
  std::string detail;
};

/// @brief Guards requests that run at most once over all hosts. Hooks may be
/// called from any traffic thread; `done` may run on any thread, once.
struct outcome_guard {
  /// Claims the key. With a claim already held, waits for its outcome until
  /// the deadline of the asking request.
  std::function<void(const keyed_request&, std::function<void(claim_decision)>)>
      begin;
  /// Asked right before the first byte of a call that must not be repeated
  /// leaves. False: the claim is no longer safe to use, nothing may be sent.
  std::function<bool(const keyed_request&)> may_dispatch;
  /// The request ended with this outcome, which later requests are given.
  std::function<void(const keyed_request&, const stored_outcome&)> finish;
  /// The request ended before anything that must not be repeated was sent;
  /// the key may be used again.
  std::function<void(const keyed_request&)> release;
  /// Makes a key of which this host is home; needs no log. Empty once the
  /// host hands its keys over.
  std::function<std::string(const std::string& workspace)> mint_key;
  /// Tells what became of a key of `workspace`, without claiming it. `done`
  /// runs once, on any thread, at `deadline` at the latest.
  std::function<void(const std::string& workspace, const std::string& key,
                     time_point deadline, std::function<void(key_lookup)> done)>
      lookup;
};

}  // namespace slatestall
