// Metrics of a process in the text format of Prometheus.

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "figwind/call.h"
#include "figwind/ids.h"
#include "figwind/units.h"
#include "figwind/workload.h"

namespace figwind {

/// One finished call as the metrics see it.
struct call_sample {
  class_name name;
  service_name service;
  /// Failure domain of the backend server; empty when none was chosen.
  failure_domain domain;
  call_status status = call_status::complete;
  refusal reason = refusal::none;
  duration latency;
};

/// Direction of control messages.
enum class control_direction : std::uint8_t { sent, received };

/// The metrics of one process; safe to use from several threads. Labels are
/// bounded: classes and services that the workload does not name, and failure
/// domains above 16, are counted as `other`.
class metrics {
 public:
  metrics(const std::string& cluster, const failure_domain& domain);
  metrics(const metrics&) = delete;
  auto operator=(const metrics&) -> metrics& = delete;
  metrics(metrics&&) = delete;
  auto operator=(metrics&&) -> metrics& = delete;
  ~metrics();

  /// Sets the known classes and services; call it when a configuration comes
  /// into force.
  void set_workload(const workload& all);

  /// Counts a finished call and its latency.
  void count_call(const call_sample& call);
  /// Time that a call waited in the run queue of a server node.
  void observe_queue_wait(const class_name& name, duration wait);
  /// Extra attempts made for one request over its whole chain.
  void count_retries(const class_name& name, std::uint64_t count);

  void set_in_flight(const service_name& service, double count);
  void set_limit(const service_name& service, double count);
  void set_version(config_version version);
  void set_ready(bool ready);
  void set_isolated(bool isolated);
  void count_control_bytes(control_direction direction, std::uint64_t bytes);
  /// Messages refused as malformed, oversized or foreign; `reason` is one of a
  /// fixed set of words of the program.
  void count_refused_message(const std::string& reason);

  /// All metrics as the body of `GET /metrics`.
  auto text() const -> std::string;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace figwind
