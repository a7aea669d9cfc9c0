// Exponential backoff for connection attempts to another process.

#pragma once

#include <algorithm>

#include "figwind/units.h"

namespace figwind {

/// Timeouts and delays of connection attempts.
struct reconnect_options {
  /// A packet to a VM without power is lost, and the kernel retransmits it only
  /// after 1 s, so an attempt is abandoned after a few round trips.
  duration initial_timeout = milliseconds(150);
  duration max_timeout = milliseconds(400);
  /// Delay after an attempt that was refused at once.
  duration initial_delay = milliseconds(50);
  duration max_delay = milliseconds(250);
  /// Factor by which timeouts and delays grow with each attempt.
  double multiplier = 1.5;
};

/// Backoff of the connection attempts to one peer.
class reconnect_backoff {
 public:
  explicit reconnect_backoff(const reconnect_options& options = {})
      : options_{options},
        timeout_{options.initial_timeout},
        delay_{options.initial_delay} {}

  /// True if an attempt should start; call it only while none is in progress.
  [[nodiscard]] auto is_due(time_point now) const -> bool {
    return now >= next_attempt_;
  }

  /// True if the attempt in progress should be abandoned and repeated.
  [[nodiscard]] auto has_timed_out(time_point now) const -> bool {
    return now - started_ >= timeout_;
  }

  /// Records that an attempt starts.
  void on_start(time_point now) {
    started_ = now;
    next_attempt_ = now + delay_;
  }

  /// Records that the attempt in progress failed or timed out.
  void on_failure() {
    timeout_ = std::min(timeout_ * options_.multiplier, options_.max_timeout);
    delay_ = std::min(delay_ * options_.multiplier, options_.max_delay);
  }

  /// Records that the peer answered: the next loss starts with short timeouts
  /// again.
  void on_success() {
    timeout_ = options_.initial_timeout;
    delay_ = options_.initial_delay;
  }

 private:
  reconnect_options options_;
  duration timeout_;
  duration delay_;
  time_point started_;
  time_point next_attempt_;
};

}  // namespace figwind
