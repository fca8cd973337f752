#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/model/time.h"
#include "slatestall/node/claim_layout_log.h"
#include "slatestall/platform/log_service.h"
#include "slatestall/policy/claim_writer.h"

namespace slatestall {

struct claim_log_counters {
  std::uint64_t appends = 0;
  std::uint64_t appends_unknown = 0;
  std::uint64_t claims_appended = 0;
  std::uint64_t records_not_understood = 0;
  std::uint64_t keys_not_carried = 0;
  std::uint32_t partitions_in_log = 0;  ///< 0: not known yet.
};

/// @brief Drives one `claim_writer` for each partition that this host is asked
/// about: appends, reads, and replies to those who asked. A partition nobody
/// asks about is dropped with its memory. Control thread only.
/// @ingroup node
class claim_log : public std::enable_shared_from_this<claim_log> {
 public:
  using answer_function = std::function<void(const claim_answer&)>;

  using wall_clock_function = std::function<std::int64_t()>;

  claim_log(log_service log, std::uint32_t partitions,
            claim_writer_options options, now_function now,
            wall_clock_function wall_clock);

  /// @brief Claims a key; `done` runs once, after `wait` at the latest unless
  /// the log has to be asked for an outcome.
  void Claim(const claim_attempt& attempt, milliseconds wait,
             answer_function done);
  /// @brief Tells the state of a key after reading the log to its end.
  void Find(const claim_attempt& attempt, milliseconds wait,
            answer_function done);
  /// @brief Writes an ending behind; `stored` runs once it is in the log, and
  /// never where it cannot be told: ask again.
  void End(const claim_ending& ending, std::function<void()> stored);
  /// @brief Whether the key's partition was read to its end. Begins to read it
  /// where not.
  bool IsReady(const claim_key& key);
  /// @brief Reads a partition ahead of the day that this host writes it.
  void Follow(std::uint32_t number);
  /// @brief Looks after a partition whose writer this host is: reads it ahead
  /// of its first claim and keeps its keys from expiring. Call every second.
  void Tend(std::uint32_t partition);
  void Tick();
  /// @brief What keeps this host from claiming for good; else empty.
  std::string Conflict() const { return layout_->Conflict(); }

  claim_log_counters Counters() const;
  std::size_t IndexedKeys() const;
  std::size_t OutcomeBytes() const;

 private:
  struct lookup {
    claim_attempt attempt;
    time_point answer_by;
    std::uint64_t full_reads = 0;  ///< To wait for.
    answer_function done;
  };

  struct partition {
    partition(std::string stream_name, const claim_writer_options& options)
        : stream(std::move(stream_name)), writer(options) {}

    std::string stream;
    claim_writer writer;
    std::map<std::string, std::vector<answer_function>> askers;
    std::map<std::string, std::vector<std::function<void()>>> enders;
    std::vector<lookup> lookups;
    std::uint64_t reads_begun = 0;
    std::uint64_t full_reads = 0;  ///< Number of the newest that hit the end.
    bool reading = false;
    time_point next_read{};
    time_point last_used{};
  };
  using partition_ptr = std::shared_ptr<partition>;

  partition& Use(std::uint32_t number);
  static void RefuseAskers(partition& at, const std::string& request);
  void Pump(const partition_ptr& at);
  void PumpAppend(const partition_ptr& at);
  void PumpRead(const partition_ptr& at);
  void TakeRead(const partition_ptr& at, const read_result& result);
  void Reply(const partition_ptr& at);
  void ReplyToLookups(const partition_ptr& at);
  void Give(const partition_ptr& at, const claim_key& key,
            const claim_answer& answer, std::vector<answer_function> askers);

  log_service log_;
  std::shared_ptr<claim_layout_log> layout_;
  std::uint32_t partition_count_;
  claim_writer_options options_;
  now_function now_;
  wall_clock_function wall_clock_;
  std::map<std::uint32_t, partition_ptr> partitions_;
  claim_log_counters counters_;
};

}  // namespace slatestall
