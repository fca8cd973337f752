#include "standins/endpoint/ledger.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace slatestall {
namespace {

constexpr std::size_t kMaxEntries = 20000;

}  // namespace

ledger_file::ledger_file(const std::string& path)
    : descriptor_(::open(path.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {
  if (descriptor_ < 0) {
    throw std::system_error(errno, std::generic_category(), path);
  }
}

ledger_file::~ledger_file() { ::close(descriptor_); }

void ledger_file::Write(const std::string& line) {
  const std::string text = line + "\n";
  const ssize_t written = ::write(descriptor_, text.data(), text.size());
  if (written != static_cast<ssize_t>(text.size())) {
    throw std::system_error(errno, std::generic_category(), "ledger file");
  }
}

ledger::ledger(std::string endpoint_name, std::string_view kind,
               std::shared_ptr<ledger_file> file)
    : endpoint_name_(std::move(endpoint_name)),
      kind_(kind),
      file_(std::move(file)) {}

void ledger::Started(const call_identity& call, const std::string& marker) {
  entry& kept = EntryOf(call);
  kept.marker = marker;
  ++kept.started;
  ++started_;
  WriteLine("started", call, marker, 0);
}

void ledger::Completed(const call_identity& call, std::uint64_t tokens) {
  entry& kept = EntryOf(call);
  ++kept.completed;
  kept.tokens += tokens;
  ++completed_;
  tokens_ += tokens;
  WriteLine("completed", call, kept.marker, tokens);
}

void ledger::Cancelled(const call_identity& call, std::uint64_t tokens) {
  entry& kept = EntryOf(call);
  ++kept.cancelled;
  kept.tokens += tokens;
  ++cancelled_;
  tokens_ += tokens;
  WriteLine("cancelled", call, kept.marker, tokens);
}

void ledger::Crossed(const call_identity& call) {
  ++crossed_;
  WriteLine("crossed", call, "", 0);
}

ledger::entry& ledger::EntryOf(const call_identity& call) {
  const std::string key = call.request + "/" + call.stage;
  const auto [it, is_new] = entries_.try_emplace(key);
  if (is_new) {
    it->second.request = call.request;
    it->second.stage = call.stage;
    order_.push_back(key);
    if (order_.size() > kMaxEntries) {
      entries_.erase(order_.front());
      order_.pop_front();
    }
  }
  return it->second;
}

void ledger::WriteLine(std::string_view event, const call_identity& call,
                       const std::string& marker, std::uint64_t tokens) {
  if (!file_) {
    return;
  }
  const nlohmann::json line = {
      {"event", event},          {"endpoint", endpoint_name_},
      {"kind", kind_},           {"request", call.request},
      {"attempt", call.attempt}, {"stage", call.stage},
      {"marker", marker},        {"tokens", tokens}};
  file_->Write(line.dump());
}

nlohmann::json ledger::Report() const {
  nlohmann::json runs = nlohmann::json::array();
  for (const auto& [key, kept] : entries_) {
    runs.push_back({{"request", kept.request},
                    {"stage", kept.stage},
                    {"marker", kept.marker},
                    {"started", kept.started},
                    {"completed", kept.completed},
                    {"cancelled", kept.cancelled},
                    {"tokens", kept.tokens}});
  }
  return {{"endpoint", endpoint_name_},
          {"kind", kind_},
          {"totals",
           {{"started", started_},
            {"completed", completed_},
            {"cancelled", cancelled_},
            {"refused", refused_},
            {"crossed", crossed_},
            {"tokens", tokens_}}},
          {"runs", runs}};
}

}  // namespace slatestall
