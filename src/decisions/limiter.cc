#include "figwind/limiter.h"

#include <algorithm>
#include <cmath>

namespace figwind {

namespace {

// Completions of a class after which its baseline is trusted.
constexpr auto baseline_samples = 20;

// Weight of a completion in a baseline that falls, and their most in one
// judgement.
constexpr auto fall_weight = 0.01;
constexpr auto most_fall = 0.1;

// A limit is judged only while at least this share of it is in use; otherwise
// the number of running calls cannot be what slows the server.
constexpr auto binding_share = 0.6;

// Deepest cut in one step.
constexpr auto deepest_cut = 0.7;

// A change must bring at least this share of what it would bring if service
// time followed the limit in proportion.
constexpr auto least_effect = 0.5;

// A judgement is made on few completions after this time, so that a server
// that has become very slow is judged at all.
constexpr auto longest_epoch = seconds(2);
constexpr auto fewest_samples = 10;

constexpr auto longest_hold = seconds(16);

}  // namespace

limiter::limiter(const limiter_options& options, int slots, bool cold,
                 time_point now)
    : options_{options},
      slots_{static_cast<double>(std::max(slots, 1))},
      limit_{slots_},
      cold_{cold},
      started_{now},
      epoch_{now},
      hold_{options.hold} {}

auto limiter::limit(time_point now) const -> int {
  auto most = std::min(limit_, slots_);
  const auto age = now - started_;
  if (cold_ && age < options_.ramp) {
    const auto start = options_.cold_start.value;
    const auto share = start + (1 - start) * (age / options_.ramp);
    most = std::min(most, slots_ * share);
  }
  return std::max(1, static_cast<int>(most));
}

void limiter::set_slots(int slots) {
  slots_ = std::max(slots, 1);
  limit_ = slots_;
}

auto limiter::relative_time(const class_name& name, double ms) -> double {
  auto& x = baselines_[name];
  if (x.samples < baseline_samples) {
    x.samples += 1;
    x.ms += (ms - x.ms) / x.samples;
    return 1;
  }
  x.epoch_count += 1;
  x.epoch_ms += ms;
  return x.ms > 0 ? ms / x.ms : 1;
}

// A baseline falls at once but rises over minutes: were it to rise within a
// judgement, it would take a slowdown for the usual time.
void limiter::move_baselines(duration elapsed) {
  const auto rise = std::min(1.0, elapsed / options_.baseline_drift);
  for (auto& [name, x] : baselines_) {
    if (x.epoch_count == 0) continue;
    const auto mean = x.epoch_ms / x.epoch_count;
    const auto fall = std::min(most_fall, fall_weight * x.epoch_count);
    x.ms += (mean < x.ms ? fall : rise) * (mean - x.ms);
    x.epoch_count = 0;
    x.epoch_ms = 0;
  }
}

void limiter::observe(const class_name& name, duration own_time, int in_flight,
                      time_point now) {
  const auto relative = relative_time(name, own_time.ms);
  completions_ += 1;
  relative_sum_ += relative;
  in_flight_sum_ += in_flight;
  const auto age = now - epoch_;
  const auto enough =
      age >= options_.period && completions_ >= options_.samples;
  const auto overdue = age >= longest_epoch && completions_ >= fewest_samples;
  if (enough || overdue) judge(now);
}

void limiter::judge(time_point now) {
  const auto seen = judgement{
      limit_,
      relative_sum_ / completions_,
  };
  const auto binding =
      in_flight_sum_ / completions_ >= binding_share * limit(now);
  move_baselines(now - epoch_);
  slowdown_ = seen.slowdown;
  epoch_ = now;
  completions_ = 0;
  relative_sum_ = 0;
  in_flight_sum_ = 0;
  if (binding && undo(seen, now)) return;
  last_change_ = 0;
  if (seen.slowdown <= options_.tolerance) {
    raise(seen, now);
  } else if (binding && now >= held_until_) {
    lower(seen);
  }
}

auto limiter::undo(const judgement& seen, time_point now) -> bool {
  if (last_change_ == 0) return false;
  // By Little's law throughput is running calls over service time, so a change
  // of the limit is lost throughput as far as service time does not follow it
  // down, and gained throughput as far as it does not follow it up.
  const auto step = seen.limit / before_.limit - 1;
  const auto followed = seen.slowdown / before_.slowdown - 1;
  if (followed <= least_effect * step) return false;
  // Close to the baseline the difference is within the noise of the samples.
  if (step > 0 && seen.slowdown < std::sqrt(options_.tolerance)) return false;
  limit_ = before_.limit;
  last_change_ = 0;
  held_until_ = now + hold_;
  hold_ = std::min(hold_ * 2, longest_hold);
  return true;
}

void limiter::lower(const judgement& seen) {
  const auto gradient =
      std::max(options_.tolerance / seen.slowdown, deepest_cut);
  const auto floor = std::max(1.0, slots_ * options_.floor.value);
  before_ = seen;
  limit_ = std::max(floor, limit_ * gradient);
  last_change_ = limit_ < seen.limit ? -1 : 0;
}

void limiter::raise(const judgement& seen, time_point now) {
  if (limit_ >= slots_) {
    hold_ = options_.hold;
    return;
  }
  if (now < held_until_) return;
  before_ = seen;
  limit_ = std::min(slots_, limit_ + std::max(1.0, std::sqrt(limit_)));
  last_change_ = 1;
}

}  // namespace figwind
