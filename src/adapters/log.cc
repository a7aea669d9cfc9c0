#include "adapters/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>

#include "figwind/log_limit.h"

namespace figwind {
namespace {

auto& process_name() {
  static auto name = std::string{"figwind"};
  return name;
}

auto now_ms() -> std::int64_t {
  using namespace std::chrono;
  auto since_epoch = system_clock::now().time_since_epoch();
  return duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

constexpr auto request_limits = log_limits{400, seconds(10)};

auto admit(const std::string& event, bool of_request)
    -> std::optional<std::uint64_t> {
  static auto mutex = std::mutex{};
  static auto others = log_limiter{};
  static auto requests = log_limiter{request_limits};
  auto& limiter = of_request ? requests : others;
  using std::chrono::steady_clock;
  using ms = std::chrono::duration<double, std::milli>;
  auto lock = std::lock_guard{mutex};
  // The clock is read under the lock because the limiter needs it in order.
  auto now = ms{steady_clock::now().time_since_epoch()}.count();
  return limiter.admit(event, {now});
}

void write(log4cplus::LogLevel level, const char* level_name,
           const std::string& event, const log_fields& fields,
           bool of_request = false) {
  auto suppressed = admit(event, of_request);
  if (!suppressed) return;
  auto line = log_fields{{"time_ms", now_ms()},
                         {"level", level_name},
                         {"process", process_name()},
                         {"event", event}};
  if (*suppressed > 0) line["suppressed"] = *suppressed;
  if (fields.is_object()) line.update(fields);
  auto logger = log4cplus::Logger::getInstance("figwind");
  auto text = line.dump(-1, ' ', false, log_fields::error_handler_t::replace);
  logger.log(level, text);
}

}  // namespace

void open_log(const std::string& process, log_stream to) {
  static log4cplus::Initializer initializer;
  process_name() = process;
  auto logger = log4cplus::Logger::getInstance("figwind");
  if (!logger.getAllAppenders().empty()) return;
  const auto to_stderr = to == log_stream::error;
  constexpr auto flush = true;
  auto appender = log4cplus::SharedAppenderPtr{
      new log4cplus::ConsoleAppender{to_stderr, flush}};
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
  logger.addAppender(appender);
  logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void log_info(const std::string& event, const log_fields& fields) {
  write(log4cplus::INFO_LOG_LEVEL, "info", event, fields);
}

void log_warning(const std::string& event, const log_fields& fields) {
  write(log4cplus::WARN_LOG_LEVEL, "warning", event, fields);
}

void log_error(const std::string& event, const log_fields& fields) {
  write(log4cplus::ERROR_LOG_LEVEL, "error", event, fields);
}

void log_request(const std::string& event, const log_fields& fields) {
  write(log4cplus::INFO_LOG_LEVEL, "info", event, fields, true);
}

}  // namespace figwind
