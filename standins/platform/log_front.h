#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "slatestall/http/http_server.h"
#include "standins/common/token_bucket.h"
#include "standins/platform/log_store.h"
#include "standins/platform/platform_faults.h"

namespace slatestall {

struct log_front_options {
  log_retention retention;
  double appends_per_second = 400;
  std::size_t max_record_bytes = std::size_t{256} << 10U;
};

/// @brief The log's HTTP calls: appends, and reads that wait for a record.
class log_front {
 public:
  log_front(asio::io_context& context, const log_front_options& options,
            platform_faults& faults);

  void Append(const std::string& stream, const http_request& request,
              const http_responder_ptr& responder);
  void Read(const std::string& stream, const http_request& request,
            const http_responder_ptr& responder);
  /// @brief The log comes back from a copy of that age.
  void Restore(milliseconds age);
  /// @brief Ends the waiting reads where reads are down now.
  void FaultsChanged();

  std::uint64_t Appends() const { return appends_; }
  std::uint64_t RefusedAppends() const { return refused_; }

 private:
  struct waiting_read {
    explicit waiting_read(asio::io_context& context) : timer(context) {}
    std::string stream;
    std::uint64_t from = 0;
    std::size_t max_bytes = 0;
    http_responder_ptr responder;
    asio::steady_timer timer;
    bool over = false;
  };
  using waiting_read_ptr = std::shared_ptr<waiting_read>;

  http_headers EraHeader() const;
  void Answer(const waiting_read_ptr& read);
  void WakeReaders(const std::string& stream);
  void Wait(const waiting_read_ptr& read, milliseconds limit);

  asio::io_context& context_;
  log_front_options options_;
  platform_faults& faults_;
  log_store store_;
  token_bucket append_limit_;
  std::list<waiting_read_ptr> waiting_;
  std::uint64_t appends_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace slatestall
