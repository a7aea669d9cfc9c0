#include "figwind/admission.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace figwind {

namespace {

constexpr auto rank_bits = 16U;
constexpr auto levels_per_rank = std::uint64_t{1} << rank_bits;
constexpr auto max_margin_hops = 4;

// Ranks whose demand, in slots, is lower than this are removed.
constexpr auto min_tracked_slots = 1e-6;

// Weight of the previous estimate relative to the admitted share of a rank: a
// small share has too few arrivals for an estimate of its own.
constexpr auto prior_weight = 0.05;

// Smallest factor by which the estimate of a rank may fall in one period.
// Without the bound a random gap in a small admitted share would admit the
// whole rank at once.
constexpr auto min_fall_factor = 0.7;

// Share of the slots for which the threshold always admits demand.
constexpr auto min_admitted_share = 0.1;

auto rank_of(std::uint64_t level) -> std::uint64_t {
  return level >> rank_bits;
}

auto share_of(std::uint64_t level) -> double {
  const auto offset = level & (levels_per_rank - 1);
  return static_cast<double>(offset + 1) / static_cast<double>(levels_per_rank);
}

auto importance_rank(const call_context& call) -> std::uint64_t {
  return static_cast<std::uint64_t>(std::max(call.importance, 0));
}

}  // namespace

auto level_of(const call_context& call) -> admission_level {
  const auto hash = XXH3_64bits(&call.id, sizeof call.id);
  return {(importance_rank(call) << rank_bits) |
          (hash & (levels_per_rank - 1))};
}

auto level_at_depth(const call_context& call, fraction margin)
    -> admission_level {
  const auto level = level_of(call).value;
  const auto hops = std::clamp(call.depth, 0, max_margin_hops);
  const auto size = static_cast<double>(levels_per_rank);
  const auto reduction = static_cast<std::uint64_t>(margin.value * hops * size);
  const auto offset = level & (levels_per_rank - 1);
  return {level - std::min(offset, reduction)};
}

auto highest_level_of_rank(admission_level level) -> admission_level {
  return {level.value | (levels_per_rank - 1)};
}

threshold_controller::threshold_controller(const threshold_options& options,
                                           time_point now)
    : options_{options}, updated_at_{now} {}

void threshold_controller::count_arrival(admission_level level,
                                         duration slot_time) {
  // Arrivals above the threshold come from callers that have not received it
  // yet. They are an unknown share of the rank and thus no measure of the
  // demand.
  if (level > threshold_) return;
  auto& x = demand_[rank_of(level.value)];
  x.count += 1;
  x.slot_time_ms += slot_time.ms;
  x.highest_share = std::max(x.highest_share, share_of(level.value));
}

auto threshold_controller::admits(const call_context& call) const -> bool {
  if (threshold_ == admit_all_threshold) return true;
  return level_at_depth(call, options_.depth_margin) <= threshold_;
}

auto threshold_controller::due(time_point now) const -> bool {
  return now - updated_at_ >= options_.update_period;
}

auto threshold_controller::admitted_share(std::uint64_t rank) const -> double {
  const auto threshold_rank = rank_of(threshold_.value);
  if (rank < threshold_rank) return 1;
  if (rank > threshold_rank) return 0;
  return share_of(threshold_.value);
}

void threshold_controller::update_estimate(std::uint64_t rank, rank_demand& x,
                                           double elapsed_ms) const {
  auto share = admitted_share(rank);
  if (x.count >= 3) {
    // Upstream nodes may use a stricter threshold than this queue. The highest
    // of n evenly spread values shows how far the arrivals extend.
    const auto arrived_share = x.highest_share * (x.count + 1) / x.count;
    share = std::min(share, arrived_share);
  }
  const auto weight =
      1 - std::exp(-elapsed_ms / options_.arrival_averaging_time.ms);
  x.observed_slots += weight * (x.slot_time_ms / elapsed_ms - x.observed_slots);
  x.observed_share += weight * (share - x.observed_share);
  const auto estimate = (x.observed_slots + prior_weight * x.estimated_slots) /
                        (x.observed_share + prior_weight);
  x.estimated_slots = std::max(estimate, x.estimated_slots * min_fall_factor);
  x.count = 0;
  x.slot_time_ms = 0;
  x.highest_share = 0;
}

auto threshold_controller::threshold_for(const queue_load& load) const
    -> admission_level {
  auto remaining_slots = load.slots;
  auto least_allowed = load.slots * min_admitted_share;
  for (const auto& [rank, x] : demand_) {
    // Less important calls wait until a slot is left by the others, so the same
    // backlog delays them longer.
    const auto target = remaining_slots * options_.delay_target.ms;
    const auto correction =
        (target - load.backlog.ms) / options_.correction_time.ms;
    const auto allowed_slots =
        std::max(remaining_slots + correction, least_allowed);
    if (x.estimated_slots > allowed_slots) {
      const auto share = allowed_slots / x.estimated_slots;
      const auto offset = std::min(share * static_cast<double>(levels_per_rank),
                                   static_cast<double>(levels_per_rank - 1));
      return {(rank << rank_bits) | static_cast<std::uint64_t>(offset)};
    }
    remaining_slots = std::max(remaining_slots - x.estimated_slots, 0.0);
    least_allowed = std::max(least_allowed - x.estimated_slots, 0.0);
  }
  return admit_all_threshold;
}

void threshold_controller::update(const queue_load& load, time_point now) {
  const auto elapsed = now - updated_at_;
  if (elapsed.ms <= 0) return;
  updated_at_ = now;
  for (auto& [rank, x] : demand_) update_estimate(rank, x, elapsed.ms);
  std::erase_if(demand_, [](const auto& x) {
    return x.second.estimated_slots < min_tracked_slots;
  });
  threshold_ = threshold_for(load);
}

}  // namespace figwind
