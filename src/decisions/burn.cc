#include "figwind/burn.h"

#include <algorithm>
#include <cmath>

namespace figwind {
namespace {

auto slot_number(time_point now, duration width) -> std::uint64_t {
  return static_cast<std::uint64_t>(std::max(0.0, now.ms / width.ms));
}

/// Returns the number of the oldest slot of a window. The newest slot is
/// partial but counts as a whole one; with one more slot the range would exceed
/// the window.
auto first_slot(time_point now, duration width, duration window)
    -> std::uint64_t {
  auto count = static_cast<std::uint64_t>(std::ceil(window / width));
  auto last = slot_number(now, width);
  return last >= count ? last - count + 1 : 0;
}

auto latency_bucket(duration latency) -> std::uint8_t {
  const auto* bound = std::lower_bound(latency_bounds.begin(),
                                       latency_bounds.end(), latency.ms);
  return static_cast<std::uint8_t>(bound - latency_bounds.begin());
}

void count_status(burn_counts& to, const call_class& target,
                  const request_outcome& event) {
  switch (event.status) {
    case call_status::complete:
      ++(event.latency <= target.latency_target ? to.met : to.late);
      break;
    case call_status::failed:
      ++to.failed;
      break;
    case call_status::unknown:
      ++to.unknown;
      break;
    case call_status::not_run:
      if (!caused_by_caller(event.reason)) ++to.refused;
      break;
  }
}

void count_refusal(burn_counts& to, const request_outcome& event) {
  if (event.status != call_status::not_run) return;
  auto cause = refusal_cause{event.reason, event.service};
  if (to.refusals.count(cause) == 0 &&
      to.refusals.size() >= max_refusal_causes) {
    cause.service = {"other"};
  }
  ++to.refusals[cause];
}

void add_event(burn_counts& to, const call_class& target,
               const request_outcome& event) {
  count_status(to, target, event);
  count_refusal(to, event);
  to.retries += event.retries;
  to.retries_allowed += event.retry_bound;
  to.retries_max = std::max(to.retries_max, event.retries);
  to.retry_bound = std::max(to.retry_bound, event.retry_bound);
}

void drop_before(burn_slots& slots, std::uint64_t first) {
  slots.erase(slots.begin(), slots.lower_bound(first));
}

void drop_expired_slots(class_burn& x, time_point now) {
  drop_before(x.minute_slots,
              first_slot(now, burn_minute_slot, burn_short_window));
  drop_before(x.five_minute_slots,
              first_slot(now, burn_five_minute_slot, burn_long_window));
  drop_before(x.six_hour_slots,
              first_slot(now, burn_six_hour_slot, burn_period));
}

template <class Combine>
void combine(burn_counts& to, const burn_counts& from, Combine with) {
  to.met = with(to.met, from.met);
  to.late = with(to.late, from.late);
  to.failed = with(to.failed, from.failed);
  to.unknown = with(to.unknown, from.unknown);
  to.refused = with(to.refused, from.refused);
  to.retries = with(to.retries, from.retries);
  to.retries_allowed = with(to.retries_allowed, from.retries_allowed);
  to.retries_max = std::max(to.retries_max, from.retries_max);
  to.retry_bound = std::max(to.retry_bound, from.retry_bound);
  for (const auto& [bucket, count] : from.latency) {
    to.latency[bucket] = with(to.latency[bucket], count);
  }
  for (const auto& [cause, count] : from.refusals) {
    to.refusals[cause] = with(to.refusals[cause], count);
  }
}

auto higher(std::uint64_t a, std::uint64_t b) -> std::uint64_t {
  return std::max(a, b);
}

auto sum(std::uint64_t a, std::uint64_t b) -> std::uint64_t {
  return a + b;
}

void merge_slots(burn_slots& to, const burn_slots& from) {
  for (const auto& [number, counts] : from) {
    combine(to[number], counts, higher);
  }
}

auto request_count(const burn_counts& x) -> std::uint64_t {
  return x.met + x.late + x.failed + x.unknown + x.refused;
}

auto quantile(const burn_counts& x, double share) -> duration {
  auto total = std::uint64_t{0};
  for (const auto& [bucket, count] : x.latency) total += count;
  auto rank = share * static_cast<double>(total);
  auto seen = std::uint64_t{0};
  for (const auto& [bucket, count] : x.latency) {
    seen += count;
    if (static_cast<double>(seen) < rank) continue;
    auto last = latency_bounds.size() - 1;
    return {latency_bounds[std::min<std::size_t>(bucket, last)]};
  }
  return {};
}

auto share_met(const burn_counts& x) -> double {
  auto requests = request_count(x);
  if (requests == 0) return 1;
  return static_cast<double>(x.met) / static_cast<double>(requests);
}

auto burn_rate(double share, const call_class& target) -> double {
  auto allowed = 1 - target.success_target.value;
  return allowed > 0 ? (1 - share) / allowed : 0;
}

/// Sums the counts of one class over all nodes.
auto sum_over_nodes(const burn_set& set, const class_name& name) -> class_burn {
  auto total = class_burn{};
  auto add = [](burn_slots& to, const burn_slots& from) {
    for (const auto& [number, counts] : from) {
      combine(to[number], counts, sum);
    }
  };
  for (const auto& [id, node] : set.nodes) {
    auto found = node.classes.find(name);
    if (found == node.classes.end()) continue;
    add(total.minute_slots, found->second.minute_slots);
    add(total.five_minute_slots, found->second.five_minute_slots);
    add(total.six_hour_slots, found->second.six_hour_slots);
  }
  return total;
}

auto report_window(const burn_slots& slots, duration width, duration window,
                   const call_class& target, time_point now)
    -> window_burn_report {
  auto x = window_burn_report{};
  auto begin = slots.lower_bound(first_slot(now, width, window));
  auto end = slots.upper_bound(slot_number(now, width));
  for (auto slot = begin; slot != end; ++slot) {
    combine(x.counts, slot->second, sum);
  }
  x.requests = request_count(x.counts);
  x.share_met = share_met(x.counts);
  x.burn_rate = burn_rate(x.share_met, target);
  x.p50 = quantile(x.counts, 0.5);
  x.p99 = quantile(x.counts, 0.99);
  return x;
}

auto points_of(const burn_slots& slots, const call_class& target,
               time_point now) -> std::vector<burn_point> {
  auto points = std::vector<burn_point>{};
  auto last = slot_number(now, burn_five_minute_slot);
  auto first = first_slot(now, burn_five_minute_slot, burn_long_window);
  for (auto number = first; number <= last; ++number) {
    auto found = slots.find(number);
    auto counts = found == slots.end() ? burn_counts{} : found->second;
    auto share = share_met(counts);
    auto start = static_cast<double>(number) * burn_five_minute_slot.ms;
    points.push_back({time_point{start}, request_count(counts), share,
                      burn_rate(share, target)});
  }
  return points;
}

/// Returns the share of the period that the counts cover. A new deployment has
/// spent only the failures since its start.
auto covered_share(const burn_slots& quarters, time_point now) -> double {
  auto first =
      quarters.lower_bound(first_slot(now, burn_six_hour_slot, burn_period));
  if (first == quarters.end()) return 0;
  auto start = static_cast<double>(first->first) * burn_six_hour_slot.ms;
  return std::clamp((now.ms - start) / burn_period.ms, 0.0, 1.0);
}

auto alarm_of(const class_burn_report& x, const class_burn& total,
              time_point now) -> burn_alarm {
  if (x.short_window.burn_rate >= fast_burn_rate &&
      x.long_window.burn_rate >= fast_burn_rate) {
    return burn_alarm::fast;
  }
  constexpr auto three_days = minutes(3.0 * 24 * 60);
  // The newest slot is partial, so 6 h extend into the one before it.
  constexpr auto six_hours = burn_six_hour_slot * 2;
  auto rate_over = [&](duration window) {
    return report_window(total.six_hour_slots, burn_six_hour_slot, window,
                         x.target, now)
        .burn_rate;
  };
  auto is_slow = rate_over(three_days) >= slow_burn_rate &&
                 rate_over(six_hours) >= slow_burn_rate;
  return is_slow ? burn_alarm::slow : burn_alarm::none;
}

auto report_of(const call_class& target, const class_burn& total,
               time_point now) -> class_burn_report {
  auto x = class_burn_report{};
  x.target = target;
  x.short_window = report_window(total.minute_slots, burn_minute_slot,
                                 burn_short_window, target, now);
  x.long_window = report_window(total.five_minute_slots, burn_five_minute_slot,
                                burn_long_window, target, now);
  x.period = report_window(total.six_hour_slots, burn_six_hour_slot,
                           burn_period, target, now);
  auto spent = x.period.burn_rate * covered_share(total.six_hour_slots, now);
  x.budget_left = std::clamp(1 - spent, 0.0, 1.0);
  if (x.budget_left == 0) {
    x.exhausted_in = {};
  } else if (x.long_window.burn_rate > x.budget_left) {
    x.exhausted_in = burn_period * (x.budget_left / x.long_window.burn_rate);
  }
  x.alarm = alarm_of(x, total, now);
  x.points = points_of(total.five_minute_slots, target, now);
  return x;
}

}  // namespace

auto caused_by_caller(refusal reason) -> bool {
  return reason == refusal::unknown_class || reason == refusal::bad_key ||
         reason == refusal::expired_key || reason == refusal::duplicate ||
         reason == refusal::malformed;
}

void count_request(node_burn& to, const call_class& target,
                   const request_outcome& event, time_point now) {
  auto& x = to.classes[target.name];
  auto minute = slot_number(now, burn_minute_slot);
  auto is_new_slot = x.minute_slots.count(minute) == 0;
  auto& in_minute = x.minute_slots[minute];
  auto& in_five = x.five_minute_slots[slot_number(now, burn_five_minute_slot)];
  auto& in_quarter = x.six_hour_slots[slot_number(now, burn_six_hour_slot)];
  for (auto* counts : {&in_minute, &in_five, &in_quarter}) {
    add_event(*counts, target, event);
  }
  if (event.status == call_status::complete) {
    auto bucket = latency_bucket(event.latency);
    ++in_minute.latency[bucket];
    ++in_five.latency[bucket];
  }
  if (is_new_slot) drop_expired_slots(x, now);
}

auto merge(burn_set a, const burn_set& b) -> burn_set {
  for (const auto& [id, node] : b.nodes) {
    auto& to = a.nodes[id];
    for (const auto& [name, from] : node.classes) {
      auto& x = to.classes[name];
      merge_slots(x.minute_slots, from.minute_slots);
      merge_slots(x.five_minute_slots, from.five_minute_slots);
      merge_slots(x.six_hour_slots, from.six_hour_slots);
    }
  }
  return a;
}

void drop_expired(burn_set& set, time_point now) {
  for (auto node = set.nodes.begin(); node != set.nodes.end();) {
    auto& classes = node->second.classes;
    for (auto x = classes.begin(); x != classes.end();) {
      drop_expired_slots(x->second, now);
      x = x->second.six_hour_slots.empty() ? classes.erase(x) : std::next(x);
    }
    node = classes.empty() ? set.nodes.erase(node) : std::next(node);
  }
}

auto to_string(burn_alarm x) -> std::string {
  switch (x) {
    case burn_alarm::none:
      return "none";
    case burn_alarm::slow:
      return "slow";
    case burn_alarm::fast:
      return "fast";
  }
  return "none";
}

auto evaluate_burn(const burn_set& set, const workload& targets, time_point now)
    -> std::vector<class_burn_report> {
  auto reports = std::vector<class_burn_report>{};
  for (const auto& target : targets.classes) {
    reports.push_back(report_of(target, sum_over_nodes(set, target.name), now));
  }
  std::sort(reports.begin(), reports.end(),
            [](const class_burn_report& a, const class_burn_report& b) {
              return a.target.importance < b.target.importance;
            });
  return reports;
}

}  // namespace figwind
