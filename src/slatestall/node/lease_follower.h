#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "slatestall/model/ids.h"
#include "slatestall/node/stream_reader.h"
#include "slatestall/platform/log_service.h"
#include "slatestall/policy/lease_keeper.h"
#include "slatestall/policy/lease_table.h"

namespace slatestall {

/// @brief Follows the stream "leases" and takes part in the leases wanted.
/// Used from the control thread.
class lease_follower {
 public:
  lease_follower(asio::io_context& context, const host_id& self,
                 log_service log, now_function now);

  void Start() { reader_.Start(); }

  /// @brief Leases that this host is a candidate for.
  /// @param hosts Names of the live hosts; each is the first candidate for
  /// some leases.
  void Want(const std::set<std::string>& leases,
            const std::vector<std::string>& hosts);
  /// @brief Gives up all leases for good.
  void Resign();
  /// @brief Writes what is due; call twice a second or so.
  void Tick();

  /// @brief Fencing number while this host holds the lease; to be asked right
  /// before each order.
  std::optional<std::uint64_t> Fencing(const std::string& lease) const;

 private:
  stream_reader_hooks ReaderHooks();
  milliseconds Take(const read_result& read);
  void TakeRecord(const log_record& record);
  void StartOver(log_offset first);
  milliseconds DelayOf(const std::string& lease,
                       const std::vector<std::string>& hosts) const;

  const host_id self_;
  const log_service log_;
  const now_function now_;
  lease_table table_;
  std::map<std::string, lease_keeper> keepers_;
  log_offset position_ = 0;
  log_offset seen_next_ = 0;
  std::uint64_t appends_ = 0;
  bool caught_up_ = false;
  bool resigned_ = false;
  stream_reader reader_;  ///< Last: its hooks use the members above.
};

}  // namespace slatestall
