#include "slatestall/node/config_follower.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "slatestall/node/config_record_codec.h"
#include "slatestall/node/publication_table.h"
#include "slatestall/node/stream_reader.h"
#include "slatestall/policy/config_republication.h"

namespace slatestall {
namespace {

constexpr milliseconds kTick{100};
/// After an answer that is not believed, or tells no head.
constexpr milliseconds kDistrustGap{1000};
/// Before a refused append is tried again.
constexpr milliseconds kAppendRetry{250};
/// Before a republication is judged again.
constexpr milliseconds kRepublicationGap{5000};

}  // namespace

class config_follower::impl
    : public std::enable_shared_from_this<config_follower::impl> {
 public:
  impl(asio::io_context& context, config_follower_options options,
       check_configuration check, log_service log, now_function now,
       config_follower_hooks hooks)
      : options_(std::move(options)),
        history_(std::move(check)),
        log_(std::move(log)),
        now_(std::move(now)),
        hooks_(std::move(hooks)),
        tick_timer_(context),
        reader_(context, log_, options_.stream, now_, ReaderHooks()) {}

  void Start() {
    reader_.Start();
    ScheduleTick();
  }

  void Stop() {
    stopped_ = true;
    tick_timer_.cancel();
  }

  const config_history& History() const { return history_; }
  bool LogReachable() const { return reachable_; }

  void Publish(config_revision base, std::string source,
               std::function<void(publish_result)> done) {
    const auto obeyed = history_.ObeyedRevision();
    if (base < obeyed) {
      done({publish_end::kRefused, obeyed,
            "revision " + std::to_string(obeyed) + " is in force"});
      return;
    }
    if (!history_.Head()) {
      done({publish_end::kNotPublished, obeyed,
            "the log cannot be judged now: " +
                std::string(NameIn(kLogTrustNames, history_.Trust()))});
      return;
    }
    config_record record;
    record.publication = publications_.Begin(
        base, now_() + options_.publish_timeout, std::move(done));
    record.base = base;
    record.source = std::move(source);
    record.published_at = hooks_.wall_clock();
    Append(record.publication, EncodeConfigRecord(record));
  }

  void TakePeerHead(const head_claim& claim, const std::string& source) {
    const auto before = history_.ObeyedRevision();
    history_.TakePeerHead(claim, source);
    if (history_.ObeyedRevision() != before) {
      hooks_.on_change();
    }
  }

 private:
  struct append_retry {
    time_point at;
    std::string id;
    std::string payload;
  };

  /// A completion that does nothing once the follower is gone.
  template <typename Method, typename... Bound>
  auto Weak(Method method, Bound... bound) {
    return [weak = weak_from_this(), method, bound...](auto&&... arguments) {
      const auto self = weak.lock();
      if (self && !self->stopped_) {
        ((*self).*method)(bound...,
                          std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

  stream_reader_hooks ReaderHooks() {
    stream_reader_hooks hooks;
    hooks.from = [this] {
      floor_ = history_.Floor();
      return history_.ReadFrom();
    };
    // Until the head is known nothing can be published, so nothing is waited
    // for; an anchor may also come from a peer.
    hooks.may_wait = [this] { return history_.Trust() == log_trust::kTrusted; };
    hooks.take = [this](const read_result& read) { return OnRead(read); };
    return hooks;
  }

  milliseconds OnRead(const read_result& read) {
    const auto before_reachable = reachable_;
    const auto before_trust = history_.Trust();
    const auto before_revision = history_.ObeyedRevision();
    reachable_ = read.ok;
    if (read.ok) {
      Take(read);
    }
    const auto trust = history_.Trust();
    if (before_reachable != reachable_ || before_trust != trust ||
        before_revision != history_.ObeyedRevision()) {
      hooks_.on_change();
    }
    return trust == log_trust::kTrusted || trust == log_trust::kStarting
               ? milliseconds{0}
               : kDistrustGap;
  }

  void Take(const read_result& read) {
    const auto old_anchor = history_.AnchorOffset();
    const bool was_anchored = history_.Head().has_value();
    publications_.Settle(history_.Take(DecodeConfigPage(read), floor_));
    const auto head = history_.Head();
    if (!head) {
      return;
    }
    publications_.HeadIs(head->revision);
    if (!was_anchored || old_anchor != history_.AnchorOffset()) {
      anchor_seen_ = now_();
    }
  }

  void Append(const std::string& id, const std::string& payload) {
    publications_.Sending(id);
    log_.append(options_.stream, payload, Weak(&impl::OnAppended, id, payload));
  }

  void OnAppended(const std::string& id, const std::string& payload,
                  const append_result& result) {
    if (result.end != append_end::kRefused || !publications_.IsOpen(id)) {
      return;
    }
    publications_.Refused(id, result.detail);
    retries_.push_back({now_() + kAppendRetry, id, payload});
  }

  void RetryAppends() {
    const auto due = std::partition(
        retries_.begin(), retries_.end(),
        [now = now_()](const auto& retry) { return retry.at > now; });
    const std::vector<append_retry> ready(due, retries_.end());
    retries_.erase(due, retries_.end());
    for (const auto& retry : ready) {
      if (publications_.IsOpen(retry.id)) {
        Append(retry.id, retry.payload);
      }
    }
  }

  void ScheduleTick() {
    tick_timer_.expires_after(kTick);
    tick_timer_.async_wait(Weak(&impl::OnTick));
  }

  void OnTick(const asio::error_code& error) {
    if (error) {
      return;
    }
    publications_.Expire(now_(), history_.ObeyedRevision());
    RetryAppends();
    RepublishIfDue();
    ScheduleTick();
  }

  std::chrono::seconds AnchorAge() const {
    const auto seen =
        std::chrono::duration_cast<std::chrono::seconds>(now_() - anchor_seen_);
    const auto published_at = history_.AnchorPublishedAt();
    if (published_at == 0) {
      return seen;
    }
    const std::chrono::seconds told{hooks_.wall_clock() - published_at};
    return std::max(seen, told);
  }

  bool RepublicationIsDue() const {
    const auto head = history_.Head();
    if (!head || !reachable_ || history_.Trust() != log_trust::kTrusted) {
      return false;
    }
    return RepublicationDue({*head, history_.AnchorOffset(),
                             history_.FirstKept(), AnchorAge(),
                             options_.retention});
  }

  void RepublishIfDue() {
    if (!RepublicationIsDue()) {
      due_since_.reset();
      return;
    }
    if (!due_since_) {
      due_since_ = now_();
    }
    const auto delay = RepublicationDelay(options_.host, hooks_.live_hosts(),
                                          history_.AnchorOffset());
    if (now_() < *due_since_ + delay || now_() < next_republication_) {
      return;
    }
    next_republication_ = now_() + kRepublicationGap;
    Republish(*history_.Head());
  }

  // Only a head that this host folded itself is republished, never one that
  // it obeys by a peer's word alone.
  void Republish(const head_claim& head) {
    const auto& obeyed = history_.Obeyed();
    if (!obeyed || obeyed->revision != head.revision) {
      return;
    }
    config_record record;
    record.publication = "republication by " + options_.host;
    record.source = obeyed->source;
    record.republication = head;
    record.published_at = hooks_.wall_clock();
    log_.append(options_.stream, EncodeConfigRecord(record),
                [](const append_result&) {});
  }

  config_follower_options options_;
  config_history history_;
  log_service log_;
  now_function now_;
  config_follower_hooks hooks_;
  asio::steady_timer tick_timer_;
  publication_table publications_;
  std::vector<append_retry> retries_;
  bool stopped_ = false;
  bool reachable_ = false;
  std::uint64_t floor_ = 0;  ///< When the read under way was begun.
  time_point anchor_seen_{};
  std::optional<time_point> due_since_;
  time_point next_republication_{};
  stream_reader reader_;  ///< Last: its hooks use the members above.
};

config_follower::config_follower(asio::io_context& context,
                                 config_follower_options options,
                                 check_configuration check, log_service log,
                                 now_function now, config_follower_hooks hooks)
    : impl_(std::make_shared<impl>(context, std::move(options),
                                   std::move(check), std::move(log),
                                   std::move(now), std::move(hooks))) {}

config_follower::~config_follower() { impl_->Stop(); }

void config_follower::Start() { impl_->Start(); }

const config_history& config_follower::History() const {
  return impl_->History();
}

bool config_follower::LogReachable() const { return impl_->LogReachable(); }

void config_follower::Publish(config_revision base, std::string source,
                              std::function<void(publish_result)> done) {
  impl_->Publish(base, std::move(source), std::move(done));
}

void config_follower::TakePeerHead(const head_claim& claim,
                                   const std::string& source) {
  impl_->TakePeerHead(claim, source);
}

}  // namespace slatestall
