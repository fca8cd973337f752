#include "slatestall/gateway/task_thread.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace slatestall {

task_thread TaskThreadOf(asio::io_context& context) {
  task_thread thread;
  thread.post = [&context](task_thread::task task) {
    asio::post(context, std::move(task));
  };
  thread.after = [&context](milliseconds delay, task_thread::task task) {
    const auto timer = std::make_shared<asio::steady_timer>(context);
    timer->expires_after(delay);
    timer->async_wait(
        [timer, task = std::move(task)](const asio::error_code& error) {
          if (!error) {
            task();
          }
        });
  };
  return thread;
}

}  // namespace slatestall
