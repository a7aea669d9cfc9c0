// Detects crashes of the backend server beside a node, and refuses the requests
// that cause them.
//
// A broken connection is either a lost answer or a crash. A crashed server
// accepts no connections for a while, so the node probes whether it accepts one
// after the connection of a run has broken.

#pragma once

#include <set>
#include <vector>

#include "figwind/crash_guard.h"

namespace figwind {

class crash_detector {
 public:
  explicit crash_detector(node_id self, crash_guard_settings settings = {});

  /// True if the request has crashed too many servers to run again.
  [[nodiscard]] auto is_refused(request_fingerprint request,
                                time_point now) const -> bool;

  void on_started(request_fingerprint request, time_point now);

  /// Records that a run ended with an answer.
  void on_answered(request_fingerprint request, time_point now);

  /// Records that a run ended without an answer for another reason than a
  /// broken connection, or never started.
  void on_ended(request_fingerprint request, time_point now);

  /// Records that the connection of a run broke. Returns true if the caller
  /// must probe whether the server accepts connections, and then call
  /// `on_probed`.
  auto on_disconnected(request_fingerprint request, time_point now) -> bool;

  /// Handles the result of the probe. Returns the report for other nodes, empty
  /// if the server is up.
  auto on_probed(bool accepts, time_point now) -> crash_report;

  /// Returns all remembered crashes, for a node that may have just started.
  [[nodiscard]] auto full_report(time_point now) const -> crash_report;

  /// Merges the report of another node. Returns what was not known before, to
  /// be passed on.
  auto merge(const crash_report& report, time_point now) -> crash_report;

 private:
  crash_guard guard_;
  /// Runs whose connection broke since the server was last known to be up.
  std::vector<request_fingerprint> disconnected_runs_;
  bool probe_pending_ = false;
  /// True while the server is known to have crashed; the connections of runs
  /// that started before the crash break, too.
  bool server_down_ = false;
  /// Runs that started after the crash. If the connection of one of them
  /// breaks, the server had been up again.
  std::multiset<request_fingerprint> runs_since_crash_;

  void forget_run(request_fingerprint request);
};

}  // namespace figwind
