#include "slatestall/policy/config_history.h"

#include <algorithm>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// Unjudged records held while no anchor is known.
constexpr std::size_t kMaxHeldBytes = std::size_t{32} << 20U;

std::uint64_t HashOf(const config_record& record) {
  return StableHash(record.publication + '\n' + record.source, record.offset);
}

}  // namespace

config_history::config_history(check_configuration check)
    : check_(std::move(check)) {}

std::uint64_t config_history::ReadFrom() const {
  return verify_last_ ? last_offset_ : position_;
}

config_revision config_history::ObeyedRevision() const {
  return obeyed_ ? obeyed_->revision : 0;
}

std::optional<head_claim> config_history::Head() const {
  if (!anchored_) {
    return std::nullopt;
  }
  return head_claim{head_, position_};
}

std::vector<config_verdict> config_history::Take(const config_page& page,
                                                 std::uint64_t floor) {
  std::vector<config_verdict> verdicts;
  if (!Believable(page, floor)) {
    return verdicts;
  }
  seen_next_ = std::max(seen_next_, page.next);
  first_kept_ = std::max(first_kept_, page.first);
  if (page.first > position_) {
    ForgetUnread(page.first);
  }
  for (const auto& record : page.records) {
    if (record.offset < position_) {
      continue;
    }
    if (anchored_) {
      FoldRecord(record, verdicts);
    } else {
      Hold(record);
    }
    position_ = record.offset + 1;
    last_offset_ = record.offset;
    last_hash_ = HashOf(record);
  }
  if (!anchored_) {
    TryAnchor(page, verdicts);
  }
  if (anchored_) {
    trust_ = log_trust::kTrusted;
  }
  return verdicts;
}

// A log restored from an old copy ends too early and then gives offsets a
// second time. Obeyed, it would put another file under a revision in force.
// So an end that is too low is not obeyed, and once the end has grown again
// the last record read is compared before anything after it is taken: a
// replica that merely lagged shows the same record, a restored log does not.
bool config_history::Believable(const config_page& page, std::uint64_t floor) {
  if (trust_ == log_trust::kDiverged) {
    return false;
  }
  if (page.next < floor) {
    trust_ = log_trust::kLostData;
    verify_last_ = position_ > 0 && last_hash_ != 0;
    return false;
  }
  if (verify_last_ && !SameAsRead(page)) {
    trust_ = log_trust::kDiverged;
    return false;
  }
  verify_last_ = false;
  return true;
}

bool config_history::SameAsRead(const config_page& page) const {
  if (page.first > last_offset_) {
    return true;  // Expired: there is nothing left to compare.
  }
  const auto last =
      std::find_if(page.records.begin(), page.records.end(),
                   [this](const auto& r) { return r.offset == last_offset_; });
  return last != page.records.end() && HashOf(*last) == last_hash_;
}

// Records expired before this host read them, as after a long pause: one of
// them may have been a new head, so the fold starts over from an anchor. What
// the host obeys stays.
void config_history::ForgetUnread(std::uint64_t first) {
  anchored_ = false;
  trust_ = log_trust::kStarting;
  held_.clear();
  held_bytes_ = 0;
  position_ = first;
  window_first_ = first;
  if (candidate_ && candidate_->claim.read_to < first) {
    candidate_.reset();
  }
}

void config_history::Hold(const config_record& record) {
  const auto& claim = record.republication;
  if (claim && !record.malformed && claim->read_to >= window_first_ &&
      claim->read_to <= record.offset) {
    auto content = Checked(claim->revision, record.source);
    if (content) {
      candidate_ = anchor{*claim, std::move(content), record.published_at};
    }
  }
  held_.push_back(record);
  held_bytes_ += record.source.size();
  // Records before the candidate are not needed, and a host that finds no
  // anchor must not grow without bound.
  const std::uint64_t needed_from =
      candidate_ ? candidate_->claim.read_to : window_first_;
  while (!held_.empty() &&
         (held_.front().offset < needed_from || held_bytes_ > kMaxHeldBytes)) {
    held_bytes_ -= held_.front().source.size();
    window_first_ = held_.front().offset + 1;
    held_.pop_front();
  }
}

// Only at the log's end: the newest anchor is then known, and a start costs
// the check of the records after it instead of all that the log keeps.
void config_history::TryAnchor(const config_page& page,
                               std::vector<config_verdict>& out) {
  if (position_ < page.next) {
    return;
  }
  if (candidate_ && candidate_->claim.read_to >= window_first_) {
    AnchorAt(*candidate_, out);
    return;
  }
  if (window_first_ == 0) {
    anchor beginning;
    beginning.published_at = held_.empty() ? 0 : held_.front().published_at;
    AnchorAt(beginning, out);
    return;
  }
  trust_ = log_trust::kNoAnchor;
}

void config_history::AnchorAt(const anchor& chosen,
                              std::vector<config_verdict>& out) {
  anchored_ = true;
  trust_ = log_trust::kTrusted;
  head_ = chosen.claim.revision;
  anchor_offset_ = chosen.claim.read_to;
  anchor_published_at_ = chosen.published_at;
  position_ = std::max(position_, chosen.claim.read_to);
  Obey(chosen.configuration);
  const auto held = std::exchange(held_, {});
  held_bytes_ = 0;
  candidate_.reset();
  for (const auto& record : held) {
    if (record.offset >= anchor_offset_) {
      FoldRecord(record, out);
    }
  }
}

void config_history::FoldRecord(const config_record& record,
                                std::vector<config_verdict>& out) {
  if (record.malformed) {
    return;
  }
  if (!record.republication) {
    out.push_back(Judge(record));
    return;
  }
  // A reader that knows the head needs no claim about it. One for another
  // revision raced a publication; the readers that anchor on it fold from its
  // `read_to` and so meet the same publication.
  if (record.republication->revision == head_ &&
      record.republication->read_to > anchor_offset_ &&
      record.republication->read_to <= record.offset) {
    anchor_offset_ = record.republication->read_to;
    anchor_published_at_ = record.published_at;
  }
}

config_verdict config_history::Judge(const config_record& record) {
  config_verdict verdict{record.offset, record.publication, false, head_, {}};
  if (record.base != head_) {
    verdict.reason = "made from revision " + std::to_string(record.base) +
                     ", but revision " + std::to_string(head_) +
                     " was in force";
    return verdict;
  }
  auto next = Checked(record.offset + 1, record.source);
  if (!next) {
    verdict.reason = "the file has problems";
    return verdict;
  }
  head_ = record.offset + 1;
  Obey(next);
  verdict.accepted = true;
  verdict.head = head_;
  return verdict;
}

void config_history::TakePeerHead(const head_claim& claim,
                                  const std::string& source) {
  auto content = Checked(claim.revision, source);
  if (!content) {
    return;
  }
  Obey(content);
  if (anchored_ || claim.read_to == 0) {
    return;
  }
  seen_next_ = std::max(seen_next_, claim.read_to);
  if (!candidate_ || candidate_->claim.read_to < claim.read_to) {
    candidate_ = anchor{claim, std::move(content), 0};
  }
}

accepted_configuration_ptr config_history::Checked(
    config_revision revision, const std::string& source) const {
  if (obeyed_ && obeyed_->revision == revision && obeyed_->source == source) {
    return obeyed_;
  }
  auto content = check_(source);
  if (!content) {
    return nullptr;
  }
  return std::make_shared<accepted_configuration>(
      accepted_configuration{revision, source, std::move(*content)});
}

void config_history::Obey(const accepted_configuration_ptr& next) {
  if (next && next->revision > ObeyedRevision()) {
    obeyed_ = next;
  }
}

}  // namespace slatestall
