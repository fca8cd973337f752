#include "slatestall/node/publication_table.h"

#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

std::string NewPublicationId() {
  return StableHashText("publication", RandomBits()) +
         StableHashText("publication", RandomBits());
}

}  // namespace

std::string publication_table::Begin(config_revision base, time_point give_up,
                                     completion done) {
  auto id = NewPublicationId();
  open_[id] = entry{base, give_up, false, {}, std::move(done)};
  return id;
}

void publication_table::Sending(const std::string& id) {
  const auto found = open_.find(id);
  if (found != open_.end()) {
    found->second.may_be_in_log = true;
  }
}

void publication_table::Refused(const std::string& id,
                                const std::string& detail) {
  const auto found = open_.find(id);
  if (found != open_.end()) {
    found->second.may_be_in_log = false;
    found->second.detail = detail;
  }
}

void publication_table::Settle(const std::vector<config_verdict>& verdicts) {
  for (const auto& verdict : verdicts) {
    Finish(verdict.publication,
           {verdict.accepted ? publish_end::kAccepted : publish_end::kRefused,
            verdict.head, verdict.reason});
  }
}

// A head never comes back, so once it is a later one than the base, a record
// that is still on its way can only be refused. This settles a lost answer
// even where the record never reached the log.
void publication_table::HeadIs(config_revision head) {
  std::vector<std::string> lost;
  for (const auto& [id, entry] : open_) {
    if (entry.base < head) {
      lost.push_back(id);
    }
  }
  for (const auto& id : lost) {
    Finish(id, {publish_end::kRefused, head,
                "revision " + std::to_string(head) + " came first"});
  }
}

void publication_table::Expire(time_point now, config_revision head) {
  std::map<std::string, publish_result> late;
  for (const auto& [id, entry] : open_) {
    if (entry.give_up > now) {
      continue;
    }
    if (entry.may_be_in_log) {
      late[id] = {publish_end::kUnknown, head,
                  "the log's answer was lost and the record has not been seen"};
    } else {
      late[id] = {publish_end::kNotPublished, head,
                  "the log did not take the file: " + entry.detail};
    }
  }
  for (auto& [id, result] : late) {
    Finish(id, std::move(result));
  }
}

void publication_table::Finish(const std::string& id, publish_result result) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return;
  }
  const auto done = std::move(found->second.done);
  open_.erase(found);
  done(std::move(result));
}

}  // namespace slatestall
