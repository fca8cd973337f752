#pragma once

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/platform/log_service.h"

namespace slatestall {

/// What a fake log does with one append.
enum class fake_append {
  kStore,
  kStoreAndLoseAnswer,
  kStoreAndGoDown,  ///< Before any waiting read shows the record.
  kLose,
  kRefuse,
};

/// The platform's log for tests: one stream, faults on request.
class fake_platform_log {
 public:
  explicit fake_platform_log(asio::io_context& context) : context_(context) {}

  log_service Service() {
    return {[this](const std::string&, const std::string& payload, auto done) {
              Append(payload, std::move(done));
            },
            [this](const std::string&, log_offset from, milliseconds wait,
                   auto done) { Read(from, wait, std::move(done)); }};
  }

  /// What the next appends do; `kStore` after the last.
  void Script(std::deque<fake_append> next) { script_ = std::move(next); }
  void SetDown(bool down) { down_ = down; }
  void Expire(log_offset first) { first_ = first; }
  const std::vector<std::string>& Records() const { return records_; }
  const std::vector<milliseconds>& Waits() const { return waits_; }

 private:
  using append_done = std::function<void(append_result)>;
  using read_done = std::function<void(read_result)>;

  struct waiting_read {
    log_offset from;
    read_done done;
  };

  void Append(const std::string& payload, append_done done) {
    auto action = down_ ? fake_append::kLose : fake_append::kStore;
    if (!script_.empty()) {
      action = script_.front();
      script_.pop_front();
    }
    append_result result;
    if (action == fake_append::kRefuse) {
      result = {append_end::kRefused, 0, "status 429"};
    } else if (action != fake_append::kLose) {
      records_.push_back(payload);
      result.offset = records_.size() - 1;
    }
    down_ = down_ || action == fake_append::kStoreAndGoDown;
    if (action == fake_append::kStore) {
      result.end = append_end::kAppended;
    }
    asio::post(context_, [done = std::move(done), result] { done(result); });
    Wake();
  }

  void Read(log_offset from, milliseconds wait, read_done done) {
    waits_.push_back(wait);
    if (!down_ && wait.count() > 0 && from >= records_.size()) {
      waiting_.push_back({from, std::move(done)});
      return;
    }
    Answer(from, std::move(done));
  }

  void Wake() {
    for (auto& read : std::exchange(waiting_, {})) {
      Answer(read.from, std::move(read.done));
    }
  }

  void Answer(log_offset from, read_done done) {
    read_result result;
    result.ok = !down_;
    result.first = first_;
    result.next = records_.size();
    for (auto i = std::max(from, first_); i < records_.size(); ++i) {
      result.records.push_back({i, records_[i]});
    }
    asio::post(context_, [done = std::move(done), result = std::move(result)] {
      done(result);
    });
  }

  asio::io_context& context_;
  std::vector<std::string> records_;
  std::vector<milliseconds> waits_;
  std::vector<waiting_read> waiting_;
  std::deque<fake_append> script_;
  log_offset first_ = 0;
  bool down_ = false;
};

}  // namespace slatestall
