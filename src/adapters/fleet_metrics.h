// Prometheus metrics of a node or control member.

#pragma once

#include <memory>
#include <optional>
#include <string>

#include "figwind/units.h"

namespace figwind {

class fleet_metrics {
 public:
  fleet_metrics();
  ~fleet_metrics();
  fleet_metrics(const fleet_metrics&) = delete;
  auto operator=(const fleet_metrics&) -> fleet_metrics& = delete;
  fleet_metrics(fleet_metrics&&) = delete;
  auto operator=(fleet_metrics&&) -> fleet_metrics& = delete;

  /// Counts a finished request of a caller. `outcome` and `reason` come from
  /// fixed sets, so that the number of label values is bounded.
  void count_request(const std::string& outcome, const std::string& reason,
                     duration taken);
  /// Counts a call at the backend server of the node that ended or was refused.
  void count_backend_call(const std::string& outcome, duration taken);
  /// Counts a send of a request to a server node after the first one.
  void count_retry();
  /// Counts a link to another process that was opened or lost.
  void count_link_event(const std::string& event);
  /// Counts a completed change or read of an operator.
  void count_operation(const std::string& kind, const std::string& status);

  void set_config_version(double version);
  void set_in_flight(double running, double queued, double held);
  /// Sets the limit that the backend server names, in calls a second, and the
  /// number of calls sent to it so far.
  void set_backend_rate(std::optional<double> limit, double calls);
  void set_ready(bool ready);
  void set_leading(bool leading);

  /// All metrics in Prometheus' text format.
  [[nodiscard]] auto text() const -> std::string;

 private:
  struct metric_families;
  std::unique_ptr<metric_families> families_;
};

}  // namespace figwind
