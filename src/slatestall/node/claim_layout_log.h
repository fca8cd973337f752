#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "slatestall/model/time.h"
#include "slatestall/platform/log_service.h"
#include "slatestall/policy/claim_layout.h"
#include "slatestall/serve/event_log.h"

namespace slatestall {

/// @brief Reads and writes the stream `claim-layout`, which says into how many
/// streams the claims of all hosts are divided. Control thread only.
/// @ingroup node
class claim_layout_log : public std::enable_shared_from_this<claim_layout_log> {
 public:
  claim_layout_log(log_service log, std::uint32_t partitions,
                   std::chrono::seconds retention, now_function now);

  /// @brief Reads where that is due.
  void Tick();
  /// @brief Writes a mark where one is due; for the host that looks after the
  /// first partition.
  void Tend();

  bool Agrees() const { return layout_.Agrees(); }
  /// @brief What is wrong, where the log has another number; else empty.
  std::string Conflict() const;
  std::uint32_t InLog() const { return layout_.InLog().value_or(0); }

 private:
  void Take(const read_result& result);

  log_service log_;
  now_function now_;
  claim_layout layout_;
  event_log events_;
  bool reading_ = false;
  bool appending_ = false;
  time_point next_read_{};
};

}  // namespace slatestall
