#include "slatestall/gateway/value_collector.h"

#include <algorithm>
#include <set>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// Of one answer, and answers under way. Together they fill a link of 10 Mbit/s
/// for 50 ms, which is how long other messages may wait behind them.
constexpr std::size_t kAnswerBytes = std::size_t{32} << 10U;
constexpr std::size_t kMostAwaited = 2;

}  // namespace

void value_collector::Collect(const std::string& host, value_outline outline,
                              large_value_ptr known, done_hook done) {
  jobs_.push_back(
      {host, std::move(outline), std::move(known), std::move(done)});
  if (jobs_.size() == 1) {
    Begin();
  }
}

void value_collector::Begin() {
  has_failed_ = false;
  missing_.clear();
  std::set<std::uint64_t> named;
  for (const auto& piece : jobs_.front().outline.pieces) {
    if (named.insert(piece.digest).second && Find(piece).empty()) {
      missing_.push_back(piece);
    }
  }
  std::erase_if(arrived_, [&named](const auto& piece) {
    return !named.contains(piece.first);
  });
  std::reverse(missing_.begin(), missing_.end());
  AskOn();
}

void value_collector::AskOn() {
  while (!has_failed_ && !missing_.empty() && awaited_ < kMostAwaited) {
    Ask();
  }
  if (awaited_ == 0) {
    End();
  }
}

void value_collector::Ask() {
  std::vector<value_piece> asked;
  std::vector<std::uint64_t> digests;
  std::size_t bytes = 0;
  while (!missing_.empty() &&
         (asked.empty() || bytes + missing_.back().bytes <= kAnswerBytes)) {
    asked.push_back(missing_.back());
    digests.push_back(missing_.back().digest);
    bytes += missing_.back().bytes;
    missing_.pop_back();
  }
  ++awaited_;
  ask_(jobs_.front().host, digests,
       [this, asked,
        alive = std::weak_ptr<int>(alive_)](std::vector<std::string> packed) {
         if (!alive.expired()) {
           OnPieces(asked, std::move(packed));
         }
       });
}

void value_collector::OnPieces(const std::vector<value_piece>& asked,
                               std::vector<std::string> packed) {
  --awaited_;
  packed.resize(asked.size());
  for (std::size_t i = 0; i < asked.size(); ++i) {
    auto piece = UnpackPiece(packed[i], asked[i].bytes);
    if (piece && StableHash(*piece) == asked[i].digest) {
      arrived_[asked[i].digest] = std::move(*piece);
    } else {
      has_failed_ = true;
    }
  }
  AskOn();
}

void value_collector::End() {
  auto value = has_failed_ ? nullptr : Join();
  if (value == nullptr && !has_failed_ && UsesKnown()) {
    // Two pieces share a digest: all are read anew.
    jobs_.front().known = nullptr;
    newest_ = nullptr;
    arrived_.clear();
    Begin();
    return;
  }
  if (value != nullptr) {
    newest_ = value;
  }
  if (!has_failed_) {
    arrived_.clear();
  }
  const auto done = std::move(jobs_.front().done);
  jobs_.pop_front();
  if (!jobs_.empty()) {
    Begin();
  }
  done(std::move(value));
}

bool value_collector::UsesKnown() const {
  return jobs_.front().known != nullptr || newest_ != nullptr;
}

std::string_view value_collector::Find(const value_piece& piece) const {
  for (const auto* value : {jobs_.front().known.get(), newest_.get()}) {
    if (value != nullptr) {
      const auto found = value->Piece(piece.digest);
      if (found.size() == piece.bytes) {
        return found;
      }
    }
  }
  const auto found = arrived_.find(piece.digest);
  if (found == arrived_.end()) {
    return {};
  }
  return found->second;
}

/// @returns null where the whole is not what its digest says.
large_value_ptr value_collector::Join() const {
  const auto& outline = jobs_.front().outline;
  if (newest_ != nullptr && newest_->Outline() == outline) {
    return newest_;
  }
  std::string bytes;
  bytes.reserve(outline.Bytes());
  for (const auto& piece : outline.pieces) {
    bytes += Find(piece);
  }
  auto value = std::make_shared<const large_value>(std::move(bytes));
  return value->Outline() == outline ? value : nullptr;
}

}  // namespace slatestall
