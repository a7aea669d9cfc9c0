// Circuit breaker at the entry node, by class. Refuses requests while a service
// in their call chain has no server.
//
// A partitioned failure domain may have no server of one service. Requests that
// need the service fail only after all services above it have done their work,
// and a request that has run may not be safe to send again. A request refused
// before it runs can be retried by its caller when the partition may have
// ended.

#pragma once

#include <unordered_map>
#include <utility>
#include <vector>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

struct circuit_breaker_options {
  /// Consecutive requests of a class without a server that open the breaker;
  /// one or two may be caused by a restarting process.
  int failures_to_open = 3;
  /// One request in this interval is let through while the breaker is open.
  /// Probes most likely fail; recovered servers are detected without them.
  duration probe_interval = milliseconds(700);
};

/// Opening or closing of the breaker of one class.
struct breaker_change {
  class_name name;
  bool refused = false;
  /// Time since the first of the consecutive requests without a server.
  duration outage;
};

/// Order of use: `refuses` for each request, `observe` for each request that
/// was sent.
class circuit_breaker {
 public:
  explicit circuit_breaker(const circuit_breaker_options& options = {})
      : options_{options} {}

  /// True if a request of the class must be refused.
  auto refuses(const class_name& name, time_point now) -> bool;

  /// Reports the end of a request of the class; `no_server_found` is true if it
  /// or one of its calls found no server.
  void observe(const class_name& name, bool no_server_found, time_point now);

  /// Time since the first of the consecutive requests of the class without a
  /// server; 0 if the last one found a server.
  [[nodiscard]] auto outage(const class_name& name, time_point now) const
      -> duration;

  /// Closes all breakers because servers that were unreachable can be reached
  /// again.
  void reset(time_point now);

  /// Returns the changes since the last call, for the log.
  auto take_changes() -> std::vector<breaker_change> {
    return std::exchange(changes_, {});
  }

 private:
  struct failures {
    int count = 0;
    time_point first;
    time_point next_probe;
  };

  void record_close(const class_name& name, const failures& x, time_point now);

  circuit_breaker_options options_;
  std::unordered_map<class_name, failures> classes_;
  std::vector<breaker_change> changes_;
};

}  // namespace figwind
