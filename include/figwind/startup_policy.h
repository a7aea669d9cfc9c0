// Handling of requests at a node that has no configuration yet.
//
// A node that starts alone gets a configuration within a few round trips. After
// a power loss of all VMs, the control members start later than the nodes and
// must elect a leader first.

#pragma once

#include <algorithm>

#include "figwind/units.h"

namespace figwind {

struct startup_policy {
  /// Time from the start of the node until it has a configuration, if the
  /// control members have just started as well.
  duration expected_config_delay = milliseconds(700);
  /// Maximum time for which a request is held.
  duration max_hold = milliseconds(250);
  /// Minimum delay before callers retry, used once `expected_config_delay` has
  /// passed.
  duration min_retry_delay = milliseconds(500);
  /// Callers return spread over this time, so that they do not all reach the
  /// cold servers at once.
  duration retry_jitter = milliseconds(300);

  /// Time after which the caller of a refused request may retry, `elapsed`
  /// after the start of the node; `uniform` is a random number in [0, 1).
  [[nodiscard]] auto retry_after(duration elapsed, double uniform) const
      -> duration {
    const auto remaining = expected_config_delay + retry_jitter - elapsed;
    return std::max(remaining, min_retry_delay) + retry_jitter * uniform;
  }
};

}  // namespace figwind
