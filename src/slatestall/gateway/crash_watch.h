#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/dispatch/endpoint_crash.h"
#include "slatestall/dispatch/endpoint_record.h"

namespace slatestall {

/// @brief Finds out which endpoints have crashed under calls of this host.
///
/// A call that breaks off may be the network's fault or one answer's. Of an
/// endpoint that has crashed the address refuses connections; where nothing
/// answers at all, nothing is concluded.
/// @ingroup gateway
class crash_watch {
 public:
  using crash_hook = std::function<void(const endpoint_crash&)>;

  crash_watch(asio::io_context& context, crash_hook on_crash);
  ~crash_watch();
  crash_watch(const crash_watch&) = delete;
  crash_watch& operator=(const crash_watch&) = delete;

  /// @brief A call broke off before its answer was whole.
  /// @param running What it may have crashed the endpoint by.
  void NoteBroken(const known_endpoint& endpoint,
                  const std::vector<request_digest>& running);

 private:
  struct probe;

  void Connect(const std::shared_ptr<probe>& one);
  void Conclude(const std::shared_ptr<probe>& one, bool refused);

  asio::io_context& context_;
  crash_hook on_crash_;
  std::map<endpoint_incarnation, std::shared_ptr<probe>> probes_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
