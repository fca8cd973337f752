#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Software versions at which one host may have begun streams that are
/// not over, as the host records them in the platform's store.
/// @ingroup gateway
struct version_record {
  std::map<std::string, std::set<std::string>> versions;  ///< By service.
  /// Of the store's history in which it was written.
  std::uint64_t era = 0;
  /// There were no others. A process that does not know what one before it
  /// under the same name has begun cannot say so.
  bool is_complete = false;

  bool Names(const std::string& service, const std::string& version) const;

  friend bool operator==(const version_record&,
                         const version_record&) = default;
};

std::string WriteVersionRecord(const version_record& record);
/// @returns a record that is not complete where it cannot be read.
version_record ReadVersionRecord(std::string_view value);

/// @brief What all hosts have recorded. Pure state.
///
/// A host uses an endpoint only when the version is recorded, by any host, and
/// a record names a version until streams that began at it are over. So the
/// records together name the version of every stream, also after all hosts
/// were killed.
class version_ledger {
 public:
  /// @param records_versions Hosts of earlier releases do not.
  void NoteHost(const std::string& host, bool records_versions);
  void NoteRecord(const std::string& host, version_record record);
  void Forget(const std::string& host);
  void ForgetRecord(const std::string& host);

  const version_record* RecordOf(const std::string& host) const;
  bool IsRecorded(const std::string& service, const std::string& version) const;
  /// @param era Of the store's history now.
  /// @returns the version of all streams of the service that may live; nothing
  /// where there are several, or some host's are not known.
  std::optional<std::string> Only(const std::string& service,
                                  std::uint64_t era) const;

 private:
  struct host_entry {
    bool records_versions = true;
    std::optional<version_record> record;  ///< Nothing: it began no streams.
  };

  std::map<std::string, host_entry> hosts_;
};

/// @brief Keeps the record of this host. Pure state; the time comes in.
class own_versions {
 public:
  /// @param stream_life How long a version stays recorded after its last
  /// endpoint has left the list.
  explicit own_versions(duration stream_life) : stream_life_(stream_life) {}

  /// @brief Takes over what a process before this one has recorded.
  /// @param is_complete That process began no streams at other versions.
  void Begin(const version_record* before, bool is_complete, time_point now);
  bool HasBegun() const { return begun_at_.has_value(); }
  /// @brief No stream of this host's name lives at versions that are not kept
  /// here.
  bool IsComplete(time_point now) const;

  void NoteListed(const std::string& service, const std::string& version,
                  time_point now);
  /// @brief What is to be recorded now.
  ///
  /// In the first seconds of a process, callers take up streams of before. A
  /// new version waits that long where endpoints of a recorded one are listed:
  /// with both recorded, none of these streams could go on.
  version_record Record(const version_ledger& recorded, std::uint64_t era,
                        time_point now);

 private:
  struct listed_version {
    time_point last_listed{};
    bool is_of_this_process = false;  ///< Not only taken over.
  };
  using version_times = std::map<std::string, listed_version>;

  bool Waits(const version_ledger& recorded, const std::string& service,
             const std::string& version, time_point now) const;

  const duration stream_life_;
  std::optional<time_point> begun_at_;
  bool was_complete_ = false;
  std::map<std::string, version_times> services_;
};

}  // namespace slatestall
