#include "figwind/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace figwind {

auto retry_budget::slice_number(time_point now) const -> std::int64_t {
  const auto length = options_.window.ms / window_slices;
  return static_cast<std::int64_t>(std::floor(now.ms / length));
}

auto retry_budget::slice_at(time_point now) -> slice& {
  const auto number = slice_number(now);
  auto& x = slices_.at(static_cast<std::size_t>(number) % slices_.size());
  if (x.number != number) x = {number, 0, 0};
  return x;
}

void retry_budget::count_request(double retry_probability, time_point now) {
  auto& x = slice_at(now);
  x.requests += 1;
  x.retries += retry_probability;
}

auto retry_budget::cumulative_counts_at(time_point now) const
    -> cumulative_counts {
  const auto newest = slice_number(now);
  auto out = cumulative_counts{};
  for (auto i = 0; i < history_slices; ++i) {
    const auto number = newest - history_slices + 1 + i;
    const auto& before = out.at(static_cast<std::size_t>(i));
    auto& after = out.at(static_cast<std::size_t>(i) + 1);
    after = before;
    if (number < 0) continue;
    const auto& x =
        slices_.at(static_cast<std::size_t>(number) % slices_.size());
    if (x.number != number) continue;
    after.requests += x.requests;
    after.retries += x.retries;
  }
  return out;
}

auto retry_budget::limit_at(const cumulative_counts& counts, int ahead) const
    -> double {
  const auto rate = (counts.at(history_slices).requests -
                     counts.at(history_slices - rate_slices).requests) /
                    rate_slices;
  auto max_requests = 0.0;
  // The window that ends `ahead` slices from now, and those that end half a
  // window and a whole window earlier.
  for (const auto back : {0, window_slices / 2, window_slices}) {
    const auto end = ahead - back;
    const auto known =
        static_cast<std::size_t>(history_slices + std::min(end, 0));
    const auto first =
        static_cast<std::size_t>(history_slices + end - window_slices);
    auto requests = counts.at(known).requests - counts.at(first).requests;
    requests += rate * expected_rate_fraction * std::max(end, 0);
    max_requests =
        std::max(max_requests,
                 requests * (end < 0 ? options_.earlier_window_weight : 1));
  }
  return options_.max_ratio * max_requests + options_.slack;
}

auto retry_budget::state_at(time_point now) const -> budget_state {
  const auto counts = cumulative_counts_at(now);
  auto out = budget_state{};
  out.available = std::numeric_limits<double>::max();
  // Retries sent now also count in the windows that end later.
  for (auto ahead = 0; ahead <= window_slices; ++ahead) {
    const auto first =
        static_cast<std::size_t>(history_slices + ahead - window_slices);
    const auto retries =
        counts.at(history_slices).retries - counts.at(first).retries;
    const auto limit = limit_at(counts, ahead);
    if (ahead == 0) {
      out.limit = limit;
      out.retries = retries;
    }
    out.available = std::min(out.available, limit - retries);
    out.used_fraction = std::max(out.used_fraction, retries / limit);
  }
  out.used_fraction = std::min(out.used_fraction, 1.0);
  return out;
}

auto retry_budget::take_turn(const retry_rank& rank, const budget_state& x,
                             time_point now) -> bool {
  auto& own = demand_[rank];
  auto ahead = 0.0;
  for (auto& [other, want] : demand_) {
    want.count *= std::exp(-((now - want.at) / options_.demand_time_constant));
    want.at = now;
    if (other < rank) ahead += want.count;
  }
  own.count += 1;
  // Retries that may be released in the time over which demand is measured.
  const auto released = std::max(
      x.available * (options_.demand_time_constant / options_.release_time),
      x.limit * (options_.demand_time_constant / options_.window));
  const auto share = (released - ahead) / own.count;
  if (share >= 1) return true;
  if (share <= 0) return false;
  own.credit += share;
  if (own.credit < 1) return false;
  own.credit -= 1;
  return true;
}

auto retry_budget::used_fraction(time_point now) const -> double {
  return state_at(now).used_fraction;
}

auto retry_budget::try_take(retry_cause cause, const retry_rank& rank,
                            const downstream_retries& downstream,
                            time_point now) -> bool {
  const auto x = state_at(now);
  const auto has_run = cause == retry_cause::may_have_run;
  // Servers refuse calls for a while, whereas a lost link causes retries only
  // once; therefore only retries after refusals take turns by rank.
  const auto in_turn = has_run || take_turn(rank, x, now);
  if (x.available < 1) return false;
  if (has_run) {
    const auto reserve =
        std::min(options_.reserve_per_level * downstream.levels_below, 0.9);
    const auto used = std::max(x.used_fraction, downstream.used_fraction);
    if (downstream.levels_below > 0 && used >= 1 - reserve) return false;
  }
  // Nodes with few requests never get a turn, so the slack is exempt from
  // turns.
  if (!in_turn && x.retries + 1 > options_.slack) return false;
  slice_at(now).retries += 1;
  return true;
}

}  // namespace figwind
