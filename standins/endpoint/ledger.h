#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "standins/endpoint/call_identity.h"

namespace slatestall {

/// @brief Appends lines to a file past any buffer of the process, so that
/// what ran is known even where the process is killed.
class ledger_file {
 public:
  /// @throws std::system_error where the file cannot be opened.
  explicit ledger_file(const std::string& path);
  ~ledger_file();
  ledger_file(const ledger_file&) = delete;
  ledger_file& operator=(const ledger_file&) = delete;

  void Write(const std::string& line);

 private:
  int descriptor_;
};

/// @brief What truly ran on one endpoint, by request and stage: the measure
/// for lost and doubled work.
class ledger {
 public:
  /// @param file May be null.
  ledger(std::string endpoint_name, std::string_view kind,
         std::shared_ptr<ledger_file> file);

  void Started(const call_identity& call, const std::string& marker);
  void Completed(const call_identity& call, std::uint64_t tokens);
  void Cancelled(const call_identity& call, std::uint64_t tokens);
  void Refused() { ++refused_; }
  /// @brief A call whose parts belong to different callers.
  void Crossed(const call_identity& call);

  nlohmann::json Report() const;

 private:
  struct entry {
    std::string request;
    std::string stage;
    std::string marker;
    std::uint32_t started = 0;
    std::uint32_t completed = 0;
    std::uint32_t cancelled = 0;
    std::uint64_t tokens = 0;
  };

  entry& EntryOf(const call_identity& call);
  void WriteLine(std::string_view event, const call_identity& call,
                 const std::string& marker, std::uint64_t tokens);

  std::string endpoint_name_;
  std::string kind_;
  std::shared_ptr<ledger_file> file_;
  std::map<std::string, entry> entries_;
  std::deque<std::string> order_;
  std::uint64_t started_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t crossed_ = 0;
  std::uint64_t tokens_ = 0;
};

}  // namespace slatestall
