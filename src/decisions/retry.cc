#include "figwind/retry.h"

#include <algorithm>

namespace figwind {

auto split_allowance(int remaining, allowance_split policy) -> int {
  switch (policy) {
    case allowance_split::all:
      return remaining;
    case allowance_split::all_but_one:
      return std::max(remaining - 1, 0);
    case allowance_split::half:
      return (remaining + 1) / 2;
  }
  return 0;
}

call_allowance::call_allowance(int granted, allowance_split policy)
    : remaining_{std::max(granted, 0)}, policy_{policy} {}

auto call_allowance::grant() -> int {
  const auto granted = split_allowance(remaining_, policy_);
  remaining_ -= granted;
  return granted;
}

auto call_allowance::grant_first_attempt() -> int {
  return grant();
}

auto call_allowance::grant_retry() -> int {
  if (remaining_ == 0) return -1;
  --remaining_;
  return grant();
}

void call_allowance::take_back(int granted, int returned) {
  remaining_ += std::clamp(returned, 0, std::max(granted, 0));
}

allowance_ledger::allowance_ledger(std::size_t capacity, random_source& random,
                                   allowance_split split)
    : capacity_{capacity}, split_{split}, next_token_{random.bits() | 1U} {}

void allowance_ledger::expire(time_point now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    entries_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
}

auto allowance_ledger::find(parent_token parent, time_point now) -> entry* {
  expire(now);
  const auto found = entries_.find(parent);
  return found == entries_.end() ? nullptr : &found->second;
}

auto allowance_ledger::open(int granted, time_point now, time_point expires)
    -> parent_token {
  expire(now);
  if (entries_.size() >= capacity_ || expires <= now) return 0;
  const auto token = next_token_++;
  if (next_token_ == 0) next_token_ = 1;
  entries_[token] = {std::max(granted, 0), 0, expires};
  by_expiry_.emplace(expires, token);
  return token;
}

auto allowance_ledger::take(parent_token parent, time_point now) -> int {
  auto* parent_entry = find(parent, now);
  if (parent_entry == nullptr) return 0;
  const auto part = split_allowance(parent_entry->remaining, split_);
  parent_entry->remaining -= part;
  parent_entry->outstanding += part;
  return part;
}

void allowance_ledger::give_back(parent_token parent, int taken, int returned,
                                 time_point now) {
  auto* parent_entry = find(parent, now);
  // More than is outstanding can only result from a duplicate return.
  if (parent_entry == nullptr || taken > parent_entry->outstanding) return;
  parent_entry->outstanding -= std::max(taken, 0);
  parent_entry->remaining += std::clamp(returned, 0, std::max(taken, 0));
}

auto allowance_ledger::close(parent_token parent, time_point now) -> int {
  const auto* parent_entry = find(parent, now);
  if (parent_entry == nullptr) return 0;
  const auto remaining = parent_entry->remaining;
  by_expiry_.erase({parent_entry->expires, parent});
  entries_.erase(parent);
  return remaining;
}

retry_throttle::retry_throttle(retry_throttle_settings settings)
    : settings_{settings}, tokens_{settings.burst} {}

void retry_throttle::count_first_attempt() {
  const auto remaining_share =
      1 - overloaded_share_ / settings_.max_overloaded_share;
  const auto earned = settings_.retry_ratio * std::max(remaining_share, 0.0);
  tokens_ = std::min(tokens_ + earned, settings_.burst);
}

auto retry_throttle::try_take_hedge() -> bool {
  // A retry after a refusal saves a call; a hedge only makes one faster.
  if (tokens_ < settings_.burst / 2) return false;
  return try_take_retry();
}

void retry_throttle::count_attempt_end(bool overloaded) {
  // Averages about the last 50 attempts, which is 0.2 s at 250 calls/s.
  constexpr auto weight = 0.02;
  overloaded_share_ += weight * ((overloaded ? 1.0 : 0.0) - overloaded_share_);
}

auto retry_throttle::try_take_retry() -> bool {
  // Retries saved up before an overload must not be spent during it.
  if (tokens_ < 1 || overloaded_share_ >= settings_.max_overloaded_share)
    return false;
  tokens_ -= 1;
  return true;
}

void hedge_timer::observe(duration latency) {
  constexpr auto mean_weight = 0.02;
  constexpr auto step_size = 0.1;
  constexpr auto share_above = 0.02;
  ++count_;
  const auto weight = std::max(mean_weight, 1 / static_cast<double>(count_));
  mean_ms_ += weight * (latency.ms - mean_ms_);
  if (count_ == 1) quantile_ms_ = 3 * latency.ms;
  // The estimate moves up 49 times as far as down, so it converges to the value
  // that 1 of 50 latencies exceeds.
  const auto direction =
      latency.ms > quantile_ms_ ? 1 - share_above : -share_above;
  quantile_ms_ = std::max(quantile_ms_ + step_size * mean_ms_ * direction, 0.0);
}

auto hedge_timer::delay() const -> duration {
  constexpr auto min_samples = 100U;
  return {count_ < min_samples ? 0.0 : quantile_ms_};
}

}  // namespace figwind
