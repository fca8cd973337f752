#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

struct log_retention {
  std::size_t records = 100000;  ///< Kept per stream.
  milliseconds age{3600000};
};

struct stored_record {
  std::uint64_t offset = 0;
  time_point appended{};
  std::string payload;
};

struct log_page {
  std::uint64_t first = 0;
  std::uint64_t next = 0;
  std::vector<stored_record> records;
};

/// @brief Streams of records in memory, trimmed by number and age.
class log_store {
 public:
  explicit log_store(log_retention retention);

  /// @return The record's offset.
  std::uint64_t Append(const std::string& stream, std::string payload,
                       time_point now);
  /// @brief The offset that the next record will get.
  std::uint64_t End(const std::string& stream) { return streams_[stream].next; }
  /// @brief Comes back from a copy of that age: what was appended since is
  /// gone, and its offsets are given out again.
  void Restore(milliseconds age, time_point now);
  /// @brief Rises with each return from a copy.
  std::uint64_t Era() const { return era_; }
  log_page Read(const std::string& stream, std::uint64_t from,
                std::size_t max_records, time_point now);

 private:
  struct stream_records {
    std::uint64_t next = 0;
    std::deque<stored_record> records;
  };

  void Trim(stream_records& stream, time_point now) const;

  log_retention retention_;
  std::map<std::string, stream_records> streams_;
  std::uint64_t era_ = 1;
};

}  // namespace slatestall
