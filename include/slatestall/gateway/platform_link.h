#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/dispatch/endpoint_record.h"
#include "slatestall/gateway/large_value.h"
#include "slatestall/gateway/routing_table.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief The newest value of one key of a compacted topic.
/// @ingroup gateway
struct keyed_record {
  std::string key;
  std::optional<std::string> value;  ///< Nothing: the key was deleted.
  std::uint64_t offset = 0;          ///< Of a compacted read's records.
  /// The value once more, where it is large and came from another host. What
  /// `topic_tail` returns has it in place of `value`, which is then empty.
  large_value_ptr large{};
};

enum class store_outcome {
  kDone,
  kTooOld,    ///< Records from that offset on are no longer kept.
  kRefused,   ///< The store said no; nothing was done.
  kNoAnswer,  ///< Unknown whether anything was done.
};

struct keyed_read {
  store_outcome outcome = store_outcome::kNoAnswer;
  std::vector<keyed_record> records;
  std::uint64_t next = 0;  ///< Offset to read from next.
  /// Offset after the last record that the store held; 0: not told.
  std::uint64_t end = 0;
  /// Of the store's history. It rises where the store came back from an older
  /// copy: offsets of another era say nothing. 0: not told.
  std::uint64_t era = 0;
  std::string detail;
  /// Records, by other writers, that are none of a compacted topic. Each stands
  /// as a deletion of no key, so that offsets go on.
  std::size_t unreadable = 0;
  std::size_t pages = 0;  ///< That a read of the newest of every key took.
  /// How old another host's word was; none, where the store itself answered.
  milliseconds age{0};
  /// Told by another host, since the store did not answer this one.
  bool second_hand = false;
  std::string host;    ///< That passed it on; empty: the store itself.
  unsigned steps = 0;  ///< Hosts between the store and this one.
  /// Records that others of their keys follow are left out; each names its
  /// offset.
  bool is_compacted = false;
  /// It was held until there was something to tell, or for as long as that is
  /// done: the next may follow at once.
  bool was_held = false;
};

/// @brief A compacted topic of the platform's store. Completions run later, on
/// the thread of the caller.
struct keyed_topic {
  /// The newest record of every key.
  std::function<void(std::function<void(keyed_read)> done)> read_newest;
  /// Records at and after an offset; waits for one as long as told.
  std::function<void(std::uint64_t from, milliseconds wait,
                     std::function<void(keyed_read)> done)>
      read_from;
  /// The same at once, by the store itself and no other host. Not set: as
  /// `read_from`.
  std::function<void(std::uint64_t from, std::function<void(keyed_read)> done)>
      read_now{};
};

/// @brief Sets the value of a key of a compacted topic; an empty value deletes
/// it.
using keyed_writer =
    std::function<void(const std::string& key, const std::string& value,
                       std::function<void(store_outcome)> done)>;

/// @brief An entry of the list of endpoints as it was written.
struct listed_endpoint {
  known_endpoint endpoint;
  milliseconds cold_left{0};  ///< Cold for that much longer; 0: warm.
};

/// @brief Where a host learns what it serves and with what.
struct platform_link {
  keyed_topic configuration;  ///< And evacuations, by the operator.
  keyed_topic endpoints;
  keyed_topic hosts;      ///< Of this system; written by themselves.
  keyed_writer announce;  ///< Into `hosts`.
  keyed_topic crashes;    ///< Of endpoints; written by hosts of this system.
  keyed_writer write_crash;
  /// Decoders: null where the record is not for this system.
  /// @throws std::exception where it cannot be read.
  std::function<routing_table_ptr(const keyed_record&)> read_configuration;
  std::function<std::optional<listed_endpoint>(const keyed_record&)>
      read_endpoint;
  /// The failure domain that a record among `configuration` evacuates; the
  /// evacuation is over where the record is deleted.
  std::function<std::optional<std::string>(const keyed_record&)>
      read_evacuation;
};

}  // namespace slatestall
