#include "figwind/slot_split.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace figwind {

namespace {

// Shortest time between two updates of the demand.
constexpr auto demand_update_period = milliseconds(20);

// Completions between two classifications of the classes.
constexpr auto completions_per_classify = 64;

auto index(work_kind kind) -> std::size_t {
  return static_cast<std::size_t>(kind);
}

auto sum(const kind_counts& x) -> int {
  return std::accumulate(x.begin(), x.end(), 0);
}

}  // namespace

slot_split::slot_split(const slot_split_options& options, time_point now)
    : options_{options}, updated_at_{now} {}

auto slot_split::is_long(const class_state& x, time_point now) const -> bool {
  if (!x.slot_time.empty()) return x.is_long;
  const auto mean = mean_slot_time(work_kind::caller_facing);
  if (mean.ms <= 0) return false;
  return (now - x.first_start) / mean >= options_.long_ratio;
}

void slot_split::on_started(const class_name& name, time_point now) {
  classes_.try_emplace(name, class_state{time_estimate{}, now, false});
}

auto slot_split::kind_of(const call_context& call, time_point now) const
    -> work_kind {
  const auto found = classes_.find(call.name);
  if (found != classes_.end() && is_long(found->second, now)) {
    return work_kind::long_running;
  }
  // Calls with a key are not lookups. Limiting them like internal calls would
  // refuse important work while less important lookups of callers run.
  if (call.depth > 0 && call.key.value.empty()) return work_kind::internal;
  return work_kind::caller_facing;
}

void slot_split::count_arrival(const call_context& call, work_kind kind,
                               time_point now) {
  // Slots are reserved only for calls that callers make to this server. Calls
  // with a key from other services are ordered by importance.
  const auto is_downstream = call.depth > 0 && kind == work_kind::caller_facing;
  demand_[index(is_downstream ? work_kind::internal : kind)].arrivals += 1;
  if (now - updated_at_ >= demand_update_period) update(now);
}

void slot_split::update(time_point now) {
  const auto elapsed = now - updated_at_;
  updated_at_ = now;
  for (auto& x : demand_) {
    const auto rate = x.arrivals / elapsed.ms;
    const auto time_constant =
        rate > x.arrivals_per_ms ? options_.rise_time : options_.fall_time;
    x.arrivals_per_ms +=
        (1 - std::exp(-(elapsed / time_constant))) * (rate - x.arrivals_per_ms);
    x.arrivals = 0;
  }
}

void slot_split::observe(const class_name& name, work_kind kind,
                         duration slot_time, time_point now) {
  auto& x = classes_[name];
  const auto is_new = x.slot_time.empty();
  x.slot_time.observe(slot_time, now);
  demand_[index(kind)].slot_time.observe(slot_time, now);
  if (kind == work_kind::long_running) last_long_end_ = now;
  completions_since_classify_ += 1;
  if (is_new || completions_since_classify_ >= completions_per_classify)
    classify();
}

void slot_split::classify() {
  completions_since_classify_ = 0;
  auto means = std::vector<double>{};
  for (const auto& [name, x] : classes_) {
    if (!x.slot_time.empty()) means.push_back(x.slot_time.last_mean().ms);
  }
  std::sort(means.begin(), means.end());
  auto max_ratio = options_.long_ratio;
  auto shortest_long = std::numeric_limits<double>::infinity();
  for (auto i = std::size_t{1}; i < means.size(); ++i) {
    const auto ratio = means[i] / std::max(means[i - 1], 1e-6);
    if (ratio < max_ratio) continue;
    max_ratio = ratio;
    shortest_long = means[i];
  }
  for (auto& [name, x] : classes_) {
    x.is_long = x.slot_time.last_mean().ms >= shortest_long;
  }
}

auto slot_split::demand(work_kind kind) const -> double {
  const auto& x = demand_[index(kind)];
  return x.arrivals_per_ms * x.slot_time.last_mean().ms;
}

auto slot_split::slots_left_for_long(int limit) const -> int {
  const auto short_work =
      demand(work_kind::caller_facing) + demand(work_kind::internal);
  // One slot stays free even without short demand, because the first short call
  // after an idle time would otherwise wait for a whole long call.
  const auto reserved =
      std::max(1.0, short_work + options_.headroom * std::sqrt(short_work));
  return limit - static_cast<int>(std::ceil(reserved));
}

auto slot_split::max_long_slots(int limit) const -> int {
  return std::max(1, slots_left_for_long(limit));
}

auto slot_split::is_long_slot_due(int limit, const kind_counts& running,
                                  time_point now) const -> bool {
  if (running[index(work_kind::long_running)] > 0) return false;
  if (slots_left_for_long(limit) > 0) return true;
  const auto pause =
      mean_slot_time(work_kind::long_running) * options_.long_pause;
  return now - last_long_end_ >= pause;
}

auto slot_split::may_start(work_kind kind, int limit,
                           const kind_counts& running,
                           const kind_counts& waiting, time_point now) const
    -> bool {
  const auto running_of_kind = running[index(kind)];
  const auto free = limit - sum(running);
  if (free <= 0) return false;
  if (kind == work_kind::long_running) {
    return running_of_kind < slots_left_for_long(limit) ||
           is_long_slot_due(limit, running, now);
  }
  const auto is_long_waiting = waiting[index(work_kind::long_running)] > 0;
  if (free == 1 && is_long_waiting && limit > 1 &&
      is_long_slot_due(limit, running, now)) {
    return false;
  }
  if (kind == work_kind::caller_facing || running_of_kind == 0) return true;
  const auto caller_demand = demand(work_kind::caller_facing);
  return free >
         std::ceil(options_.internal_headroom * std::sqrt(caller_demand));
}

auto slot_split::mean_slot_time(work_kind kind) const -> duration {
  return demand_[index(kind)].slot_time.last_mean();
}

}  // namespace figwind
