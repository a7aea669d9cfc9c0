#include "figwind/service_time.h"

#include <algorithm>
#include <cmath>

namespace figwind {

void time_estimate::observe(duration sample, time_point now) {
  // The first samples are averaged with equal weights, so that the initial
  // value has none.
  const auto weight = std::max(weight_, 1.0 / (samples_ + 1));
  const auto error = sample.ms - mean_.ms;
  mean_.ms += weight * error;
  if (samples_ > 0) {
    mean_deviation_.ms += weight * (std::abs(error) - mean_deviation_.ms);
  }
  samples_ = std::min(samples_ + 1, 1'000'000);
  last_sample_at_ = now;
}

auto time_estimate::decay(time_point now) const -> double {
  const auto idle = (now - last_sample_at_) - seconds(1);
  if (idle.ms <= 0) return 1;
  return std::exp2(-(idle / seconds(1)));
}

auto time_estimate::mean(time_point now) const -> duration {
  return mean_ * decay(now);
}

auto time_estimate::upper_estimate(time_point now) const -> duration {
  return (mean_ + mean_deviation_ * 2) * decay(now);
}

auto time_estimate::lower_estimate(time_point now, double deviations) const
    -> duration {
  const auto estimate =
      std::max(0.0, mean_.ms - deviations * mean_deviation_.ms);
  return milliseconds(estimate * decay(now));
}

}  // namespace figwind
