// Rate limit of log lines per event name.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

/// At most `max_lines` lines of one event are written within `window`.
struct log_limit_options {
  std::size_t max_lines = 10;
  /// Lines out of `max_lines` that only callers with `may_use_reserved` may
  /// write.
  std::size_t reserved_lines = 0;
  duration window = seconds(10);
  /// Number of event names with a limit for each; all others share one limit.
  std::size_t max_events = 512;
};

/// True for one request in eight, the same ones in all processes. Their lines
/// are kept if not all can be, so that these requests can be traced through
/// every process.
auto is_sampled(const request_id& root) -> bool;

/// Decides which log lines are written.
class log_limiter {
 public:
  explicit log_limiter(log_limit_options limits = {}) : limits_{limits} {}

  /// Returns the number of lines of `event` suppressed since its last written
  /// line, or nothing if this line is suppressed, too. `now` must not go back.
  /// Once the other lines are used, only lines with `may_use_reserved` are
  /// admitted.
  auto admit(const std::string& event, time_point now,
             bool may_use_reserved = true) -> std::optional<std::uint64_t>;

 private:
  struct event_state {
    time_point window_start;
    std::size_t written = 0;
    std::uint64_t suppressed = 0;
  };

  log_limit_options limits_;
  std::map<std::string, event_state> events_;
};

}  // namespace figwind
