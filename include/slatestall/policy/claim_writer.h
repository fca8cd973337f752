#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/model/time.h"
#include "slatestall/policy/claim_table.h"
#include "slatestall/policy/claim_types.h"

namespace slatestall {

/// @brief Bounds and intervals of one `claim_writer`.
/// @ingroup policy
struct claim_writer_options {
  milliseconds flush_interval{50};  ///< Between two appends.
  milliseconds end_delay{1000};     ///< Endings wait for claims this long.
  milliseconds refused_delay{500};  ///< After the log refused an append.
  std::size_t max_batch_bytes = std::size_t{64} << 10U;
  std::size_t max_pending =
      10'000;  ///< Claims, and endings, not yet read back.
  /// How long the log keeps records; keys are written again at half of it.
  /// 0: not known, they are not.
  std::chrono::seconds retention{0};
  claim_table_limits table;
};

/// @brief One record of a claim stream. The endings count before the claims.
struct claim_batch {
  std::int64_t written_at = 0;  ///< Wall clock of the writer, s; 0: not told.
  std::vector<claim_ending> ends;
  std::vector<claim_attempt> claims;

  std::size_t Size() const { return ends.size() + claims.size(); }
};

/// @brief A record as read back.
struct claim_log_record {
  std::uint64_t position = 0;
  claim_batch batch;
};

/// @brief How an append ended as far as the writer can tell.
enum class claim_append { kAppended, kRefused, kUnknown };

struct settled_claim {
  claim_key key;
  std::string request;
  claim_answer answer;
};

/// @brief Claims the keys of one partition in the log for every host that
/// asks. A claim is won only once its record is read back as the first for
/// its key, so any number of writers may work on one partition: the order of
/// the log decides, and another writer costs appends only.
///
/// At most one append is under way or unsettled at any time.
class claim_writer {
 public:
  explicit claim_writer(claim_writer_options options);

  /// @brief Asks for a claim. Asked again it only moves `answer_by`. False
  /// where there is no room.
  bool Submit(const claim_attempt& attempt, time_point answer_by);
  /// @brief Queues an ending. False where there is no room.
  bool SubmitEnd(const claim_ending& ending, time_point now);

  /// @brief Writes keys again before the log forgets them, so that none runs a
  /// second time after the retention. Only as long as the table is less than
  /// half full: past that, old keys make room for new ones. Call now and then
  /// where this host is the partition's writer.
  /// @param wall_time Seconds, as in `claim_batch::written_at`.
  void Carry(std::int64_t wall_time);

  /// @brief The record to append now, if one is due. `Appended` must follow.
  std::optional<claim_batch> NextAppend(time_point now);
  /// @param position Offset of the record, for `kAppended`.
  void Appended(claim_append end, std::uint64_t position, time_point now);

  /// @brief Offset from which to read next.
  std::uint64_t ReadFrom() const { return read_from_; }
  /// @brief Call when a read leaves, so that what it proves is known.
  void ReadBegins();
  /// @brief Takes a successful read: the records in order, the oldest kept
  /// offset and the next one.
  /// @param wall_time Seconds, as in `claim_batch::written_at`.
  void Read(std::uint64_t first, std::uint64_t next,
            const std::vector<claim_log_record>& records,
            std::int64_t wall_time = 0);
  /// @brief Whether the stream was read to its end once. Before that nothing
  /// is claimed: the key may have been used long ago.
  bool IsReady() const { return ready_; }
  /// @brief Whether an append waits for a read to learn what became of it.
  bool NeedsRead() const { return settle_ != settle::kNone; }

  /// @brief Claims that are settled, or whose time to answer has come.
  std::vector<settled_claim> TakeAnswers(time_point now);
  /// @brief Requests whose ending is in the log.
  std::vector<std::string> TakeStored();

  /// @brief What the log says of the key as far as it was read.
  claim_answer Find(const claim_attempt& attempt) const {
    return table_.Find(attempt);
  }
  bool IsIdle() const;
  /// @brief Keys that had to be left to expire with the log.
  std::uint64_t NotCarried() const { return not_carried_; }
  const claim_table& Table() const { return table_; }

 private:
  enum class settle {
    kNone,
    kUntilReadBack,  ///< Appended at a known offset.
    kUntilFullRead,  ///< Answer lost: a read begun later must reach the end.
  };

  struct pending_claim {
    claim_attempt attempt;
    time_point answer_by;
    bool ever_sent = false;
  };

  struct pending_end {
    claim_ending ending;
    time_point since;
  };

  /// Whether new keys are refused, so that the rest of the table is left for
  /// records that others wrote.
  bool IsCrowded() const;
  bool HasClaimToSend() const;
  bool EndsAreDue(time_point now) const;
  void AddEnds(claim_batch& batch, std::size_t max_bytes);
  void AddClaims(claim_batch& batch, std::size_t max_bytes);
  void AddCarried(claim_batch& batch, std::size_t max_bytes);
  void NoteAge(const claim_log_record& record, std::int64_t wall_time);
  void Settle();
  void Apply(const claim_log_record& record, std::int64_t wall_time);
  void ForgetBelow(std::uint64_t first, std::uint64_t next);
  void CollectStored();
  void DropBodies();
  std::optional<claim_answer> AnswerFor(const pending_claim& pending,
                                        time_point now) const;

  claim_writer_options options_;
  claim_table table_;
  std::map<std::string, pending_claim> claims_;  ///< By request.
  std::map<std::string, pending_end> ends_;      ///< By request.
  std::vector<std::string> stored_;
  /// When records were written, at intervals; positions and times rise.
  std::deque<std::pair<std::uint64_t, std::int64_t>> ages_;
  std::uint64_t carry_below_ = 0;
  std::vector<claim_table::row> carried_;  ///< To be written again now.
  std::uint64_t not_carried_ = 0;
  std::uint64_t read_from_ = 0;
  std::uint64_t forgotten_ = 0;
  time_point next_append_{};
  bool appending_ = false;
  settle settle_ = settle::kNone;
  std::uint64_t settle_position_ = 0;
  bool full_read_begun_ = false;
  bool full_ = false;
  bool ready_ = false;
  int refusals_in_row_ = 0;
};

}  // namespace slatestall
