// Error budget burn: how fast each class spends the failures that its success
// target allows. Counts are kept in time slots with fixed boundaries, so that
// reports of several nodes are merged without moving samples.
//
// Windows and alarm levels follow the Google SRE Workbook, chapter 5 "Alerting
// on SLOs", section 6 "Multiwindow, Multi-Burn-Rate Alerts".

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "figwind/call.h"
#include "figwind/ids.h"
#include "figwind/units.h"
#include "figwind/workload.h"

namespace figwind {

/// Outcome of one whole request at its entry node.
struct request_outcome {
  call_status status = call_status::complete;
  /// From the arrival of the request to the end of its response.
  duration latency{};
  /// Reason of the refusal; `none` unless the status is `not_run`.
  refusal reason = refusal::none;
  /// The service that caused the refusal.
  service_name service{};
  /// Retries over the whole call chain, and their upper bound.
  std::uint64_t retries = 0;
  std::uint64_t retry_bound = 0;
};

/// A reason for refusals and the service that caused them.
struct refusal_cause {
  refusal reason = refusal::none;
  service_name service;

  friend auto operator==(const refusal_cause&, const refusal_cause&)
      -> bool = default;
  friend auto operator<(const refusal_cause& a, const refusal_cause& b)
      -> bool {
    return std::tie(a.reason, a.service) < std::tie(b.reason, b.service);
  }
};

/// Counts of one class in one time slot of one node. They never decrease.
struct burn_counts {
  /// Complete within the latency target in force at the time.
  std::uint64_t met = 0;
  /// Complete, but later than the target.
  std::uint64_t late = 0;
  std::uint64_t failed = 0;
  std::uint64_t unknown = 0;
  /// Refused for a reason that counts against the target.
  std::uint64_t refused = 0;
  std::uint64_t retries = 0;
  /// Sum of the retry bounds of all requests.
  std::uint64_t retries_allowed = 0;
  /// Most retries of one request, and the highest bound.
  std::uint64_t retries_max = 0;
  std::uint64_t retry_bound = 0;
  /// Complete requests by latency bucket; see `latency_bounds`.
  std::map<std::uint8_t, std::uint64_t> latency;
  /// All refusals, including those that the caller caused.
  std::map<refusal_cause, std::uint64_t> refusals;

  friend auto operator==(const burn_counts&, const burn_counts&)
      -> bool = default;
};

/// Counts by slot number (Unix time divided by the width of the slot).
using burn_slots = std::map<std::uint64_t, burn_counts>;

/// Counts of one class at three slot widths.
struct class_burn {
  /// 1 min wide, for the short window.
  burn_slots minute_slots;
  /// 5 min wide, for the long window and the plots.
  burn_slots five_minute_slots;
  /// 6 h wide, for the period; without latency buckets.
  burn_slots six_hour_slots;

  friend auto operator==(const class_burn&, const class_burn&)
      -> bool = default;
};

/// All counts of one incarnation of a node, by class.
struct node_burn {
  std::map<class_name, class_burn> classes;

  friend auto operator==(const node_burn&, const node_burn&) -> bool = default;
};

/// Counts of many nodes.
struct burn_set {
  std::map<node_id, node_burn> nodes;

  friend auto operator==(const burn_set&, const burn_set&) -> bool = default;
};

constexpr auto burn_short_window = minutes(5);
constexpr auto burn_long_window = minutes(60);
constexpr auto burn_period = minutes(30.0 * 24 * 60);
constexpr auto burn_minute_slot = minutes(1);
constexpr auto burn_five_minute_slot = minutes(5);
constexpr auto burn_six_hour_slot = minutes(6.0 * 60);

/// Most distinct causes of refusals in one slot; further ones are counted under
/// the service `other`.
constexpr std::size_t max_refusal_causes = 32;

/// Upper bounds of the latency buckets in ms; the last bucket has none. Steps
/// of 1-2-3-5-7 keep a quantile within 100% of its value.
constexpr auto latency_bounds =
    std::array{1.0,  2.0,   3.0,   5.0,   7.0,   10.0,  20.0,  30.0,  50.0,
               70.0, 100.0, 200.0, 300.0, 500.0, 700.0, 1e3,   2e3,   3e3,
               5e3,  7e3,   10e3,  20e3,  30e3,  60e3,  120e3, 300e3, 600e3};

/// Adds one request of class `target` to the counts of a node. `now` is Unix
/// time. Drops slots that no window needs any more.
void count_request(node_burn& to, const call_class& target,
                   const request_outcome& event, time_point now);

/// True if the caller caused the refusal by the request that it sent. Such
/// refusals do not count against the target.
auto caused_by_caller(refusal reason) -> bool;

/// Merges two sets by taking the higher value of every count of a node. The
/// merge is commutative, associative and idempotent: a report may arrive twice,
/// out of order or over several paths.
auto merge(burn_set a, const burn_set& b) -> burn_set;

/// Drops slots older than the period and nodes without slots.
void drop_expired(burn_set& set, time_point now);

/// Counts and rates of one window over all nodes.
struct window_burn_report {
  std::uint64_t requests = 0;
  burn_counts counts;
  /// Share of requests that met the target; 1 without requests.
  double share_met = 1;
  /// Rate at which the allowed failures are spent; at 1 they last exactly for
  /// the period.
  double burn_rate = 0;
  /// Upper bounds of the buckets that contain the quantiles, in ms; 0 for the
  /// period and without complete requests.
  duration p50;
  duration p99;
};

/// Urgency of the burn of a class for an operator.
enum class burn_alarm : std::uint8_t {
  none,
  /// Burn rate of 1 or more over 3 days and 6 h: investigate on a working day.
  slow,
  /// Burn rate of 14.4 or more over 1 h and 5 min, which spends 2% of the
  /// month's allowed failures in an hour: act now.
  fast,
};

auto to_string(burn_alarm x) -> std::string;

constexpr auto fast_burn_rate = 14.4;
constexpr auto slow_burn_rate = 1.0;

/// One point of the plots: a slot of 5 min.
struct burn_point {
  time_point start;
  std::uint64_t requests = 0;
  double share_met = 1;
  double burn_rate = 0;
};

/// Burn of one class over all nodes of a set.
struct class_burn_report {
  call_class target;
  window_burn_report short_window;
  window_burn_report long_window;
  window_burn_report period;
  /// Share of the period's allowed failures that is left, from 0 to 1.
  double budget_left = 1;
  /// Time until the allowed failures are spent at the rate of the long window;
  /// 0 if they are spent already. Infinite if that takes longer than the
  /// period, because today's failures no longer count by then.
  duration exhausted_in{std::numeric_limits<double>::infinity()};
  burn_alarm alarm = burn_alarm::none;
  /// Points of the last hour, oldest first.
  std::vector<burn_point> points;
};

/// Evaluates every class of `targets`, most important first.
auto evaluate_burn(const burn_set& set, const workload& targets, time_point now)
    -> std::vector<class_burn_report>;

template <class Inspector>
auto inspect(Inspector& f, refusal_cause& x) {
  return f(x.reason, x.service);
}

template <class Inspector>
auto inspect(Inspector& f, burn_counts& x) {
  return f(x.met, x.late, x.failed, x.unknown, x.refused, x.retries,
           x.retries_allowed, x.retries_max, x.retry_bound, x.latency,
           x.refusals);
}

template <class Inspector>
auto inspect(Inspector& f, class_burn& x) {
  return f(x.minute_slots, x.five_minute_slots, x.six_hour_slots);
}

template <class Inspector>
auto inspect(Inspector& f, node_burn& x) {
  return f(x.classes);
}

template <class Inspector>
auto inspect(Inspector& f, burn_set& x) {
  return f(x.nodes);
}

}  // namespace figwind
