#include "adapters/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
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

constexpr auto request_limits = log_limit_options{400, 200, seconds(10)};

// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t max_line_bytes = 4096;

/// Lines dropped since the last line that was written.
auto dropped_lines() -> std::atomic<std::uint64_t>& {
  static auto count = std::atomic<std::uint64_t>{0};
  return count;
}

/// Number of dropped lines that the line being written reports.
thread_local std::uint64_t reported_drops = 0;

/// Writes to a file descriptor and drops lines that would block.
class nonblocking_appender : public log4cplus::Appender {
 public:
  explicit nonblocking_appender(int descriptor) : descriptor_{descriptor} {}
  ~nonblocking_appender() override { destructorImpl(); }
  nonblocking_appender(const nonblocking_appender&) = delete;
  auto operator=(const nonblocking_appender&) -> nonblocking_appender& = delete;
  nonblocking_appender(nonblocking_appender&&) = delete;
  auto operator=(nonblocking_appender&&) -> nonblocking_appender& = delete;

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    auto line = event.getMessage();
    if (line.size() >= max_line_bytes) line.resize(max_line_bytes - 1);
    line += '\n';
    auto wait = pollfd{descriptor_, POLLOUT, 0};
    const auto ready = poll(&wait, 1, 0) == 1 && (wait.revents & POLLOUT) != 0;
    const auto size = static_cast<ssize_t>(line.size());
    if (!ready || ::write(descriptor_, line.data(), line.size()) != size) {
      ++dropped_lines();
    } else {
      dropped_lines() -= reported_drops;
    }
  }

 private:
  int descriptor_;
};

using admitted = std::optional<std::uint64_t>;

auto admit(log_limiter& limiter, const std::string& event, bool is_preferred)
    -> admitted {
  static auto mutex = std::mutex{};
  using std::chrono::steady_clock;
  using ms = std::chrono::duration<double, std::milli>;
  auto lock = std::lock_guard{mutex};
  // Read the clock under the lock: the limiter needs ascending times.
  auto now = ms{steady_clock::now().time_since_epoch()}.count();
  return limiter.admit(event, {now}, is_preferred);
}

void write_line(log4cplus::LogLevel level, const char* level_name,
                const std::string& event, std::uint64_t suppressed,
                const log_fields& fields) {
  auto line = log_fields{{"time_ms", now_ms()},
                         {"level", level_name},
                         {"process", process_name()},
                         {"event", event}};
  if (suppressed > 0) line["suppressed"] = suppressed;
  reported_drops = dropped_lines();
  if (reported_drops > 0) line["dropped"] = reported_drops;
  if (fields.is_object()) line.update(fields);
  auto logger = log4cplus::Logger::getInstance("figwind");
  auto text = line.dump(-1, ' ', false, log_fields::error_handler_t::replace);
  logger.log(level, text);
}

void write(log4cplus::LogLevel level, const char* level_name,
           const std::string& event, const log_fields& fields) {
  static auto limiter = log_limiter{};
  const auto suppressed = admit(limiter, event, true);
  if (suppressed) write_line(level, level_name, event, *suppressed, fields);
}

}  // namespace

void open_log(const std::string& process, log_stream to) {
  static log4cplus::Initializer initializer;
  process_name() = process;
  auto logger = log4cplus::Logger::getInstance("figwind");
  if (!logger.getAllAppenders().empty()) return;
  const auto descriptor =
      to == log_stream::error ? STDERR_FILENO : STDOUT_FILENO;
  auto appender =
      log4cplus::SharedAppenderPtr{new nonblocking_appender{descriptor}};
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

auto detail::admit_request_line(const std::string& event,
                                const request_id& root)
    -> std::optional<std::uint64_t> {
  static auto limiter = log_limiter{request_limits};
  return admit(limiter, event, is_sampled(root));
}

void detail::write_request_line(const std::string& event,
                                std::uint64_t suppressed,
                                const log_fields& fields) {
  write_line(log4cplus::INFO_LOG_LEVEL, "info", event, suppressed, fields);
}

}  // namespace figwind
