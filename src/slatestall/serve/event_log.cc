#include "slatestall/serve/event_log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <utility>

namespace slatestall {
namespace {

constexpr std::size_t kSeverities = 4;
constexpr const char* kLoggerName = "slatestall.serve";

log4cxx::LevelPtr LevelOf(log_severity severity) {
  switch (severity) {
    case log_severity::kDebug:
      return log4cxx::Level::getDebug();
    case log_severity::kInfo:
      return log4cxx::Level::getInfo();
    case log_severity::kWarning:
      return log4cxx::Level::getWarn();
    case log_severity::kError:
      break;
  }
  return log4cxx::Level::getError();
}

/// @brief Fields of one event in the logger's context, until destroyed.
class event_fields {
 public:
  void Add(const char* name, std::string_view value) {
    if (!value.empty()) {
      fields_.emplace_back(name, std::string(value));
    }
  }

 private:
  std::deque<log4cxx::MDC> fields_;
};

}  // namespace

void ConfigureLog(const std::string& level) {
  const auto layout = std::make_shared<log4cxx::JSONLayout>();
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::helpers::Pool pool;
  appender->activateOptions(pool);
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

class event_log::impl {
 public:
  impl(now_function now, std::uint32_t max_per_second)
      : now_(std::move(now)),
        max_per_second_(max_per_second),
        logger_(log4cxx::Logger::getLogger(kLoggerName)) {}

  void Write(const log_event& event) {
    const auto level = LevelOf(event.severity);
    if (!logger_->isEnabledFor(level)) {
      return;
    }
    if (!TakeTurn(event.severity)) {
      ++dropped_;
      return;
    }
    event_fields fields;
    fields.Add("request", event.request);
    fields.Add("workspace", event.workspace);
    fields.Add("stage", event.stage);
    fields.Add("endpoint", event.endpoint);
    fields.Add("attempt", event.attempt);
    fields.Add("detail", event.detail);
    logger_->forcedLog(level, std::string(event.message),
                       log4cxx::spi::LocationInfo::getLocationUnavailable());
  }

  std::uint64_t Dropped() const { return dropped_; }

 private:
  bool TakeTurn(log_severity severity) {
    const time_point now = now_();
    if (now - second_began_ >= std::chrono::seconds(1)) {
      second_began_ = now;
      written_.fill(0);
    }
    return written_.at(static_cast<std::size_t>(severity))++ < max_per_second_;
  }

  now_function now_;
  std::uint32_t max_per_second_;
  log4cxx::LoggerPtr logger_;
  time_point second_began_{};
  std::array<std::uint64_t, kSeverities> written_{};
  std::atomic<std::uint64_t> dropped_{0};
};

event_log::event_log(now_function now, std::uint32_t max_per_second)
    : impl_(std::make_unique<impl>(std::move(now), max_per_second)) {}
event_log::~event_log() = default;

void event_log::Write(const log_event& event) { impl_->Write(event); }
std::uint64_t event_log::Dropped() const { return impl_->Dropped(); }

}  // namespace slatestall
