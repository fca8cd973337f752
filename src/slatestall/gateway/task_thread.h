#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Runs tasks one after the other, on a thread or in the virtual time of
/// a model.
/// @ingroup gateway
struct task_thread {
  using task = std::function<void()>;

  std::function<void(task)> post;  ///< From any thread; runs later.
  std::function<void(milliseconds delay, task)> after;
};

/// @param context Outlives what is posted.
task_thread TaskThreadOf(asio::io_context& context);

}  // namespace slatestall
