// Bounds the rate of calls to a backend server that names a limit in its
// answers.
//
// Method: token bucket.

#pragma once

#include <optional>

#include "figwind/units.h"

namespace figwind {

struct rate_limit_options {
  /// Size of the bucket, as the time in which the rate fills it. A bucket holds
  /// one call in any case.
  duration burst = milliseconds(500);
  /// Least rate in calls a second. Only an answer of the server can end its
  /// limit, so a server that names 0 still gets a call now and then.
  double min_rate = 0.5;
};

class rate_limit {
 public:
  explicit rate_limit(const rate_limit_options& options = {})
      : options_{options} {}

  /// Sets the limit in calls a second; empty for none. The bucket is empty when
  /// a limit begins, and keeps its calls when the limit changes.
  void set(std::optional<double> per_second, time_point now);

  /// The rate in force, in calls a second; empty without a limit.
  [[nodiscard]] auto rate() const -> std::optional<double> { return rate_; }

  /// True if a call may start now.
  [[nodiscard]] auto admits(time_point now) const -> bool;

  /// Counts a call that starts now.
  void count(time_point now);

 private:
  [[nodiscard]] auto bucket_size() const -> double;
  [[nodiscard]] auto calls_at(time_point now) const -> double;

  rate_limit_options options_;
  std::optional<double> rate_;
  /// Calls in the bucket at `updated_at_`; below 0 after calls that started
  /// although none was left.
  double calls_ = 0;
  time_point updated_at_;
};

}  // namespace figwind
