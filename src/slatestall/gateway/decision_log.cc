#include "slatestall/gateway/decision_log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace slatestall {
namespace {

constexpr const char* kLoggerName = "slatestall.decisions";
/// Lines that may wait for the writing thread; at some 300 bytes each they
/// hold a quarter of a megabyte.
constexpr int kQueuedLines = 1024;

log4cxx::LoggerPtr MakeLogger() {
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  const auto console = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemOut());
  log4cxx::helpers::Pool pool;
  console->activateOptions(pool);
  const auto queue = std::make_shared<log4cxx::AsyncAppender>();
  queue->setBufferSize(kQueuedLines);
  queue->setBlocking(false);
  queue->addAppender(console);
  queue->activateOptions(pool);
  auto logger = log4cxx::Logger::getLogger(kLoggerName);
  logger->removeAllAppenders();
  logger->setAdditivity(false);
  logger->addAppender(queue);
  logger->setLevel(log4cxx::Level::getInfo());
  return logger;
}

struct event_rate {
  time_point second_began{};
  std::uint32_t written = 0;
  std::uint64_t dropped = 0;
};

}  // namespace

class decision_log::impl {
 public:
  impl(std::string host, std::uint32_t max_per_second, now_function now)
      : host_(std::move(host)),
        max_per_second_(max_per_second),
        now_(std::move(now)),
        logger_(MakeLogger()) {}

  ~impl() { logger_->removeAllAppenders(); }

  void Write(std::string_view event, nlohmann::json fields) {
    std::uint64_t dropped = 0;
    const time_point now = now_();
    {
      const std::lock_guard lock(mutex_);
      if (!TakeTurn(event, now, dropped)) {
        return;
      }
    }
    fields["event"] = event;
    fields["host"] = host_;
    fields["ms"] =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
            .count();
    if (dropped > 0) {
      fields["dropped_before"] = dropped;
    }
    logger_->forcedLog(
        log4cxx::Level::getInfo(),
        fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        log4cxx::spi::LocationInfo::getLocationUnavailable());
  }

  std::uint64_t Dropped() const {
    const std::lock_guard lock(mutex_);
    return dropped_;
  }

 private:
  bool TakeTurn(std::string_view event, time_point now,
                std::uint64_t& dropped) {
    auto& rate = rates_[std::string(event)];
    if (now - rate.second_began >= std::chrono::seconds(1)) {
      rate.second_began = now;
      rate.written = 0;
    }
    if (rate.written >= max_per_second_) {
      ++rate.dropped;
      ++dropped_;
      return false;
    }
    ++rate.written;
    dropped = std::exchange(rate.dropped, 0);
    return true;
  }

  const std::string host_;
  const std::uint32_t max_per_second_;
  const now_function now_;
  log4cxx::LoggerPtr logger_;
  mutable std::mutex mutex_;
  std::map<std::string, event_rate, std::less<>> rates_;
  std::uint64_t dropped_ = 0;
};

decision_log::decision_log(std::string host, std::uint32_t max_per_second,
                           now_function now)
    : impl_(std::make_unique<impl>(std::move(host), max_per_second,
                                   std::move(now))) {}
decision_log::~decision_log() = default;

void decision_log::Write(std::string_view event, nlohmann::json fields) {
  impl_->Write(event, std::move(fields));
}
std::uint64_t decision_log::Dropped() const { return impl_->Dropped(); }

}  // namespace slatestall
