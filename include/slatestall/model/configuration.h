#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/priority_class.h"
#include "slatestall/model/service_kind.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Where one process of a service listens.
/// @ingroup model
struct endpoint {
  std::string address;  ///< "IP:port".
  std::string failure_domain;

  friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// @brief Whether endpoints of a service refuse an order with an old fencing
/// number, or take any order.
enum class fencing { kChecked, kIgnored };

struct service_config {
  std::string name;
  service_kind kind = service_kind::kPlain;
  std::vector<endpoint>
      endpoints;                ///< Fixed list; empty with `from_host_list`.
  bool from_host_list = false;  ///< Endpoints come from the host list.
  bool repeatable = true;  ///< Whether a call may be sent twice (idempotent).
  fencing order_fencing = fencing::kIgnored;
  std::uint32_t slots = 8;  ///< Calls one endpoint runs side by side.
};

struct model_config {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
  std::uint32_t replicas = 1;  ///< Engines that should hold it.
};

struct stage_config {
  std::string name;
  std::string service;
  std::string model;    ///< Engines only.
  std::string adapter;  ///< Optional, engines only.
  std::uint32_t max_tokens = 0;
  std::uint32_t top_k = 0;  ///< Retrievers and rerankers only.
};

struct pipeline_config {
  std::string name;
  milliseconds deadline{6000};  ///< Upper bound; a request may ask for less.
  priority_class priority = priority_class::kInteractive;
  double objective = 0.99;  ///< Share of requests to be attained.
  bool billed = false;      ///< Runs at most once; needs an Idempotency-Key.
  std::vector<stage_config> stages;
};

struct workspace_limits {
  double requests_per_second = 0;  ///< 0: no limit.
  double tokens_per_second = 0;    ///< 0: no limit.
  std::uint32_t concurrency = 0;   ///< 0: no limit.
};

struct workspace_config {
  std::string name;
  std::vector<std::string> key_hashes;  ///< SHA-256, hex; empty: open.
  workspace_limits limits;
  double weight = 1;
  std::vector<std::string> routes;  ///< Pipelines and services it may call.
};

/// @brief One published file, checked whole.
struct configuration {
  std::map<std::string, service_config> services;
  std::map<std::string, model_config> models;
  std::map<std::string, pipeline_config> pipelines;
  std::map<std::string, workspace_config> workspaces;
};

/// @brief Number of an accepted configuration: the offset of its first
/// publication in the log plus one; 0 is "none yet".
using config_revision = std::uint64_t;

struct accepted_configuration {
  config_revision revision = 0;
  std::string source;  ///< The YAML text as published.
  configuration content;
};

using accepted_configuration_ptr =
    std::shared_ptr<const accepted_configuration>;

}  // namespace slatestall
