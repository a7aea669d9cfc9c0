#include "figwind/entry_calls.h"

#include <algorithm>
#include <utility>

namespace figwind {
namespace {

// Before this much time is left, server nodes are told to give up, so that
// their "not run" still reaches the caller.
constexpr auto cancel_lead = milliseconds(20);

// An idempotent attempt is given up after this multiple of the usual latency,
// and not before the shortest time; both leave room for a queue under overload.
constexpr auto attempt_patience = 20.0;
constexpr auto shortest_attempt = milliseconds(250);

// A server node whose backend server is lost is tried again after this time; it
// may return before the registry notices.
constexpr auto left_out_time = seconds(1);

auto end_kind(const attempt_report& report) -> attempt_end {
  if (report.fate != attempt_fate::answered) return attempt_end::lost;
  return report.head.status == call_status::complete ? attempt_end::answered
                                                     : attempt_end::failed;
}

auto is_overloaded(const attempt_report& report) -> bool {
  if (report.fate == attempt_fate::timed_out) return true;
  return report.fate == attempt_fate::answered &&
         report.head.status == call_status::not_run &&
         report.head.reason == refusal::overload;
}

auto is_refusal(const attempt_report& report) -> bool {
  return report.fate == attempt_fate::answered &&
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

auto entry_calls::arrived(const call_context& context,
                          const call_class& its_class, bool known,
                          time_point now) -> entry_output {
  if (context.depth == 0) {
    auto reason = gate_.decide(context, now);
    if (reason != refusal::none) return refuse(context, reason);
  }
  auto id = call_id(context);
  auto added = calls_.emplace(id, live_call{context, its_class, now});
  auto& call = added.first->second;
  if (!known) {
    call.waiting_for_list = true;
    waiting_[its_class.service].push_back(id);
    return {};
  }
  auto out = entry_output{};
  perform(id, call.state.begin(), now, out);
  return out;
}

auto entry_calls::attempt_ended(const attempt_report& report, time_point now)
    -> entry_output {
  auto out = entry_output{};
  auto found = calls_.find(report.call);
  if (found == calls_.end()) return out;
  auto& call = found->second;
  call.under_way = false;
  note_end(call, report, now);
  if (call.outcome) {
    end(report.call, call, *call.outcome, now, out);
  } else {
    perform(report.call, apply(call, report, now), now, out);
  }
  return out;
}

void entry_calls::note_end(live_call& call, const attempt_report& report,
                           time_point now) {
  const auto& service = call.its_class.service;
  if (is_refusal(report)) {
    balancer_.refused(call.ticket, report.head.reason, now);
    if (report.head.reason == refusal::draining) {
      balancer_.mark_draining(service, call.server);
    } else if (report.head.reason == refusal::no_server) {
      left_out_[call.server] = now + left_out_time;
    }
  } else {
    balancer_.finished(call.ticket, end_kind(report), now);
  }
  shares_[service].ended(is_overloaded(report));
  gate_.observe(call.context.name, report.thresholds, now);
}

auto entry_calls::apply(live_call& call, const attempt_report& report,
                        time_point now) -> call_actions {
  switch (report.fate) {
    case attempt_fate::answered: {
      auto got = call.state.answer(report.head, report.body);
      if (got.fit == answer_fit::fits) return got.actions;
      return call.state.broken(report.number, sent_part::whole);
    }
    case attempt_fate::not_sent:
      return call.state.broken(report.number, sent_part::not_whole);
    case attempt_fate::broken:
      return call.state.broken(report.number, sent_part::whole);
    case attempt_fate::timed_out:
      break;
  }
  if (now >= call.deadline) return call.state.deadline();
  auto actions = call.state.timed_out(report.number);
  return actions.empty() ? call.state.deadline() : actions;
}

auto entry_calls::set_servers(const service_name& service,
                              const std::vector<server>& servers,
                              time_point now) -> entry_output {
  auto out = entry_output{};
  balancer_.set_servers(service, servers);
  auto waiting = std::exchange(waiting_[service], {});
  waiting_.erase(service);
  for (const auto& id : waiting) {
    auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    found->second.waiting_for_list = false;
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
      case call_action_kind::try_server:
        try_server(id, call, now, out);
        break;
      case call_action_kind::cancel_attempt:
        out.cancels.push_back({action.server, call.context.id});
        break;
      case call_action_kind::answer_caller: {
        auto status = action.status == call_status::not_run
                          ? refused_status(call.context)
                          : action.status;
        end(id, call,
            {status, action.reason, action.attempt,
             call.state.unspent_allowance()},
            now, out);
        return;
      }
    }
  }
}

auto entry_calls::pick(live_call& call, bool is_first, time_point now)
    -> choice {
  const auto& service = call.its_class.service;
  auto may_probe = is_first && call.its_class.idempotent;
  auto excluded = call.state.tried();
  std::erase_if(left_out_, [now](const auto& x) { return x.second <= now; });
  for (const auto& [id, until] : left_out_) excluded.push_back(id);
  auto chosen = balancer_.choose(service, excluded, now, random_, may_probe);
  if (chosen.target != nullptr) return chosen;
  return balancer_.choose(service, call.state.to_avoid(), now, random_, false);
}

void entry_calls::try_server(const request_id& id, live_call& call,
                             time_point now, entry_output& out) {
  const auto& service = call.its_class.service;
  auto& share = shares_[service];
  auto is_first = call.attempt == 0;
  if (is_first) {
    share.first_attempt();
  } else if (!share.take_extra()) {
    perform(id, call.state.no_server(refusal::retries_spent), now, out);
    return;
  }
  auto chosen = pick(call, is_first, now);
  if (chosen.target == nullptr) {
    perform(id, call.state.no_server(chosen.reason), now, out);
    return;
  }
  const auto& target = *chosen.target;
  call.ticket = balancer_.started(service, chosen, call.context.name, now);
  auto started = call.state.started(target.id);
  call.attempt = started.number;
  call.under_way = true;
  call.server = target.id;
  auto order = attempt_order{started.number, target.id, target.call_address,
                             target.id == options_.self, call.context};
  order.context.retry_allowance = started.retry_allowance;
  order.context.time_left = attempt_time(call, now);
  out.steps.push_back({id, std::move(order)});
}

auto entry_calls::attempt_time(const live_call& call, time_point now) const
    -> duration {
  auto left = std::max(call.deadline - now, duration{0});
  if (!call.its_class.idempotent || call.state.unspent_allowance() == 0) {
    return left;
  }
  auto usual =
      balancer_.usual_latency(call.its_class.service, call.context.name);
  if (usual.ms <= 0) return left;
  return std::min(left, std::max(usual * attempt_patience, shortest_attempt));
}

void entry_calls::end(const request_id& id, live_call& call,
                      const call_answer& answer, time_point now,
                      entry_output& out) {
  if (call.under_way) {
    call.outcome = answer;
    return;
  }
  auto total = now - call.started;
  if (answer.status == call_status::complete && call.context.depth == 0) {
    gate_.observe_time(call.context.name, total, now);
  }
  auto retries = std::max<int>(0, static_cast<int>(call.attempt) - 1);
  ended_.push_back(
      {call.context, answer, total, retries, call.its_class.service});
  out.steps.push_back({id, answer});
  calls_.erase(id);
}

auto entry_calls::tick(time_point now) -> entry_output {
  auto out = entry_output{};
  auto due = std::vector<request_id>{};
  for (auto& [id, call] : calls_) {
    auto wait = call.waiting_for_list ? call.started + options_.list_wait
                                      : call.deadline;
    auto limit = std::min(wait, call.deadline - cancel_lead);
    if (now >= limit && !call.near_deadline) due.push_back(id);
  }
  for (const auto& id : due) {
    auto& call = calls_.at(id);
    call.near_deadline = true;
    if (call.waiting_for_list) {
      end(id, call,
          {refused_status(call.context), refusal::no_server, 0,
           call.state.unspent_allowance()},
          now, out);
    } else {
      perform(id, call.state.deadline_near(), now, out);
    }
  }
  return out;
}

auto entry_calls::take_ended() -> std::vector<ended_call> {
  return std::exchange(ended_, {});
}

auto entry_calls::relay(const std::vector<service_name>& services,
                        time_point now) -> std::vector<threshold_report> {
  return gate_.relay(services, options_.self.address, now);
}

}  // namespace figwind
