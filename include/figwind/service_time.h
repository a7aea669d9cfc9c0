// Estimates of service times: a mean and a mean absolute deviation, weighted
// towards recent samples.

#pragma once

#include "figwind/units.h"

namespace figwind {

/// Running estimate of a time from samples. After a second without samples it
/// halves every second: an estimate that is too high to let any call run would
/// otherwise never be corrected.
class time_estimate {
 public:
  /// `weight` is the weight of one sample in the estimate, in (0, 1].
  explicit time_estimate(double weight = 0.05) : weight_{weight} {}

  void observe(duration sample, time_point now);

  /// True before the first sample.
  [[nodiscard]] auto empty() const -> bool { return samples_ == 0; }
  [[nodiscard]] auto samples() const -> int { return samples_; }

  /// Returns the mean at the last sample, without the decay; 0 before the first
  /// sample.
  [[nodiscard]] auto last_mean() const -> duration { return mean_; }

  /// Returns the exponentially weighted mean; 0 before the first sample.
  [[nodiscard]] auto mean(time_point now) const -> duration;

  /// Returns a time that most calls exceed: the mean less `deviations` mean
  /// absolute deviations. For decisions in which refusing a call that could
  /// still finish is worse than running one that cannot.
  [[nodiscard]] auto lower_estimate(time_point now, double deviations = 1) const
      -> duration;

  /// Returns a time that most calls do not exceed: the mean plus two mean
  /// absolute deviations.
  [[nodiscard]] auto upper_estimate(time_point now) const -> duration;

 private:
  [[nodiscard]] auto decay(time_point now) const -> double;

  double weight_;
  int samples_ = 0;
  duration mean_;
  duration mean_deviation_;
  time_point last_sample_at_;
};

}  // namespace figwind
