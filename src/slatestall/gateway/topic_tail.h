#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/gateway/platform_link.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What a host asks another about a topic.
/// @ingroup gateway
struct topic_question {
  std::string topic;
  /// Records from that offset on; nothing: the newest of every key.
  std::optional<std::uint64_t> from;
  std::uint64_t era = 0;  ///< In which the offset counts.
  std::string after{};    ///< Without an offset: keys that follow this one.
  /// How long the answer may be held until there is something to tell.
  milliseconds wait{0};
  /// The answer may name large values by their pieces. Hosts of earlier
  /// releases take them whole only.
  bool takes_pieces = false;
};

/// @brief What another host is told of a topic: of each key that changed, the
/// newest record.
struct tail_read {
  std::vector<keyed_record> records;
  std::uint64_t next = 0;
  milliseconds age{0};  ///< Since the store was last read.
  /// How long large values were under way after that was told.
  milliseconds transfer{0};
  /// Of the store's history. Later than asked: there are no records, since the
  /// asker's offset says nothing any more.
  std::uint64_t era = 0;
  bool has_more = false;  ///< Further keys, or records, follow.
  /// Deletions since the offset may be forgotten: all is to be read anew.
  bool is_too_old = false;
  std::string host;    ///< That replied.
  unsigned steps = 0;  ///< Hosts between the store and that one.

  bool IsNewerThan(std::uint64_t other_era, std::uint64_t other_next) const {
    return era != other_era ? era > other_era : next > other_next;
  }
};

/// @brief How recent a host's knowledge of a topic is, and through whom it has
/// come.
struct topic_status {
  bool is_known = false;
  std::uint64_t era = 0;
  std::uint64_t next = 0;  ///< Offset after the last record known.
  milliseconds age{0};     ///< Since the store was read for it.
  std::string host;        ///< That passed it on; empty: the store itself.
  unsigned steps = 0;      ///< Hosts between the store and this one.
};

/// @brief What this host knows of a topic, for hosts that follow the topic
/// through it or start while the store is away. Any thread may use it.
///
/// The newest record of each key is kept, and deletions for some time. An
/// answer is a page of bounded size, however large the topic is; it names large
/// values by their pieces.
class topic_tail {
 public:
  explicit topic_tail(now_function now) : now_(std::move(now)) {}

  /// @brief The newest of every key was read.
  /// @param age Of what was read, where another host told it.
  void NoteAll(const keyed_read& read, milliseconds age = milliseconds(0));
  /// @brief Records from an offset on were read.
  void Note(std::uint64_t from, const keyed_read& read,
            milliseconds age = milliseconds(0));

  /// @returns nothing where it was never read, or only up to an earlier offset.
  /// @param era In which `from` counts.
  std::optional<tail_read> ReadFrom(std::uint64_t from,
                                    std::uint64_t era = 0) const;
  /// @brief A page of the newest of every key.
  /// @param after The last key of the page before; empty: the first page.
  /// @returns nothing where the whole was never read.
  std::optional<tail_read> ReadAll(const std::string& after = {}) const;
  std::uint64_t Era() const;
  /// @brief Offset after the last record known.
  std::uint64_t Next() const;
  topic_status Status() const;

 private:
  struct entry {
    keyed_record record;
    std::uint64_t offset = 0;
  };
  struct deletion {
    time_point at{};
    std::uint64_t offset = 0;
    std::string key;
  };

  tail_read Told() const;
  milliseconds Age() const;
  void NoteOrigin(const keyed_read& read, milliseconds age);
  void Put(const keyed_record& record, std::uint64_t offset, time_point now);
  void ForgetDeletions(time_point now);

  now_function now_;
  mutable std::mutex mutex_;
  std::map<std::string, entry> newest_;  ///< By key, with deletions.
  /// Of those that changed since the whole was read, by offset.
  std::set<std::pair<std::uint64_t, std::string>> changed_;
  std::deque<deletion> deletions_;  ///< Oldest first.
  bool has_all_ = false;
  std::uint64_t era_ = 0;
  std::uint64_t first_ = 0;  ///< From there on no deletion is forgotten.
  std::uint64_t next_ = 0;
  time_point read_at_{};  ///< When the store told the last of it.
  std::string host_;      ///< That passed the last of it on.
  unsigned steps_ = 0;
};

}  // namespace slatestall
