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
  if (x.number != number) x = {number, 0, {}};
  return x;
}

void repeat_budget::count_request(time_point now) {
  slice_at(now).requests += 1;
}

auto repeat_budget::take(repeat_cause cause, time_point now) -> bool {
  const auto kind = static_cast<std::size_t>(cause);
  const auto oldest = number_of(now) - static_cast<std::int64_t>(slices) + 1;
  auto requests = 0.0;
  auto repeats = 0.0;
  for (const auto& x : slices_) {
    if (x.number < oldest) continue;
    requests += x.requests;
    repeats += x.repeats.at(kind);
  }
  const auto share = cause == repeat_cause::run ? options_.after_run
                                                : options_.after_refusal;
  if (repeats + 1 > share * requests + options_.slack) return false;
  slice_at(now).repeats.at(kind) += 1;
  return true;
}

}  // namespace figwind
