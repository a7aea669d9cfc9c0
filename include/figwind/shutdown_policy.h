// Graceful shutdown of a node.
//
// Callers notice within two checks that the node accepts no new work, and some
// requests arrive until the node has exited. Accepted requests must end before
// the process does.

#pragma once

#include <algorithm>

#include "figwind/units.h"

namespace figwind {

struct shutdown_policy {
  shutdown_policy() = default;
  /// With a shorter grace period, all times except the notice period are scaled
  /// down.
  explicit shutdown_policy(duration stop_to_kill) : grace_period{stop_to_kill} {
    const auto scale = std::min(grace_period / seconds(6), 1.0);
    run_period = run_period * scale;
    accept_period = accept_period * scale;
    exit_margin = exit_margin * scale;
  }

  /// Time from the stop request until the process is killed.
  duration grace_period = seconds(6);
  /// Time within which callers notice: two checks, one second apart.
  duration notice_period = milliseconds(2300);
  /// Time during which the backend server gets work, so that its requests have
  /// made most of their calls when the node stops accepting.
  duration run_period = milliseconds(1800);
  /// Time during which requests are accepted; later ones might not finish
  /// within the grace period.
  duration accept_period = milliseconds(2900);
  /// Time before the end of the grace period at which the process exits in any
  /// case.
  duration exit_margin = milliseconds(400);

  /// True while the backend server of the node gets new work, `elapsed` after
  /// the stop request.
  [[nodiscard]] auto starts_runs(duration elapsed) const -> bool {
    return elapsed <= run_period;
  }
  /// True while requests are accepted, `elapsed` after the stop request.
  [[nodiscard]] auto accepts_requests(duration elapsed) const -> bool {
    return elapsed <= accept_period;
  }
  /// True if a request that takes `expected` can end before the process exits.
  [[nodiscard]] auto can_finish(duration elapsed, duration expected) const
      -> bool {
    return elapsed + expected <= grace_period - exit_margin;
  }
  /// True if the process may exit; `idle` is true if no request is in progress.
  [[nodiscard]] auto may_exit(duration elapsed, bool idle) const -> bool {
    return (idle && elapsed > notice_period) ||
           elapsed >= grace_period - exit_margin;
  }
};

}  // namespace figwind
