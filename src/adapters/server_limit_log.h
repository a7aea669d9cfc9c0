// Logs the rate of calls that a backend server gets while it names a limit.

#pragma once

#include <optional>

#include "adapters/log.h"
#include "figwind/units.h"

namespace figwind {

class server_limit_log {
 public:
  /// Counts a call that is sent to the server.
  void count_call() { ++calls_; }

  /// Call at each tick of the loop with the limit in force, in calls a second;
  /// empty for none. Writes a line after a change, and each period meanwhile.
  void on_tick(const std::string& server, std::optional<double> limit,
               time_point now) {
    const auto is_changed = limit != limit_;
    const auto is_due = limit && now - since_ >= period;
    if (!is_changed && !is_due) return;
    if (!limit_) restart(now);
    limit_ = limit;
    write(server, now);
  }

  [[nodiscard]] auto total_calls() const -> std::uint64_t {
    return total_ + calls_;
  }

 private:
  static constexpr auto period = seconds(4);

  void restart(time_point now) {
    total_ += calls_;
    calls_ = 0;
    since_ = now;
  }

  void write(const std::string& server, time_point now) {
    const auto limit = limit_ ? log_fields(*limit_) : log_fields(nullptr);
    log_info("server_limit", {{"server", server},
                              {"per_second", limit},
                              {"calls", calls_},
                              {"in_ms", (now - since_).ms}});
    restart(now);
  }

  std::optional<double> limit_;
  std::uint64_t calls_ = 0;
  std::uint64_t total_ = 0;
  time_point since_;
};

}  // namespace figwind
