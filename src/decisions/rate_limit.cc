#include "figwind/rate_limit.h"

#include <algorithm>

namespace figwind {

auto rate_limit::bucket_size() const -> double {
  return std::max(*rate_ * options_.burst.ms / 1000, 1.0);
}

auto rate_limit::calls_at(time_point now) const -> double {
  const auto elapsed_ms = std::max((now - updated_at_).ms, 0.0);
  return std::min(calls_ + *rate_ * elapsed_ms / 1000, bucket_size());
}

void rate_limit::set(std::optional<double> per_second, time_point now) {
  if (!per_second) {
    rate_.reset();
    return;
  }
  calls_ = rate_ ? calls_at(now) : 0;
  updated_at_ = now;
  rate_ = std::max(*per_second, options_.min_rate);
  calls_ = std::min(calls_, bucket_size());
}

auto rate_limit::admits(time_point now) const -> bool {
  // The sum of small refills may fall short of a whole call by rounding.
  constexpr auto whole_call = 1 - 1e-6;
  return !rate_ || calls_at(now) >= whole_call;
}

void rate_limit::count(time_point now) {
  if (!rate_) return;
  calls_ = calls_at(now) - 1;
  updated_at_ = now;
}

}  // namespace figwind
