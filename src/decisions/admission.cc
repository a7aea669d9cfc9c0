#include "figwind/admission.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace figwind {

namespace {

constexpr auto rank_bits = 16U;
constexpr auto rank_size = std::uint64_t{1} << rank_bits;
constexpr auto deepest_margin = 4;

// A rank that needs fewer slots than this is forgotten.
constexpr auto negligible_slots = 1e-6;

// Weight of the earlier estimate against the open share of a rank: a small
// share holds too few arrivals to be trusted alone.
constexpr auto prior_share = 0.05;

// A rank's estimate falls at most by this factor in one period. Without it a
// chance gap in a small open share opens the whole rank at once.
constexpr auto steepest_fall = 0.7;

// The threshold always leaves this share of the slots in use.
constexpr auto least_allowed = 0.1;

auto rank_of(std::uint64_t level) -> std::uint64_t {
  return level >> rank_bits;
}

auto share_of(std::uint64_t level) -> double {
  const auto offset = level & (rank_size - 1);
  return static_cast<double>(offset + 1) / static_cast<double>(rank_size);
}

auto importance_rank(const call_context& call) -> std::uint64_t {
  return static_cast<std::uint64_t>(std::max(call.importance, 0));
}

}  // namespace

auto level_of(const call_context& call) -> admission_level {
  const auto hash = XXH3_64bits(&call.id, sizeof call.id);
  return {(importance_rank(call) << rank_bits) | (hash & (rank_size - 1))};
}

auto level_at_depth(const call_context& call, fraction margin)
    -> admission_level {
  const auto level = level_of(call).value;
  const auto hops = std::clamp(call.depth, 0, deepest_margin);
  const auto size = static_cast<double>(rank_size);
  const auto less = static_cast<std::uint64_t>(margin.value * hops * size);
  const auto offset = level & (rank_size - 1);
  return {level - std::min(offset, less)};
}

auto last_of_rank(admission_level level) -> admission_level {
  return {level.value | (rank_size - 1)};
}

threshold_control::threshold_control(const threshold_options& options,
                                     time_point now)
    : options_{options}, updated_{now} {}

void threshold_control::count_arrival(admission_level level, duration held) {
  // What lies above the threshold comes from callers that do not know it yet;
  // its share of the rank is unknown, so it says nothing about demand.
  if (level > threshold_) return;
  auto& x = ranks_[rank_of(level.value)];
  x.count += 1;
  x.held_ms += held.ms;
  x.highest = std::max(x.highest, share_of(level.value));
}

auto threshold_control::admits(const call_context& call) const -> bool {
  if (threshold_ == open_threshold) return true;
  return level_at_depth(call, options_.depth_margin) <= threshold_;
}

auto threshold_control::due(time_point now) const -> bool {
  return now - updated_ >= options_.period;
}

auto threshold_control::open_share(std::uint64_t rank) const -> double {
  const auto cut = rank_of(threshold_.value);
  if (rank < cut) return 1;
  if (rank > cut) return 0;
  return share_of(threshold_.value);
}

void threshold_control::fold(std::uint64_t rank, rank_arrivals& x,
                             double elapsed_ms) const {
  auto share = open_share(rank);
  if (x.count >= 3) {
    // Upstream may be stricter than this queue; the highest of n evenly
    // spread values shows up to where arrivals reach.
    const auto reach = x.highest * (x.count + 1) / x.count;
    share = std::min(share, reach);
  }
  const auto weight = 1 - std::exp(-elapsed_ms / options_.arrival_window.ms);
  x.seen_slots += weight * (x.held_ms / elapsed_ms - x.seen_slots);
  x.seen_share += weight * (share - x.seen_share);
  const auto estimate =
      (x.seen_slots + prior_share * x.slots) / (x.seen_share + prior_share);
  x.slots = std::max(estimate, x.slots * steepest_fall);
  x.count = 0;
  x.held_ms = 0;
  x.highest = 0;
}

auto threshold_control::level_for(double allowed) const -> admission_level {
  auto left = allowed;
  for (const auto& [rank, x] : ranks_) {
    if (x.slots > left) {
      const auto share = left / x.slots;
      const auto offset = std::min(share * static_cast<double>(rank_size),
                                   static_cast<double>(rank_size - 1));
      return {(rank << rank_bits) | static_cast<std::uint64_t>(offset)};
    }
    left -= x.slots;
  }
  return open_threshold;
}

void threshold_control::update(const queue_load& load, time_point now) {
  const auto elapsed = now - updated_;
  if (elapsed.ms <= 0) return;
  updated_ = now;
  for (auto& [rank, x] : ranks_) fold(rank, x, elapsed.ms);
  std::erase_if(
      ranks_, [](const auto& x) { return x.second.slots < negligible_slots; });
  const auto aim = load.slots * options_.delay_target.ms;
  const auto correction = (aim - load.waiting.ms) / options_.horizon.ms;
  const auto allowed =
      std::max(load.slots + correction, load.slots * least_allowed);
  threshold_ = level_for(allowed);
}

}  // namespace figwind
