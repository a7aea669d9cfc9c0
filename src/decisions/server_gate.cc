#include "figwind/server_gate.h"

#include <algorithm>

namespace figwind {
namespace {

// Calls hold a slot while they wait for calls to other services, so service
// times do not show the load of the server itself, and the declared slots are
// the limit. Some servers slow down when 95% of their slots are used.
constexpr auto usable_slot_share = 0.94;

auto queue_options() -> run_queue_options {
  constexpr auto never = 1e9;
  auto out = run_queue_options{};
  out.limit.tolerance = never;
  // All classes are short compared to their deadlines here, so a class that is
  // many times longer than another one may use idle slots.
  out.split.long_ratio = never;
  // A call between services has the importance of the caller's request that it
  // belongs to and is ordered by it, so no slots are reserved for callers.
  out.split.internal_headroom = 0;
  out.max_queue_wait = milliseconds(150);
  out.threshold.delay_target = milliseconds(40);
  return out;
}

auto slot_limit_of(const announcement& server) -> int {
  const auto slots = static_cast<int>(server.slots * usable_slot_share);
  return std::max(slots, 1);
}

auto context_of(const call_request& call) -> call_context {
  auto out = call_context{};
  out.id = call.chain.root;
  out.name = call.name;
  out.importance = call.chain.priority + 1;
  out.depth = call.chain.depth;
  out.time_left = call.time_left;
  return out;
}

}  // namespace

void server_gate::set_server(const std::optional<announcement>& server,
                             time_point now) {
  const auto is_new =
      server && (!server_ || server->server != server_->server ||
                 server->born_ms != server_->born_ms);
  server_ = server;
  if (!server) return;
  if (!queue_) {
    queue_ = std::make_unique<run_queue>(queue_options(),
                                         slot_limit_of(*server), false, now);
  } else if (is_new) {
    queue_->set_slots(slot_limit_of(*server));
    queue_->set_rate(std::nullopt, now);
    server_answered_ = false;
  }
}

void server_gate::observe_notice(const server_notice& notice, time_point now) {
  const auto is_current = notice.is_known && server_ && queue_ &&
                          server_->born_ms == notice.born_ms;
  if (!is_current) return;
  server_answered_ = true;
  apply_notice(notice, now);
}

void server_gate::apply_notice(const server_notice& notice, time_point now) {
  queue_->set_rate(
      notice.is_limited ? std::optional{notice.max_rate} : std::nullopt, now);
}

auto server_gate::refusal_of(const call_request& call) const -> refusal {
  if (closed_) return refusal::draining;
  if (!server_ || !queue_) return refusal::no_server;
  if (server_->state != announced_state::serving) return refusal::draining;
  if (server_->service != call.service) return refusal::no_server;
  return refusal::none;
}

auto server_gate::submit(const gate_call& from, const call_request& call,
                         time_point now) -> gate_actions {
  auto out = gate_actions{};
  const auto reason = refusal_of(call);
  if (reason != refusal::none) {
    out.refuse.push_back({from, reason});
    return out;
  }
  const auto is_news = call.notice.is_known && !server_answered_ &&
                       call.notice.born_ms == server_->born_ms;
  if (is_news) apply_notice(call.notice, now);
  const auto arrived = queue_->submit(context_of(call), now);
  if (arrived.verdict == admission_verdict::refused) {
    out.refuse.push_back({from, arrived.reason});
    return out;
  }
  const auto wait = std::min(call.max_queue_wait, call.time_left);
  calls_[from] = {arrived.ticket, now + wait, false};
  by_ticket_[arrived.ticket.value] = from;
  if (arrived.verdict == admission_verdict::start) start(from, out);
  apply(queue_->tick(now), out);
  return out;
}

void server_gate::start(const gate_call& which, gate_actions& out) {
  calls_.at(which).running = true;
  out.start.push_back(which);
}

void server_gate::apply(const queue_actions& actions, gate_actions& out) {
  for (const auto& ticket : actions.start) {
    const auto found = by_ticket_.find(ticket.value);
    if (found != by_ticket_.end()) start(found->second, out);
  }
  for (const auto& x : actions.refused) {
    const auto found = by_ticket_.find(x.ticket.value);
    if (found == by_ticket_.end()) continue;
    out.refuse.push_back({found->second, x.reason});
    calls_.erase(found->second);
    by_ticket_.erase(found);
  }
}

auto server_gate::finish(const gate_call& which, bool complete, time_point now)
    -> gate_actions {
  auto out = gate_actions{};
  const auto found = calls_.find(which);
  if (found == calls_.end()) return out;
  const auto ticket = found->second.ticket;
  const auto status = complete ? call_status::complete : call_status::failed;
  queue_->finish(ticket, now, {status, {}});
  by_ticket_.erase(ticket.value);
  calls_.erase(found);
  apply(queue_->tick(now), out);
  return out;
}

auto server_gate::cancel(const gate_call& which, time_point now)
    -> gate_actions {
  auto out = gate_actions{};
  const auto found = calls_.find(which);
  if (found == calls_.end()) return out;
  if (found->second.running) {
    out.abandon.push_back(which);
    return out;
  }
  queue_->withdraw(found->second.ticket, now);
  by_ticket_.erase(found->second.ticket.value);
  calls_.erase(found);
  out.withdrawn.push_back(which);
  return out;
}

auto server_gate::tick(time_point now) -> gate_actions {
  auto out = gate_actions{};
  if (!queue_) return out;
  apply(queue_->tick(now), out);
  if (queue_->queued() == 0) return out;
  auto late = std::vector<gate_call>{};
  for (const auto& [which, x] : calls_) {
    if (!x.running && x.latest_start <= now) late.push_back(which);
  }
  for (const auto& which : late) {
    cancel(which, now);
    out.refuse.push_back({which, refusal::overload});
  }
  return out;
}

auto server_gate::in_flight() const -> int {
  return queue_ ? queue_->in_flight() : 0;
}

auto server_gate::rate() const -> std::optional<double> {
  return queue_ ? queue_->rate() : std::nullopt;
}

auto server_gate::notice() const -> server_notice {
  const auto limit = rate();
  if (!limit || !server_) return {};
  auto out = server_notice{};
  out.is_known = true;
  out.server = server_->server;
  out.born_ms = server_->born_ms;
  out.is_limited = true;
  out.max_rate = *limit;
  return out;
}

auto server_gate::reported_threshold(time_point now)
    -> std::optional<admission_level> {
  if (!queue_) return std::nullopt;
  const auto threshold = queue_->threshold();
  if (threshold != admit_all_threshold) last_restricted_ = now;
  if (now - last_restricted_ > entry_gate_options{}.report_expiry)
    return std::nullopt;
  return threshold;
}

auto server_gate::queued() const -> int {
  return queue_ ? queue_->queued() : 0;
}

}  // namespace figwind
