#include "figwind/retry.h"

#include <algorithm>

namespace figwind {

auto part_of(int remaining, hand_down policy) -> int {
  switch (policy) {
    case hand_down::all:
      return remaining;
    case hand_down::all_but_one:
      return std::max(remaining - 1, 0);
    case hand_down::half:
      return (remaining + 1) / 2;
  }
  return 0;
}

call_allowance::call_allowance(int granted, hand_down policy)
    : remaining_{std::max(granted, 0)}, policy_{policy} {}

auto call_allowance::hand() -> int {
  const auto handed = part_of(remaining_, policy_);
  remaining_ -= handed;
  return handed;
}

auto call_allowance::start_first() -> int {
  return hand();
}

auto call_allowance::start_extra() -> int {
  if (remaining_ == 0) return -1;
  --remaining_;
  return hand();
}

void call_allowance::answered(int handed, int returned) {
  remaining_ += std::clamp(returned, 0, std::max(handed, 0));
}

allowance_ledger::allowance_ledger(std::size_t capacity, random_source& random,
                                   hand_down split)
    : capacity_{capacity}, split_{split}, next_{random.bits() | 1U} {}

void allowance_ledger::expire(time_point now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    held_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
}

auto allowance_ledger::find(parent_token parent, time_point now) -> entry* {
  expire(now);
  const auto found = held_.find(parent);
  return found == held_.end() ? nullptr : &found->second;
}

auto allowance_ledger::open(int granted, time_point now, time_point expires)
    -> parent_token {
  expire(now);
  if (held_.size() >= capacity_ || expires <= now) return 0;
  const auto token = next_++;
  if (next_ == 0) next_ = 1;
  held_[token] = {std::max(granted, 0), 0, expires};
  by_expiry_.emplace(expires, token);
  return token;
}

auto allowance_ledger::take(parent_token parent, time_point now) -> int {
  auto* held = find(parent, now);
  if (held == nullptr) return 0;
  const auto part = part_of(held->remaining, split_);
  held->remaining -= part;
  held->out += part;
  return part;
}

void allowance_ledger::give_back(parent_token parent, int taken, int returned,
                                 time_point now) {
  auto* held = find(parent, now);
  // More than is out can only come from a doubled return.
  if (held == nullptr || taken > held->out) return;
  held->out -= std::max(taken, 0);
  held->remaining += std::clamp(returned, 0, std::max(taken, 0));
}

auto allowance_ledger::close(parent_token parent, time_point now) -> int {
  const auto* held = find(parent, now);
  if (held == nullptr) return 0;
  const auto remaining = held->remaining;
  by_expiry_.erase({held->expires, parent});
  held_.erase(parent);
  return remaining;
}

retry_share::retry_share(retry_share_settings settings)
    : settings_{settings}, tokens_{settings.burst} {}

void retry_share::first_attempt() {
  const auto room = 1 - overloaded_ / settings_.stop_at_refused;
  const auto earned = settings_.share * std::max(room, 0.0);
  tokens_ = std::min(tokens_ + earned, settings_.burst);
}

auto retry_share::take_hedge() -> bool {
  // A retry after a refusal saves a call, a hedge only makes one faster.
  if (tokens_ < settings_.burst / 2) return false;
  return take_extra();
}

void retry_share::ended(bool overloaded) {
  // About the last 50 attempts: some 0.2 s of a node with 250 calls/s.
  constexpr auto weight = 0.02;
  overloaded_ += weight * ((overloaded ? 1.0 : 0.0) - overloaded_);
}

auto retry_share::take_extra() -> bool {
  // What was saved up before an overload must not be spent in it.
  if (tokens_ < 1 || overloaded_ >= settings_.stop_at_refused) return false;
  tokens_ -= 1;
  return true;
}

void hedge_timer::observe(duration latency) {
  constexpr auto mean_weight = 0.02;
  constexpr auto step = 0.1;
  constexpr auto share_above = 0.05;
  ++count_;
  const auto weight = std::max(mean_weight, 1 / static_cast<double>(count_));
  mean_ += weight * (latency.ms - mean_);
  if (count_ == 1) quantile_ = 3 * latency.ms;
  // Moves up 19 times as far as down, so it rests where 1 of 20 is above.
  const auto direction =
      latency.ms > quantile_ ? 1 - share_above : -share_above;
  quantile_ = std::max(quantile_ + step * mean_ * direction, 0.0);
}

auto hedge_timer::delay() const -> duration {
  constexpr auto enough = 100U;
  return {count_ < enough ? 0.0 : quantile_};
}

}  // namespace figwind
