#include "figwind/entry_calls.h"

#include <algorithm>
#include <utility>

namespace figwind {
namespace {

// Attempts are cancelled this long before the deadline, so that the "not run"
// of the server nodes still reaches the caller.
constexpr auto cancel_margin = milliseconds(20);

// An idempotent attempt times out after this multiple of the mean latency, but
// not before the minimum. Both leave room for a queue under overload.
constexpr auto attempt_timeout_factor = 20.0;
constexpr auto min_attempt_timeout = milliseconds(250);

// A server node that has lost its backend server is excluded for this time, as
// the backend server may return before the registry detects the loss.
constexpr auto exclusion_time = seconds(1);

auto outcome_of(const attempt_report& report) -> attempt_outcome {
  if (report.result != transport_result::answered)
    return attempt_outcome::no_answer;
  return report.head.status == call_status::complete
             ? attempt_outcome::answered
             : attempt_outcome::other_error;
}

auto is_overloaded(const attempt_report& report) -> bool {
  if (report.result == transport_result::timed_out) return true;
  return report.result == transport_result::answered &&
         report.head.status == call_status::not_run &&
         report.head.reason == refusal::overload;
}

auto is_refusal(const attempt_report& report) -> bool {
  return report.result == transport_result::answered &&
         report.head.status == call_status::not_run;
}

}  // namespace

entry_calls::entry_calls(entry_options options, std::uint64_t seed)
    : options_{std::move(options)},
      random_{seed},
      balancer_{{options_.call_address, options_.domain}} {}

auto entry_calls::refuse(const call_context& context, refusal reason)
    -> entry_output {
  auto answer =
      call_answer{refused_status(context), reason, 0, context.retry_allowance};
  ended_.push_back({context, answer, {}, 0, {}});
  return {{{call_id(context), answer}}, {}};
}

auto entry_calls::on_call_arrived(const call_context& context,
                                  const call_class& workload_class, bool known,
                                  time_point now) -> entry_output {
  if (context.depth == 0) {
    auto reason = gate_.decide(context, now);
    if (reason != refusal::none) return refuse(context, reason);
  }
  auto id = call_id(context);
  auto added = calls_.emplace(id, active_call{context, workload_class, now});
  auto& call = added.first->second;
  if (!known) {
    call.waiting_for_servers = true;
    waiting_for_servers_[workload_class.service].push_back(id);
    return {};
  }
  auto out = entry_output{};
  perform(id, call.state.begin(), now, out);
  return out;
}

auto entry_calls::on_attempt_ended(const attempt_report& report, time_point now)
    -> entry_output {
  auto out = entry_output{};
  auto found = calls_.find(report.call);
  if (found == calls_.end()) return out;
  auto& call = found->second;
  call.attempt_in_flight = false;
  record_attempt_end(call, report, now);
  if (call.pending_answer) {
    end_call(report.call, call, *call.pending_answer, now, out);
  } else {
    perform(report.call, apply_report(call, report, now), now, out);
  }
  return out;
}

void entry_calls::record_attempt_end(active_call& call,
                                     const attempt_report& report,
                                     time_point now) {
  const auto& service = call.workload_class.service;
  if (is_refusal(report)) {
    balancer_.refuse_attempt(call.ticket, report.head.reason, now);
    if (report.head.reason == refusal::draining) {
      balancer_.mark_draining(service, call.server);
    } else if (report.head.reason == refusal::no_server) {
      excluded_until_[call.server] = now + exclusion_time;
    }
  } else {
    balancer_.finish_attempt(call.ticket, outcome_of(report), now);
  }
  retry_throttles_[service].count_attempt_end(is_overloaded(report));
  gate_.observe_reports(call.context.name, report.thresholds, now);
}

auto entry_calls::apply_report(active_call& call, const attempt_report& report,
                               time_point now) -> call_actions {
  switch (report.result) {
    case transport_result::answered: {
      auto match = call.state.on_answer(report.head, report.body);
      if (match.validity == answer_validity::valid) return match.actions;
      return call.state.on_connection_lost(report.number,
                                           send_progress::complete);
    }
    case transport_result::not_sent:
      return call.state.on_connection_lost(report.number,
                                           send_progress::partial);
    case transport_result::broken:
      return call.state.on_connection_lost(report.number,
                                           send_progress::complete);
    case transport_result::timed_out:
      break;
  }
  if (now >= call.deadline) return call.state.on_deadline();
  auto actions = call.state.on_attempt_timeout(report.number);
  return actions.empty() ? call.state.on_deadline() : actions;
}

auto entry_calls::set_servers(const service_name& service,
                              const std::vector<server>& servers,
                              time_point now) -> entry_output {
  auto out = entry_output{};
  balancer_.set_servers(service, servers);
  auto waiting = std::exchange(waiting_for_servers_[service], {});
  waiting_for_servers_.erase(service);
  for (const auto& id : waiting) {
    auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    found->second.waiting_for_servers = false;
    perform(id, found->second.state.begin(), now, out);
  }
  return out;
}

void entry_calls::perform(const request_id& id, const call_actions& actions,
                          time_point now, entry_output& out) {
  for (const auto& action : actions) {
    auto found = calls_.find(id);
    if (found == calls_.end()) return;
    auto& call = found->second;
    switch (action.kind) {
      case call_action_kind::start_attempt:
        start_attempt(id, call, now, out);
        break;
      case call_action_kind::cancel_attempt:
        out.cancels.push_back({action.server, call.context.id});
        break;
      case call_action_kind::answer_caller: {
        auto status = action.status == call_status::not_run
                          ? refused_status(call.context)
                          : action.status;
        end_call(id, call,
                 {status, action.reason, action.attempt,
                  call.state.unspent_allowance()},
                 now, out);
        return;
      }
    }
  }
}

auto entry_calls::choose_server(active_call& call, bool is_first,
                                time_point now) -> server_choice {
  const auto& service = call.workload_class.service;
  auto may_probe = is_first && call.workload_class.idempotent;
  auto excluded = call.state.attempted_servers();
  std::erase_if(excluded_until_,
                [now](const auto& x) { return x.second <= now; });
  for (const auto& [id, until] : excluded_until_) excluded.push_back(id);
  auto chosen = balancer_.choose(service, excluded, now, random_, may_probe);
  if (chosen.target != nullptr) return chosen;
  return balancer_.choose(service, call.state.excluded_servers(), now, random_,
                          false);
}

void entry_calls::start_attempt(const request_id& id, active_call& call,
                                time_point now, entry_output& out) {
  const auto& service = call.workload_class.service;
  auto& throttle = retry_throttles_[service];
  auto is_first = call.attempt == 0;
  if (is_first) {
    throttle.count_first_attempt();
  } else if (!throttle.try_take_retry()) {
    perform(id, call.state.on_no_server(refusal::retries_spent), now, out);
    return;
  }
  auto chosen = choose_server(call, is_first, now);
  if (chosen.target == nullptr) {
    perform(id, call.state.on_no_server(chosen.reason), now, out);
    return;
  }
  const auto& target = *chosen.target;
  call.ticket =
      balancer_.start_attempt(service, chosen, call.context.name, now);
  auto started = call.state.on_attempt_started(target.id);
  call.attempt = started.number;
  call.attempt_in_flight = true;
  call.server = target.id;
  auto action = attempt_action{started.number, target.id, target.call_address,
                               target.id == options_.self, call.context};
  action.context.retry_allowance = started.retry_allowance;
  action.context.time_left = attempt_timeout(call, now);
  out.actions.push_back({id, std::move(action)});
}

auto entry_calls::attempt_timeout(const active_call& call, time_point now) const
    -> duration {
  auto time_left = std::max(call.deadline - now, duration{0});
  if (!call.workload_class.idempotent || call.state.unspent_allowance() == 0) {
    return time_left;
  }
  auto mean =
      balancer_.mean_latency(call.workload_class.service, call.context.name);
  if (mean.ms <= 0) return time_left;
  return std::min(time_left,
                  std::max(mean * attempt_timeout_factor, min_attempt_timeout));
}

void entry_calls::end_call(const request_id& id, active_call& call,
                           const call_answer& answer, time_point now,
                           entry_output& out) {
  if (call.attempt_in_flight) {
    call.pending_answer = answer;
    return;
  }
  auto total = now - call.started;
  if (answer.status == call_status::complete && call.context.depth == 0) {
    gate_.observe_latency(call.context.name, total, now);
  }
  auto retries = std::max<int>(0, static_cast<int>(call.attempt) - 1);
  ended_.push_back(
      {call.context, answer, total, retries, call.workload_class.service});
  out.actions.push_back({id, answer});
  calls_.erase(id);
}

auto entry_calls::tick(time_point now) -> entry_output {
  auto out = entry_output{};
  auto due = std::vector<request_id>{};
  for (auto& [id, call] : calls_) {
    auto wait_until = call.waiting_for_servers
                          ? call.started + options_.server_list_timeout
                          : call.deadline;
    auto due_at = std::min(wait_until, call.deadline - cancel_margin);
    if (now >= due_at && !call.deadline_handled) due.push_back(id);
  }
  for (const auto& id : due) {
    auto& call = calls_.at(id);
    call.deadline_handled = true;
    if (call.waiting_for_servers) {
      end_call(id, call,
               {refused_status(call.context), refusal::no_server, 0,
                call.state.unspent_allowance()},
               now, out);
    } else {
      perform(id, call.state.on_deadline_near(), now, out);
    }
  }
  return out;
}

auto entry_calls::take_ended() -> std::vector<ended_call> {
  return std::exchange(ended_, {});
}

auto entry_calls::relayed_reports(const std::vector<service_name>& services,
                                  time_point now)
    -> std::vector<threshold_report> {
  return gate_.relayed_reports(services, options_.self.address, now);
}

}  // namespace figwind
