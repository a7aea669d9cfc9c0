#include "figwind/class_throttle.h"

#include <algorithm>
#include <cmath>

namespace figwind {
namespace {

// Weight of the assumption that runs are useful, in runs.
constexpr auto prior_runs = 2.0;

}  // namespace

void class_throttle::observe(const class_name& name, int priority,
                             double useful, time_point now) {
  auto& x = classes_[name];
  const auto passed = std::max((now - x.seen).ms, 1.0);
  const auto weight = 1 - std::exp(-passed / options_.smoothing.ms);
  x.priority = priority;
  x.useful += (useful - x.useful) * weight;
  x.seen = now;
}

auto class_throttle::admitted(const class_name& name) const -> double {
  const auto found = classes_.find(name);
  return found == classes_.end() ? 1 : found->second.admitted;
}

auto class_throttle::admits(const class_name& name, double unit) const -> bool {
  return unit < admitted(name);
}

auto class_throttle::is_recent(const state& x, time_point now) const -> bool {
  return now - x.seen < options_.memory;
}

auto class_throttle::is_failing(const state& x, time_point now) const -> bool {
  return is_recent(x, now) && x.useful < options_.failing_below;
}

auto class_throttle::least_of(const state& x) const -> double {
  for (const auto& [name, other] : classes_) {
    if (other.priority < x.priority) return options_.least;
  }
  return options_.least_of_first;
}

auto class_throttle::reduced_rank(time_point now) const -> std::optional<int> {
  auto rank = std::optional<int>{};
  for (const auto& [name, x] : classes_) {
    if (!is_failing(x, now) || x.admitted <= least_of(x)) continue;
    rank = std::max(rank.value_or(x.priority), x.priority);
  }
  return rank;
}

void class_throttle::update(time_point now) {
  if (now - updated_ < options_.period) return;
  updated_ = now;
  const auto reduced = reduced_rank(now);
  for (auto& [name, x] : classes_) {
    if (reduced && x.priority == *reduced && is_failing(x, now)) {
      x.admitted = std::max(x.admitted * options_.decrease, least_of(x));
      continue;
    }
    // While a more important class fails, nothing below it grows.
    const auto blocked = reduced && *reduced <= x.priority;
    const auto well = !is_recent(x, now) || x.useful >= options_.well_from;
    if (well && !blocked) {
      x.admitted = std::min(x.admitted + options_.increase, 1.0);
    }
  }
}

void run_record::add(const class_name& name, bool useful, time_point now) {
  auto& x = classes_[name];
  const auto kept = std::exp(-((now - x.last) / memory_));
  x.last = now;
  x.useful = x.useful * kept + (useful ? 1 : 0);
  x.all = x.all * kept + 1;
}

auto run_record::useful_share(const class_name& name) const -> double {
  const auto found = classes_.find(name);
  if (found == classes_.end()) return 1;
  const auto& x = found->second;
  return (x.useful + prior_runs) / (x.all + prior_runs);
}

}  // namespace figwind
