#include "slatestall/node/outcome_service.h"

#include <asio/steady_timer.hpp>
#include <utility>

#include "slatestall/node/outcome_control.h"
#include "slatestall/node/outcome_mailbox.h"

namespace slatestall {
namespace {

constexpr milliseconds kTickInterval{10};

claim_decision ShuttingDown() {
  claim_decision decision;
  decision.refusal = error_kind::kDraining;
  decision.detail = "this host is shutting down";
  return decision;
}

std::uint64_t SecretOf(const outcome_options& options) {
  return options.key_secret != 0 ? options.key_secret : RandomBits();
}

key_lookup NotTold() {
  key_lookup told;
  told.detail = "this host is shutting down";
  return told;
}

}  // namespace

class outcome_service::impl
    : public std::enable_shared_from_this<outcome_service::impl> {
 public:
  impl(asio::io_context& control, const host_id& self,
       const outcome_options& options, log_service log,
       const outcome_peers& peers, now_function now)
      : now_(std::move(now)),
        timer_(control),
        mailbox_(std::make_shared<outcome_mailbox>(control)),
        gate_(std::make_shared<outcome_gate>()),
        keys_(std::make_shared<key_directory>(
            self, SecretOf(options), options.key_lifetime,
            claim_table_limits{options.max_home_keys,
                               options.max_outcome_memory})),
        control_(std::make_shared<outcome_control>(
            self, options, std::move(log), peers, now_, keys_, gate_)) {
    control_->Listen();
  }

  void StartTimer() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (self == nullptr || error) {
        return;
      }
      self->control_->Tick();
      self->StartTimer();
    });
  }

  void Stop() {
    timer_.cancel();
    mailbox_->Close();
    control_->Stop();
  }

  outcome_guard Guard() const;
  outcome_control& Control() const { return *control_; }

 private:
  now_function now_;
  asio::steady_timer timer_;
  std::shared_ptr<outcome_mailbox> mailbox_;
  std::shared_ptr<outcome_gate> gate_;
  std::shared_ptr<key_directory> keys_;
  std::shared_ptr<outcome_control> control_;
};

outcome_guard outcome_service::impl::Guard() const {
  outcome_guard guard;
  const std::weak_ptr<outcome_control> weak = control_;
  guard.begin = [weak, mailbox = mailbox_](const keyed_request& request,
                                           const auto& done) {
    const bool posted = mailbox->Post([weak, request, done] {
      if (const auto control = weak.lock()) {
        control->Begin(request, done);
      } else {
        done(ShuttingDown());
      }
    });
    if (!posted) {
      done(ShuttingDown());
    }
  };
  guard.may_dispatch = [gate = gate_, now = now_](const keyed_request& asked) {
    return gate->IsOpen(asked.id.text, now());
  };
  // The gate shuts on the caller's thread: whatever order the threads run in,
  // nothing is dispatched once a request has ended.
  guard.finish = [weak, mailbox = mailbox_, gate = gate_](
                     const keyed_request& request,
                     const stored_outcome& outcome) {
    gate->Close(request.id.text);
    mailbox->Post([weak, request, outcome] {
      if (const auto control = weak.lock()) {
        control->Finish(request, outcome);
      }
    });
  };
  guard.release = [weak, mailbox = mailbox_,
                   gate = gate_](const keyed_request& request) {
    gate->Close(request.id.text);
    mailbox->Post([weak, request] {
      if (const auto control = weak.lock()) {
        control->Release(request);
      }
    });
  };
  guard.mint_key = [keys = keys_, now = now_](const std::string& workspace) {
    return keys->Mint(workspace, now());
  };
  guard.lookup = [weak, mailbox = mailbox_](
                     const std::string& workspace, const std::string& key,
                     time_point deadline, const auto& done) {
    const bool posted = mailbox->Post([weak, workspace, key, deadline, done] {
      if (const auto control = weak.lock()) {
        control->Lookup(workspace, key, deadline, done);
      } else {
        done(NotTold());
      }
    });
    if (!posted) {
      done(NotTold());
    }
  };
  return guard;
}

outcome_service::outcome_service(asio::io_context& control, const host_id& self,
                                 const outcome_options& options,
                                 log_service log, const outcome_peers& peers,
                                 now_function now)
    : impl_(std::make_shared<impl>(control, self, options, std::move(log),
                                   peers, std::move(now))) {
  if (options.run_timer) {
    impl_->StartTimer();
  }
}

outcome_service::~outcome_service() { impl_->Stop(); }

outcome_guard outcome_service::Guard() { return impl_->Guard(); }

void outcome_service::Drain(
    std::function<void(const std::string& successor)> done) {
  impl_->Control().Drain(std::move(done));
}

outcome_counters outcome_service::Counters() const {
  return impl_->Control().Counters();
}

void outcome_service::Tick() { impl_->Control().Tick(); }

}  // namespace slatestall
