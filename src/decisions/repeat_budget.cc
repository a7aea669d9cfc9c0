#include "figwind/repeat_budget.h"

#include <cmath>

namespace figwind {

auto repeat_budget::number_of(time_point now) const -> std::int64_t {
  const auto length = options_.window.ms / slices;
  return static_cast<std::int64_t>(std::floor(now.ms / length));
}

auto repeat_budget::slice_at(time_point now) -> slice& {
  const auto number = number_of(now);
  auto& x = slices_.at(static_cast<std::size_t>(number) % slices);
  if (x.number != number) x = {number, 0, 0, 0};
  return x;
}

void repeat_budget::count_request(double repeated, time_point now) {
  auto& x = slice_at(now);
  x.requests += 1;
  x.repeats += repeated;
}

auto repeat_budget::take(repeat_cause cause, time_point now) -> bool {
  const auto oldest = number_of(now) - static_cast<std::int64_t>(slices) + 1;
  auto sum = slice{};
  for (const auto& x : slices_) {
    if (x.number < oldest) continue;
    sum.requests += x.requests;
    sum.repeats += x.repeats;
    sum.after_run += x.after_run;
  }
  const auto allowed = [&](double share) {
    return share * sum.requests + options_.slack;
  };
  if (sum.repeats + 1 > allowed(options_.all)) return false;
  const auto has_run = cause == repeat_cause::run;
  if (has_run && sum.after_run + 1 > allowed(options_.after_run)) return false;
  auto& x = slice_at(now);
  x.repeats += 1;
  x.after_run += has_run ? 1 : 0;
  return true;
}

}  // namespace figwind
