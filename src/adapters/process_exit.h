// The end of a daemon whose event loop has ended.

#pragma once

#include <cstdlib>

#include "adapters/log.h"

namespace figwind {

/// Logs `stopped` and ends the process without destructors. They join threads:
/// those of the log library blocked on the platform's VMs until the process was
/// killed, and a worker's ends only after its computation. Log lines are
/// written at once, and what must survive has been synced before.
[[noreturn]] inline void exit_at_once() {
  log_info("stopped");
  std::quick_exit(EXIT_SUCCESS);
}

}  // namespace figwind
