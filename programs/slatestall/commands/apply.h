#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/admin_client.h"
#include "slatestall/config/config_problem.h"
#include "slatestall/model/configuration.h"
#include "slatestall/model/name_table.h"
#include "slatestall/model/time.h"
#include "slatestall/system_view.h"

namespace slatestall {

/// @brief How publishing a file ended.
enum class apply_outcome {
  kInForce,       ///< On every live host.
  kRefused,       ///< Another revision won; nothing changed.
  kNotPublished,  ///< Nothing left the asked host; nothing changed.
  kInvalid,       ///< The file has problems; nothing was published.
  kUnknown,       ///< `detail` says what to do.
  kUnreachable,   ///< The host was not reached; nothing was published.
};

inline constexpr name_table<apply_outcome, 6> kApplyOutcomeNames{{
    {apply_outcome::kInForce, "in-force"},
    {apply_outcome::kRefused, "refused"},
    {apply_outcome::kNotPublished, "not-published"},
    {apply_outcome::kInvalid, "invalid"},
    {apply_outcome::kUnknown, "unknown"},
    {apply_outcome::kUnreachable, "unreachable"},
}};

struct apply_request {
  std::string host;
  std::string file;
  std::string source;
  /// Revision that the file was made from; nothing: the one in force now.
  std::optional<config_revision> base;
  milliseconds wait{30000};  ///< For all live hosts to have it.
};

struct apply_hooks {
  send_admin_calls send;
  std::function<void(milliseconds)> sleep;
  now_function now;
  std::function<void(const std::string&)> progress;
};

struct apply_result {
  apply_outcome outcome = apply_outcome::kUnknown;
  config_revision revision = 0;  ///< Published, or the one that won; 0: none.
  std::string detail;
  std::vector<config_problem> problems;
  std::vector<host_view> waiting_for;  ///< Hosts not known to have it.
};

/// @brief Publishes a file and returns when it knows how that ended.
apply_result Apply(const apply_request& request, const apply_hooks& hooks);

}  // namespace slatestall
