#include "slatestall/relay/caller_listener.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <unordered_set>
#include <utility>
#include <vector>

#include "slatestall/relay/caller_connection.h"

namespace slatestall {
namespace {

/// After a failed accept, as a rule for want of descriptors.
constexpr milliseconds kAcceptPause{50};

asio::ip::tcp::endpoint EndpointOf(const caller_listener_options& options) {
  return {asio::ip::make_address(options.address), options.port};
}

}  // namespace

class caller_listener::impl
    : public std::enable_shared_from_this<caller_listener::impl> {
 public:
  impl(asio::io_context& context, const caller_listener_options& options,
       request_hook hook)
      : context_(context),
        acceptor_(context, EndpointOf(options)),
        pause_(context),
        environment_(std::make_shared<caller_environment>()) {
    environment_->options = options;
    environment_->hook = std::move(hook);
  }

  void Start() {
    environment_->on_closed =
        [weak = weak_from_this()](
            const std::shared_ptr<caller_connection>& connection) {
          if (const auto self = weak.lock()) {
            self->OnClosed(connection);
          }
        };
    if (environment_->options.unread) {
      environment_->on_unread = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->BoundUnread();
        }
      };
    }
    Accept();
  }

  void StopAccepting() {
    stopped_ = true;
    // First, so that callers that wait behind idle ones find room.
    for (const auto& connection : Open()) {
      connection->CloseIfIdle();
    }
    TakeBacklog();
    asio::error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
  }

  void Stop() {
    stopped_ = true;
    ended_ = true;
    asio::error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
    environment_->hook = nullptr;
    TellCutOff();
    for (const auto& connection : Open()) {
      connection->Abort();
    }
  }

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }

  std::shared_ptr<caller_environment> Environment() { return environment_; }
  std::size_t Connections() const { return connections_.size(); }

  std::size_t Busy() const {
    const auto now = environment_->options.now();
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [now](const auto& one) { return one->IsBusy(now); }));
  }

 private:
  /// A copy: those that close leave the set.
  std::vector<std::shared_ptr<caller_connection>> Open() const {
    return {connections_.begin(), connections_.end()};
  }

  void Accept() {
    if (stopped_ || accepting_ || Full()) {
      return;
    }
    accepting_ = true;
    acceptor_.async_accept(
        [this, self = shared_from_this()](const asio::error_code& error,
                                          asio::ip::tcp::socket socket) {
          accepting_ = false;
          if (ended_ || (error && stopped_)) {
            return;
          }
          if (error) {
            PauseAccepting();
            return;
          }
          // Also when it has stopped meanwhile: the system has made the
          // connection, and closed now its caller would see a reset.
          Add(std::move(socket));
          Accept();
        });
  }

  bool Full() const {
    return connections_.size() >= environment_->options.max_connections;
  }

  void Add(asio::ip::tcp::socket socket) {
    const auto connection =
        std::make_shared<caller_connection>(std::move(socket), environment_);
    connections_.insert(connection);
    connection->Start();
  }

  void PauseAccepting() {
    pause_.expires_after(kAcceptPause);
    pause_.async_wait(
        [this, self = shared_from_this()](const asio::error_code& error) {
          if (!error) {
            Accept();
          }
        });
  }

  /// Connections that the system has made on our behalf hold callers that
  /// would see a reset if the socket were closed over them.
  void TakeBacklog() {
    asio::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error && !Full()) {
      asio::ip::tcp::socket socket(context_);
      acceptor_.accept(socket, error);
      if (!error) {
        Add(std::move(socket));
      }
    }
  }

  /// Closes at once: a burst within one handler could fill the memory. Those
  /// they served are told by a later handler.
  void BoundUnread() {
    auto& budget = *environment_->options.unread;
    while (const auto id = budget.ToClose()) {
      const auto found = std::find_if(
          connections_.begin(), connections_.end(),
          [&id](const auto& one) { return one->UnreadId() == id; });
      if (found == connections_.end()) {
        return;
      }
      const unread_close closed{budget.Of(*id), budget.Total()};
      if (cut_off_.empty()) {
        asio::post(context_, [weak = weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->TellCutOff();
          }
        });
      }
      cut_off_.push_back(*found);
      cut_off_.back()->CutOff();  // Takes it out of `connections_`.
      if (environment_->options.on_unread_closed) {
        environment_->options.on_unread_closed(closed);
      }
    }
  }

  void TellCutOff() {
    for (const auto& connection : std::exchange(cut_off_, {})) {
      connection->TellGone();
    }
  }

  void OnClosed(const std::shared_ptr<caller_connection>& connection) {
    const bool was_full = Full();
    connections_.erase(connection);
    if (was_full) {
      Accept();
    }
  }

  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  std::shared_ptr<caller_environment> environment_;
  std::unordered_set<std::shared_ptr<caller_connection>> connections_;
  /// Closed for their unread bytes; whom they served is not yet told.
  std::vector<std::shared_ptr<caller_connection>> cut_off_;
  bool accepting_ = false;
  bool stopped_ = false;  ///< Takes no new connection.
  bool ended_ = false;    ///< Its owner is gone.
};

caller_listener::caller_listener(asio::io_context& context,
                                 const caller_listener_options& options,
                                 request_hook hook)
    : impl_(std::make_shared<impl>(context, options, std::move(hook))) {
  impl_->Start();
}
caller_listener::~caller_listener() { impl_->Stop(); }

std::uint16_t caller_listener::Port() const { return impl_->Port(); }

void caller_listener::SetLimits(const caller_limits& limits) {
  impl_->Environment()->limits = limits;
  impl_->Environment()->knows_limits = true;
}

void caller_listener::AnnounceClose() {
  impl_->Environment()->last_answers = true;
}

void caller_listener::StopAccepting() { impl_->StopAccepting(); }

std::size_t caller_listener::Busy() const { return impl_->Busy(); }

std::size_t caller_listener::Connections() const {
  return impl_->Connections();
}

}  // namespace slatestall
