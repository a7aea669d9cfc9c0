#include "figwind/run_queue.h"

#include <algorithm>
#include <numeric>

namespace figwind {

namespace {

// A call that finds a free slot delays no other call, so it is refused only if
// hardly any call of its class completed within the time it has left.
constexpr auto hopeless_deviations = 2.0;

// Slot time assumed for a class before the first completion at this server.
constexpr auto default_slot_time_ms = 5.0;

// Keeps expected waits finite for calls that hold a slot for hardly any time.
constexpr auto min_usable_slots = 1e-3;

auto index(work_kind kind) -> std::size_t {
  return static_cast<std::size_t>(kind);
}

auto sum(const kind_counts& x) -> int {
  return std::accumulate(x.begin(), x.end(), 0);
}

auto sum_up_to(const std::map<int, double>& by_importance, int importance)
    -> double {
  auto total = 0.0;
  for (const auto& [rank, ms] : by_importance) {
    if (rank > importance) break;
    total += ms;
  }
  return total;
}

void subtract(std::map<int, double>& by_importance, int importance, double ms) {
  const auto found = by_importance.find(importance);
  if (found == by_importance.end()) return;
  found->second -= ms;
  if (found->second < 1e-9) by_importance.erase(found);
}

}  // namespace

run_queue::run_queue(const run_queue_options& options, int slots, bool cold,
                     time_point now)
    : options_{options},
      threshold_{options.threshold, now},
      limiter_{options.limit, slots, cold, now},
      split_{options.split, now} {}

auto run_queue::submit(const call_context& call, time_point now)
    -> admission_result {
  if (draining_) return {admission_verdict::refused, refusal::draining, {}};
  update_threshold(now);
  auto x = make_entry(call, now);
  threshold_.count_arrival(level_of(call), milliseconds(x.slot_time_ms));
  const auto reason = refusal_of(call, x, now);
  if (reason != refusal::none) return {admission_verdict::refused, reason, {}};
  split_.count_arrival(call, x.kind, now);
  const auto ticket = ++last_ticket_;
  by_request_.emplace(call.id, ticket);
  auto& stored = calls_.emplace(ticket, std::move(x)).first->second;
  const auto kind = stored.kind;
  if (may_start_at_once(kind, now)) {
    start(stored, now);
    return {admission_verdict::start, refusal::none, {ticket}};
  }
  enqueue(ticket, stored);
  evict_excess(now);
  return {admission_verdict::queued, refusal::none, {ticket}};
}

auto run_queue::make_entry(const call_context& call, time_point now) const
    -> entry {
  auto x = entry{};
  x.call = call;
  x.deadline = now + call.time_left;
  x.level = level_at_depth(call, options_.threshold.depth_margin);
  x.kind = split_.kind_of(call, now);
  x.latest_start_ms = x.deadline.ms - min_service_time(call.name, now).ms;
  const auto found = slot_times_.find(call.name);
  const auto& slot_time =
      found == slot_times_.end() ? overall_slot_time_ : found->second;
  x.slot_time_ms =
      slot_time.empty() ? default_slot_time_ms : slot_time.last_mean().ms;
  return x;
}

auto run_queue::min_service_time(const class_name& name, time_point now) const
    -> duration {
  const auto found = slot_times_.find(name);
  return found == slot_times_.end() ? duration{}
                                    : found->second.lower_estimate(now);
}

auto run_queue::refusal_of(const call_context& call, const entry& x,
                           time_point now) const -> refusal {
  if (!threshold_.admits(call)) return refusal::overload;
  if (may_start_at_once(x.kind, now)) {
    const auto found = slot_times_.find(call.name);
    if (found == slot_times_.end()) return refusal::none;
    const auto least = found->second.lower_estimate(now, hopeless_deviations);
    return call.time_left < least ? refusal::deadline : refusal::none;
  }
  const auto soonest = now + expected_wait_of(x, now);
  if (soonest.ms > x.latest_start_ms) return refusal::deadline;
  // Only short work fills the queue. While the queue is full, a call of any
  // kind must be more important than the call to be evicted next.
  const auto is_long = x.kind == work_kind::long_running;
  const auto full = is_full(is_long ? 0 : x.slot_time_ms, now);
  if (!full || by_level_.empty()) return refusal::none;
  const auto worst = by_level_.rbegin()->first;
  return x.level >= worst ? refusal::overload : refusal::none;
}

auto run_queue::expected_wait_of(const entry& x, time_point now) const
    -> duration {
  if (x.kind != work_kind::long_running) {
    return expected_wait(x.call.importance, now);
  }
  const auto ahead = sum_up_to(queued_long_ms_, x.call.importance);
  const auto usable_share = usable_slots(now) / limit(now);
  return milliseconds(ahead /
                      (split_.max_long_slots(limit(now)) * usable_share));
}

auto run_queue::expected_wait(int importance, time_point now) const
    -> duration {
  return milliseconds(sum_up_to(queued_short_ms_, importance) /
                      usable_slots(now));
}

auto run_queue::may_start(work_kind kind, time_point now) const -> bool {
  return rate_.admits(now) &&
         split_.may_start(kind, limit(now), running_, queued_, now);
}

auto run_queue::may_start_at_once(work_kind kind, time_point now) const
    -> bool {
  // Slots are set aside by kind, but calls of all kinds compete for the rate.
  const auto is_first =
      rate_.rate() ? queued() == 0 : queues_[index(kind)].empty();
  return is_first && may_start(kind, now);
}

auto run_queue::usable_slots(time_point now) const -> double {
  const auto slots = static_cast<double>(limit(now));
  const auto rate = rate_.rate();
  if (!rate) return slots;
  const auto slot_time_ms = overall_slot_time_.empty()
                                ? default_slot_time_ms
                                : overall_slot_time_.last_mean().ms;
  return std::clamp(*rate * slot_time_ms / 1000, min_usable_slots, slots);
}

auto run_queue::is_full(double extra_ms, time_point now) const -> bool {
  const auto most = options_.max_queue_wait.ms * usable_slots(now);
  return total_queued_short_ms_ + extra_ms > most;
}

void run_queue::start(entry& x, time_point now) {
  x.running = true;
  x.started = now;
  running_[index(x.kind)] += 1;
  split_.on_started(x.call.name, now);
  rate_.count(now);
}

auto run_queue::key_of(std::uint64_t ticket, const entry& x) -> order_key {
  return {x.call.importance, -x.call.depth, x.deadline.ms, ticket};
}

void run_queue::enqueue(std::uint64_t ticket, const entry& x) {
  queues_[index(x.kind)].insert(key_of(ticket, x));
  queued_[index(x.kind)] += 1;
  by_latest_start_.emplace(x.latest_start_ms, ticket);
  by_level_.emplace(x.level, ticket);
  if (x.kind == work_kind::long_running) {
    queued_long_ms_[x.call.importance] += x.slot_time_ms;
    return;
  }
  queued_short_ms_[x.call.importance] += x.slot_time_ms;
  total_queued_short_ms_ += x.slot_time_ms;
}

void run_queue::dequeue(std::uint64_t ticket, const entry& x) {
  queues_[index(x.kind)].erase(key_of(ticket, x));
  queued_[index(x.kind)] -= 1;
  by_latest_start_.erase({x.latest_start_ms, ticket});
  by_level_.erase({x.level, ticket});
  if (x.kind == work_kind::long_running) {
    subtract(queued_long_ms_, x.call.importance, x.slot_time_ms);
    return;
  }
  subtract(queued_short_ms_, x.call.importance, x.slot_time_ms);
  total_queued_short_ms_ -= x.slot_time_ms;
  // Removes the rounding error once the queue is empty.
  if (queued_short_ms_.empty()) total_queued_short_ms_ = 0;
}

void run_queue::erase(std::uint64_t ticket) {
  const auto found = calls_.find(ticket);
  if (found == calls_.end()) return;
  const auto [first, last] = by_request_.equal_range(found->second.call.id);
  const auto own = std::find_if(
      first, last, [&](const auto& x) { return x.second == ticket; });
  if (own != last) by_request_.erase(own);
  calls_.erase(found);
}

void run_queue::refuse_queued(std::uint64_t ticket, refusal reason) {
  dequeue(ticket, calls_.at(ticket));
  erase(ticket);
  pending_refusals_.push_back({{ticket}, reason});
}

void run_queue::finish(call_ticket ticket, time_point now,
                       const run_outcome& outcome) {
  const auto found = calls_.find(ticket.value);
  if (found == calls_.end() || !found->second.running) return;
  const auto& x = found->second;
  const auto in_flight_then = in_flight();
  running_[index(x.kind)] -= 1;
  if (outcome.status == call_status::complete) {
    const auto slot_time = now - x.started;
    const auto own = std::max(0.0, (slot_time - outcome.downstream_time).ms);
    slot_times_[x.call.name].observe(slot_time, now);
    overall_slot_time_.observe(slot_time, now);
    split_.observe(x.call.name, x.kind, slot_time, now);
    limiter_.observe(x.call.name, milliseconds(own), in_flight_then, now);
  }
  erase(ticket.value);
}

auto run_queue::cancel(const request_id& id, time_point now)
    -> cancelled_calls {
  update_threshold(now);
  auto calls = cancelled_calls{};
  const auto [first, last] = by_request_.equal_range(id);
  for (auto at = first; at != last; ++at) {
    auto& list = calls_.at(at->second).running ? calls.running : calls.removed;
    list.push_back({at->second});
  }
  for (const auto& ticket : calls.removed) {
    dequeue(ticket.value, calls_.at(ticket.value));
    erase(ticket.value);
  }
  return calls;
}

void run_queue::withdraw(call_ticket ticket, time_point now) {
  update_threshold(now);
  const auto found = calls_.find(ticket.value);
  if (found == calls_.end() || found->second.running) return;
  dequeue(ticket.value, found->second);
  erase(ticket.value);
}

auto run_queue::tick(time_point now) -> queue_actions {
  update_threshold(now);
  refuse_late(now);
  auto actions = queue_actions{};
  while (const auto ticket = first_startable(now)) {
    auto& x = calls_.at(ticket);
    dequeue(ticket, x);
    start(x, now);
    actions.start.push_back({ticket});
  }
  actions.refused.swap(pending_refusals_);
  return actions;
}

auto run_queue::first_startable(time_point now) const -> std::uint64_t {
  const order_key* first = nullptr;
  for (auto i = std::size_t{0}; i < work_kind_count; ++i) {
    if (queues_[i].empty()) continue;
    const auto& candidate = *queues_[i].begin();
    if (first != nullptr && *first < candidate) continue;
    if (may_start(static_cast<work_kind>(i), now)) first = &candidate;
  }
  return first == nullptr ? 0 : std::get<3>(*first);
}

void run_queue::refuse_late(time_point now) {
  while (!by_latest_start_.empty() &&
         by_latest_start_.begin()->first < now.ms) {
    refuse_queued(by_latest_start_.begin()->second, refusal::deadline);
  }
}

void run_queue::evict_excess(time_point now) {
  while (by_level_.size() > 1 && is_full(0, now)) {
    refuse_queued(by_level_.rbegin()->second, refusal::overload);
  }
}

void run_queue::update_threshold(time_point now) {
  if (!threshold_.due(now)) return;
  threshold_.update({usable_slots(now), milliseconds(total_queued_short_ms_)},
                    now);
  // Calls queued before the update must not run while more important ones are
  // refused.
  const auto highest_admitted = highest_level_of_rank(threshold_.threshold());
  while (!by_level_.empty() && by_level_.rbegin()->first > highest_admitted) {
    refuse_queued(by_level_.rbegin()->second, refusal::overload);
  }
}

void run_queue::begin_drain() {
  draining_ = true;
}

auto run_queue::drained() const -> bool {
  return draining_ && calls_.empty();
}

auto run_queue::threshold() const -> admission_level {
  return threshold_.threshold();
}

auto run_queue::in_flight() const -> int {
  return sum(running_);
}

auto run_queue::queued() const -> int {
  return sum(queued_);
}

auto run_queue::limit(time_point now) const -> int {
  return limiter_.limit(now);
}

void run_queue::set_slots(int slots) {
  limiter_.set_slots(slots);
}

void run_queue::set_rate(std::optional<double> per_second, time_point now) {
  rate_.set(per_second, now);
}

}  // namespace figwind
