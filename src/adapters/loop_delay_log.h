// Logs when handlers have kept the event loop from its periodic tick.

#pragma once

#include "adapters/log.h"
#include "figwind/units.h"

namespace figwind {

class loop_delay_log {
 public:
  /// Call at each tick of the loop. Writes `event_loop_delayed` with the time
  /// since the last tick if that is long enough to miss heartbeats.
  void on_tick(time_point now) {
    const auto passed = now - last_tick_;
    if (last_tick_.ms != 0 && passed > min_logged_delay) {
      log_warning("event_loop_delayed", {{"ms", passed.ms}});
    }
    last_tick_ = now;
  }

 private:
  /// Two heartbeat intervals of the control members.
  static constexpr auto min_logged_delay = milliseconds(100);

  time_point last_tick_;
};

}  // namespace figwind
