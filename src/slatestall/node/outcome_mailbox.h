#pragma once

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <mutex>
#include <utility>

namespace slatestall {

/// @brief Lets traffic threads post to the control thread for as long as that
/// thread's owner lives. The hooks of a guard may outlive the io_context; the
/// mutex keeps a post from meeting its end half way.
/// @ingroup node
class outcome_mailbox {
 public:
  explicit outcome_mailbox(asio::io_context& control) : control_(&control) {}

  /// @brief False where the owner has gone; `work` is then not run.
  template <typename Work>
  bool Post(Work work) {
    const std::lock_guard lock(mutex_);
    if (control_ == nullptr) {
      return false;
    }
    asio::post(*control_, std::move(work));
    return true;
  }

  void Close() {
    const std::lock_guard lock(mutex_);
    control_ = nullptr;
  }

 private:
  std::mutex mutex_;
  asio::io_context* control_;
};

}  // namespace slatestall
