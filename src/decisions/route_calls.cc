#include "figwind/route_calls.h"

#include <algorithm>

namespace figwind {
namespace {

// A caller that would wait longer than an eighth of the target latency is
// better served by a server with free slots, or by a later retry.
constexpr auto max_wait_share = 0.125;
// A refused call between services wastes the work of all services above it, so
// such calls may wait longer than their short target latency suggests.
constexpr auto min_queue_wait = milliseconds(150);
// Callers refused for overload retry after a random time in this range, as
// shares of the target latency: late enough for the load to have changed, early
// enough to be answered in time.
constexpr auto min_overload_delay_share = 0.25;
constexpr auto max_overload_delay_share = 0.6;
constexpr auto min_overload_delay = milliseconds(100);
constexpr auto max_overload_delay = milliseconds(1200);
// A request that found no server is retried after a pause as long as the outage
// so far, but early enough to be answered within its target latency.
constexpr auto min_no_server_delay = milliseconds(200);
constexpr auto max_outage_delay_share = 0.6;
constexpr auto outage_delay_jitter = 0.4;
// Least time left for which a retry is worth its work, as a share of the target
// latency.
constexpr auto min_retry_time_share = 0.1;

// Slow servers occur in pairs: one or two of a service's three or four servers
// may be ejected.
constexpr auto max_ejected_share = fraction{0.5};

auto settings_of(const route_call_options& x) -> balancer_settings {
  auto out = balancer_settings{};
  out.self = x.self;
  out.domain = x.domain;
  out.max_ejected_share = max_ejected_share;
  return out;
}

}  // namespace

auto to_string(route_outcome x) -> std::string {
  switch (x) {
    case route_outcome::answered:
      return "answered";
    case route_outcome::not_run:
      return "not_run";
    case route_outcome::timed_out:
      return "timed_out";
    case route_outcome::failed:
      break;
  }
  return "failed";
}

route_calls::route_calls(route_call_options options, random_source random)
    : options_{std::move(options)},
      random_{random},
      balancer_{settings_of(options_)} {}

void route_calls::set_servers(const service_name& service,
                              const std::vector<server>& servers) {
  auto usable = servers;
  std::erase_if(usable, [this](const server& x) { return is_leaving(x); });
  auto& known = servers_[service];
  if (known == usable) return;
  known = std::move(usable);
  balancer_.set_servers(service, known);
  gate_.set_server_count(service, known.size());
}

auto route_calls::is_leaving(const server& x) const -> bool {
  const auto found = leaving_servers_.find(x.id.address);
  if (found == leaving_servers_.end()) return false;
  const auto& left = found->second;
  const auto born_ms = static_cast<std::int64_t>(x.id.start.value);
  // Without a start time, only the names distinguish two servers.
  if (born_ms != 0) return born_ms <= left.born_ms;
  const auto name = server_names_.find(x.id);
  return name != server_names_.end() && name->second == left.server;
}

auto route_calls::budget_of(const service_name& service) -> retry_budget& {
  return budgets_.try_emplace(service, options_.retries).first->second;
}

void route_calls::set_retry_slack(double slack) {
  options_.retries.slack = slack;
  for (auto& [service, budget] : budgets_) budget.set_slack(slack);
}

auto route_calls::start(const route& to, const route_request& request,
                        time_point now) -> route_actions {
  const auto number = ++last_call_;
  auto& x = calls_[number];
  x.request = request;
  x.name = to.name;
  x.retry = to.retry;
  x.target_latency = to.target_latency;
  x.started = now;
  x.max_attempts = to.max_attempts;
  x.deadline = now + std::min(request.time_left, to.timeout);
  deadlines_.emplace(std::pair{x.deadline.ms, number}, 0);
  const auto* part = choose_service(to, random_.uniform());
  if (part == nullptr) {
    return finish(number, route_outcome::not_run, refusal::no_server, now);
  }
  x.service = part->service;
  const auto reason = admit(x, now);
  if (reason != refusal::none) {
    return finish(number, route_outcome::not_run, reason, now);
  }
  budget_of(x.service).count_request(request.chain.retry_probability, now);
  return send(number, x, false, now);
}

auto route_calls::admit(const active_call& x, time_point now) -> refusal {
  // A call of a running request has work behind it, so the servers decide.
  if (x.request.chain.depth > 0) return refusal::none;
  if (breaker_.refuses(x.name, now)) return refusal::no_server;
  auto context = call_context{};
  context.id = x.request.chain.root;
  context.name = x.name;
  context.importance = x.request.chain.priority + 1;
  context.time_left = x.deadline - now;
  return gate_.decide(context, now);
}

auto route_calls::send(std::uint64_t number, active_call& x, bool is_retry,
                       time_point now) -> route_actions {
  const auto may_probe = !is_retry && x.refusals == 0;
  auto chosen =
      balancer_.choose(x.service, x.excluded, now, random_, may_probe);
  if (chosen.target == nullptr && x.attempts == 0 && x.server_refused) {
    // A server that refused one request may accept the next.
    x.excluded.clear();
    chosen = balancer_.choose(x.service, x.excluded, now, random_, may_probe);
  }
  if (chosen.target == nullptr) {
    const auto never_sent = x.attempts == 0 && x.refusals == 0;
    if (never_sent && chosen.reason == refusal::no_server) {
      return wait_for_server(number, x, now);
    }
    // Only a request that was never sent may end as "not run".
    const auto end =
        x.attempts == 0 ? route_outcome::not_run : route_outcome::failed;
    if (!x.node_answered) return finish_without_server(number, end, now);
    return finish(number, end, chosen.reason, now);
  }
  const auto& target = *chosen.target;
  x.excluded.push_back(target.id);
  x.node = target.call_address;
  x.ticket = balancer_.start_attempt(x.service, chosen, x.name, now);
  ++x.attempts;
  auto out = route_actions{number, {}, {}, {}};
  const auto wait = std::max(x.target_latency * max_wait_share, min_queue_wait);
  auto chain = x.request.chain;
  if (is_retry) chain.retry_probability = 1;
  out.send =
      send_action{number,           x.node, x.service, server_names_[target.id],
                  x.deadline - now, wait,   chain};
  const auto known = named_limits_.find(x.node);
  if (known != named_limits_.end()) out.send->notice = known->second;
  return out;
}

auto route_calls::binding_thresholds(const call_reply& answer,
                                     time_point now) const
    -> std::vector<threshold_report> {
  auto out = answer.thresholds;
  std::erase_if(out, [&](const threshold_report& x) {
    return named_limits_.count(x.reporter) > 0 &&
           balancer_.has_room(x.service, now);
  });
  return out;
}

void route_calls::keep_leaving(const vm_address& node,
                               const server_notice& notice) {
  auto& newest = leaving_servers_[node];
  const auto is_same = newest.is_known && newest.server == notice.server &&
                       newest.born_ms == notice.born_ms;
  if (is_same || notice.born_ms < newest.born_ms) return;
  newest = notice;
  for (auto& [service, servers] : servers_) {
    const auto known = servers;
    set_servers(service, known);
  }
}

void route_calls::keep_notice(const vm_address& node,
                              const server_notice& notice) {
  if (!notice.is_known) return;
  if (notice.is_leaving) keep_leaving(node, notice);
  if (notice.is_limited) {
    named_limits_[node] = notice;
  } else {
    named_limits_.erase(node);
  }
}

auto route_calls::wait_for_server(std::uint64_t number, const active_call& x,
                                  time_point now) -> route_actions {
  const auto max_wait =
      std::min(x.target_latency * max_wait_share, options_.max_server_wait);
  const auto until = x.started + max_wait;
  if (now >= until)
    return finish_without_server(number, route_outcome::not_run, now);
  waiting_for_server_[x.service].push_back({number, until});
  return {number, {}, {}, {}};
}

void route_calls::send_waiting(time_point now,
                               std::vector<route_actions>& out) {
  for (auto& [service, waiting] : waiting_for_server_) {
    const auto found = servers_.find(service);
    const auto has_server = found != servers_.end() && !found->second.empty();
    auto due = std::vector<std::uint64_t>{};
    std::erase_if(waiting, [&](const waiting_call& x) {
      if (!has_server && now < x.until) return false;
      due.push_back(x.call);
      return true;
    });
    for (const auto number : due) {
      const auto call = calls_.find(number);
      if (call == calls_.end()) continue;
      out.push_back(send(number, call->second, false, now));
    }
  }
}

auto route_calls::may_retry(active_call& x, time_point now) -> bool {
  if (x.retry != retry_rule::idempotent) return false;
  if (x.attempts >= x.max_attempts) return false;
  if (x.deadline - now < x.target_latency * min_retry_time_share) return false;
  return take_retry(x, retry_cause::may_have_run, now);
}

auto route_calls::retry_or_fail(std::uint64_t number, active_call& x,
                                time_point now) -> route_actions {
  if (!may_retry(x, now)) {
    return finish(number, route_outcome::failed, refusal::retries_spent, now);
  }
  return send(number, x, true, now);
}

auto route_calls::on_answer(const call_reply& answer, time_point now)
    -> route_actions {
  const auto found = calls_.find(answer.call);
  if (found == calls_.end()) return {};
  auto& x = found->second;
  const auto ticket = std::exchange(x.ticket, 0);
  keep_notice(x.node, answer.notice);
  if (answer.notice.is_known) {
    balancer_.set_rate_limited(ticket, answer.notice.is_limited, now);
  }
  gate_.observe_reports(x.name, binding_thresholds(answer, now), now);
  if (answer.end == call_end::answered) {
    return handle_answer(answer, x, ticket, now);
  }
  if (answer.end == call_end::broken) {
    balancer_.finish_attempt(ticket, attempt_outcome::other_error, now);
    return retry_or_fail(answer.call, x, now);
  }
  if (answer.reason == refusal::no_server) {
    balancer_.finish_attempt(ticket, attempt_outcome::no_answer, now);
  } else {
    balancer_.refuse_attempt(ticket, answer.reason, now);
  }
  if (answer.reason == refusal::repeated_crash) {
    balancer_.finish_attempt(ticket, attempt_outcome::cancelled, now);
    return finish(answer.call, route_outcome::failed, answer.reason, now);
  }
  --x.attempts;
  ++x.refusals;
  x.node_answered = true;
  x.server_refused = answer.refused_by_server;
  const auto is_last = !may_retry_refused(x, answer.refused_by_server, now);
  if (is_last || answer.reason == refusal::deadline) {
    const auto end =
        x.attempts == 0 ? route_outcome::not_run : route_outcome::failed;
    return finish(answer.call, end, answer.reason, now);
  }
  return send(answer.call, x, x.attempts > 0, now);
}

auto route_calls::handle_answer(const call_reply& answer, active_call& x,
                                attempt_ticket ticket, time_point now)
    -> route_actions {
  const auto failed = answer.status >= 500;
  if (!failed || answer.no_server_found) breaker_.observe(x.name, failed, now);
  if (!failed) {
    gate_.observe_complete(x.name, answer.thresholds, now);
    gate_.observe_latency(x.name, now - x.started, now);
    downstream_[x.name] = {answer.levels_below, answer.retry_budget_used};
  }
  const auto error = answer.server_failed ? attempt_outcome::server_error
                                          : attempt_outcome::other_error;
  balancer_.finish_attempt(ticket, failed ? error : attempt_outcome::answered,
                           now);
  // Another server may succeed where this one failed. If calls of the run
  // failed, another run would most likely fail the same way.
  if (answer.server_failed && may_retry(x, now)) {
    return send(answer.call, x, true, now);
  }
  return finish(answer.call, route_outcome::answered, refusal::none, now);
}

auto route_calls::may_retry_refused(const active_call& x, bool reached_server,
                                    time_point now) -> bool {
  if (x.refusals >= options_.max_refusals) return false;
  // The refused attempt reached a backend server and counts as an arrival
  // there, as a retry does.
  return !reached_server || take_retry(x, retry_cause::refused, now);
}

auto route_calls::take_retry(const active_call& x, retry_cause cause,
                             time_point now) -> bool {
  const auto& downstream = downstream_[x.name];
  // A request at the start of a chain needs the calls of its whole chain.
  const auto calls =
      std::max(x.request.calls_left, downstream.levels_below + 1);
  const auto rank = retry_rank{x.request.chain.priority, calls};
  return budget_of(x.service).try_take(cause, rank, downstream, now);
}

auto route_calls::retry_budget_used(const service_name& service,
                                    time_point now) const -> double {
  const auto found = budgets_.find(service);
  return found == budgets_.end() ? 0 : found->second.used_fraction(now);
}

auto route_calls::on_server_silent(std::uint64_t call, time_point now)
    -> route_actions {
  const auto found = calls_.find(call);
  if (found == calls_.end() || waits_for_silent_servers_) return {};
  auto& x = found->second;
  const auto cancel = cancel_action{call, x.node};
  balancer_.finish_attempt(std::exchange(x.ticket, 0),
                           attempt_outcome::other_error, now);
  auto out = retry_or_fail(call, x, now);
  out.cancel.push_back(cancel);
  return out;
}

auto route_calls::on_link_lost(std::uint64_t call, bool sent, time_point now)
    -> route_actions {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return {};
  auto& x = found->second;
  balancer_.finish_attempt(std::exchange(x.ticket, 0),
                           attempt_outcome::no_answer, now);
  if (sent) return retry_or_fail(call, x, now);
  --x.attempts;
  ++x.refusals;
  if (x.refusals < options_.max_refusals) {
    return send(call, x, x.attempts > 0, now);
  }
  const auto end =
      x.attempts == 0 ? route_outcome::not_run : route_outcome::failed;
  return finish_without_server(call, end, now);
}

auto route_calls::on_caller_gone(std::uint64_t call, time_point now)
    -> route_actions {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return {};
  auto& x = found->second;
  auto out = route_actions{call, {}, {}, {}};
  if (x.ticket != 0) {
    balancer_.finish_attempt(std::exchange(x.ticket, 0),
                             attempt_outcome::cancelled, now);
    out.cancel.push_back({call, x.node});
  }
  deadlines_.erase({x.deadline.ms, call});
  calls_.erase(found);
  return out;
}

auto route_calls::on_tick(time_point now) -> std::vector<route_actions> {
  auto out = std::vector<route_actions>{};
  send_waiting(now, out);
  while (!deadlines_.empty() && deadlines_.begin()->first.first <= now.ms) {
    const auto number = deadlines_.begin()->first.second;
    auto& x = calls_.at(number);
    auto cancel = std::vector<cancel_action>{};
    if (x.ticket != 0) {
      // A server that has not answered within the route's timeout is slow.
      balancer_.finish_attempt(std::exchange(x.ticket, 0),
                               attempt_outcome::other_error, now);
      cancel.push_back({number, x.node});
    }
    out.push_back(
        finish(number, route_outcome::timed_out, refusal::deadline, now));
    out.back().cancel = std::move(cancel);
  }
  return out;
}

auto route_calls::retry_after(refusal reason, duration target, duration outage)
    -> duration {
  if (reason != refusal::overload) {
    const auto max_delay =
        std::max(target * max_outage_delay_share, min_no_server_delay);
    const auto delay = std::clamp(outage, min_no_server_delay, max_delay);
    return delay * (1 + outage_delay_jitter * random_.uniform());
  }
  const auto share =
      min_overload_delay_share +
      (max_overload_delay_share - min_overload_delay_share) * random_.uniform();
  return std::clamp(target * share, min_overload_delay, max_overload_delay);
}

auto route_calls::finish_without_server(std::uint64_t number, route_outcome end,
                                        time_point now) -> route_actions {
  breaker_.observe(calls_.at(number).name, true, now);
  return finish(number, end, refusal::no_server, now);
}

auto route_calls::finish(std::uint64_t number, route_outcome end,
                         refusal reason, time_point now) -> route_actions {
  const auto found = calls_.find(number);
  auto& x = found->second;
  auto out = route_actions{number, {}, {}, {}};
  out.end = end_action{number, end, reason, {}, {}, x.node, x.attempts};
  if (reason == refusal::no_server)
    out.end->outage = breaker_.outage(x.name, now);
  if (end == route_outcome::not_run) {
    out.end->retry_after =
        retry_after(reason, x.target_latency, out.end->outage);
  }
  deadlines_.erase({x.deadline.ms, number});
  calls_.erase(found);
  return out;
}

}  // namespace figwind
