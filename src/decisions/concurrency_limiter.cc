#include "figwind/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace figwind {

namespace {

// Completions of a class that its baseline needs.
constexpr auto min_baseline_samples = 20;

// Weight of a completion when a baseline falls, and the upper bound of this
// weight in one measurement.
constexpr auto fall_weight = 0.01;
constexpr auto max_fall_weight = 0.1;

// A limit is evaluated only while at least this share of it is in use.
// Otherwise the number of running calls cannot be what slows the server.
constexpr auto min_utilization = 0.6;

// Smallest factor of one decrease.
constexpr auto min_decrease_factor = 0.7;

// A decrease is kept if the service time falls by at least this share of it, an
// increase if the service time rises by at most this share of it.
constexpr auto response_share = 0.5;

// After this time few completions suffice for a measurement, so that a server
// that has become very slow is measured at all.
constexpr auto max_window = seconds(2);
constexpr auto min_late_samples = 10;

constexpr auto max_backoff = seconds(16);

}  // namespace

concurrency_limiter::concurrency_limiter(
    const concurrency_limiter_options& options, int slots, bool cold,
    time_point now)
    : options_{options},
      slots_{static_cast<double>(std::max(slots, 1))},
      limit_{slots_},
      cold_{cold},
      started_at_{now},
      window_start_{now},
      backoff_{options.initial_backoff} {}

auto concurrency_limiter::limit(time_point now) const -> int {
  auto result = std::min(limit_, slots_);
  const auto age = now - started_at_;
  if (cold_ && age < options_.ramp_up_time) {
    const auto start = options_.cold_start_share.value;
    const auto share = start + (1 - start) * (age / options_.ramp_up_time);
    result = std::min(result, slots_ * share);
  }
  return std::max(1, static_cast<int>(result));
}

void concurrency_limiter::set_slots(int slots) {
  slots_ = std::max(slots, 1);
  limit_ = slots_;
}

auto concurrency_limiter::relative_time(const class_name& name, double ms)
    -> double {
  auto& x = baselines_[name];
  if (x.samples < min_baseline_samples) {
    x.samples += 1;
    x.mean_ms += (ms - x.mean_ms) / x.samples;
    return 1;
  }
  x.window_count += 1;
  x.window_sum_ms += ms;
  return x.mean_ms > 0 ? ms / x.mean_ms : 1;
}

// A baseline falls at once but rises over minutes. If it rose within one
// measurement, a slowdown would become the baseline.
void concurrency_limiter::update_baselines(duration elapsed) {
  const auto rise = std::min(1.0, elapsed / options_.baseline_rise_time);
  for (auto& [name, x] : baselines_) {
    if (x.window_count == 0) continue;
    const auto mean = x.window_sum_ms / x.window_count;
    const auto fall = std::min(max_fall_weight, fall_weight * x.window_count);
    x.mean_ms += (mean < x.mean_ms ? fall : rise) * (mean - x.mean_ms);
    x.window_count = 0;
    x.window_sum_ms = 0;
  }
}

void concurrency_limiter::observe(const class_name& name, duration service_time,
                                  int in_flight, time_point now) {
  const auto relative = relative_time(name, service_time.ms);
  completions_ += 1;
  slowdown_sum_ += relative;
  in_flight_sum_ += in_flight;
  const auto age = now - window_start_;
  const auto has_enough_samples =
      age >= options_.min_interval && completions_ >= options_.min_samples;
  const auto overdue = age >= max_window && completions_ >= min_late_samples;
  if (has_enough_samples || overdue) adjust_limit(now);
}

void concurrency_limiter::adjust_limit(time_point now) {
  const auto current = measurement{
      limit_,
      slowdown_sum_ / completions_,
  };
  const auto limit_in_use =
      in_flight_sum_ / completions_ >= min_utilization * limit(now);
  update_baselines(now - window_start_);
  slowdown_ = current.slowdown;
  window_start_ = now;
  completions_ = 0;
  slowdown_sum_ = 0;
  in_flight_sum_ = 0;
  if (limit_in_use && undo_last_change(current, now)) return;
  last_direction_ = 0;
  if (current.slowdown <= options_.tolerance) {
    raise_limit(current, now);
  } else if (limit_in_use && now >= backoff_until_) {
    lower_limit(current);
  }
}

auto concurrency_limiter::undo_last_change(const measurement& current,
                                           time_point now) -> bool {
  if (last_direction_ == 0) return false;
  // By Little's law throughput is running calls divided by service time. A
  // lower limit loses throughput to the extent that the service time does not
  // fall with it; a higher limit gains throughput to the extent that the
  // service time does not rise with it.
  const auto limit_change = current.limit / before_change_.limit - 1;
  const auto slowdown_change = current.slowdown / before_change_.slowdown - 1;
  if (slowdown_change <= response_share * limit_change) return false;
  // Near the baseline the difference is within the noise of the samples.
  if (limit_change > 0 && current.slowdown < std::sqrt(options_.tolerance))
    return false;
  limit_ = before_change_.limit;
  last_direction_ = 0;
  backoff_until_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, max_backoff);
  return true;
}

void concurrency_limiter::lower_limit(const measurement& current) {
  const auto gradient =
      std::max(options_.tolerance / current.slowdown, min_decrease_factor);
  const auto min_limit = std::max(1.0, slots_ * options_.min_share.value);
  before_change_ = current;
  limit_ = std::max(min_limit, limit_ * gradient);
  last_direction_ = limit_ < current.limit ? -1 : 0;
}

void concurrency_limiter::raise_limit(const measurement& current,
                                      time_point now) {
  if (limit_ >= slots_) {
    backoff_ = options_.initial_backoff;
    return;
  }
  if (now < backoff_until_) return;
  before_change_ = current;
  limit_ = std::min(slots_, limit_ + std::max(1.0, std::sqrt(limit_)));
  last_direction_ = 1;
}

}  // namespace figwind
