// Classes of work and their targets. Operators declare nothing else.

#pragma once

#include <string>
#include <vector>

#include "figwind/finding.h"
#include "figwind/ids.h"
#include "figwind/ini.h"
#include "figwind/units.h"

namespace figwind {

/// One class of work. Limits and shares are derived from its targets and from
/// observations; there are no weights and no addresses.
struct call_class {
  class_name name;
  service_name service;
  /// True if running a request twice has the effect of running it once.
  bool idempotent = true;
  /// Time within which a request must be answered, end to end.
  duration latency_target;
  /// Share of requests that must succeed within the latency target.
  fraction success_target;
  /// 1 is the most important; no two classes have the same importance.
  int importance = 1;

  friend auto operator==(const call_class&, const call_class&)
      -> bool = default;
};

/// All classes of a deployment.
struct workload {
  std::vector<call_class> classes;

  friend auto operator==(const workload&, const workload&) -> bool = default;
};

/// Returns the class with `name`, or null.
auto find_class(const workload& all, const class_name& name)
    -> const call_class*;

/// Lowest latency target: 1 ms from the caller to a node, and 0.31 ms that each
/// of the two nodes on the path of a call may add.
constexpr auto min_latency_target = milliseconds(1 + 2 * 0.31);

/// Highest latency target; the keys of requests are kept for 10 min.
constexpr auto max_latency_target = minutes(10);

constexpr auto max_importance = 10'000;

/// Parses sections `[class NAME]` with the keys `service`, `idempotent` (yes or
/// no), `latency` (with unit ms, s or min), `success` (above 0, below 1) and
/// `importance` (1 to 10,000, each once). Returns the workload, or all findings
/// of the file.
auto parse_workload(const ini_file& file) -> result<workload>;

/// Parses a workload from text; findings use `name` as the file name.
auto parse_workload(const std::string& name, const std::string& text)
    -> result<workload>;

template <class Inspector>
auto inspect(Inspector& f, call_class& x) {
  return f(x.name, x.service, x.idempotent, x.latency_target, x.success_target,
           x.importance);
}

template <class Inspector>
auto inspect(Inspector& f, workload& x) {
  return f(x.classes);
}

}  // namespace figwind
