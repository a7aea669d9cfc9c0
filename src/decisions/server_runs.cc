#include "figwind/server_runs.h"

#include <algorithm>
#include <utility>

namespace figwind {
namespace {

// Running requests are bounded by slots; this bound only limits memory.
constexpr auto ledger_capacity = std::size_t{4096};

// An allowance is kept for this time after the deadline of its request, for
// late downstream calls.
constexpr auto allowance_grace_time = seconds(1);

// A resend often arrives while the first sending runs or while its outcome is
// on its way to the recorders. It asks the recorders again up to this many
// times, for 250 ms in total, because it holds a slot meanwhile.
constexpr auto recorder_retry_delay = milliseconds(25);
constexpr auto max_recorder_waits = 10;

auto make_answer(run_ticket ticket, call_status status, refusal reason)
    -> run_action {
  auto action = run_action{};
  action.ticket = ticket;
  action.status = status;
  action.reason = reason;
  return action;
}

auto answer_of(run_ticket ticket, const record_decision& decision)
    -> run_action {
  const auto& outcome = decision.outcome;
  auto action = make_answer(ticket, outcome.status, decision.reason);
  if (decision.verdict != record_verdict::done) return action;
  action.recorded = true;
  action.answer = outcome.answer;
  if (outcome.status == call_status::complete && !outcome.has_answer) {
    // The request ran, but its complete answer was not recorded.
    action.status = call_status::unknown;
    action.reason = refusal::duplicate;
  }
  return action;
}

template <class T>
void append(std::vector<T>& to, std::vector<T> from) {
  std::move(from.begin(), from.end(), std::back_inserter(to));
}

}  // namespace

server_runs::server_runs(server_runs_options options, std::uint64_t seed,
                         time_point /*now*/)
    : options_{std::move(options)},
      random_{seed},
      crash_guard_{options_.self},
      records_{options_.self, options_.groups_per_domain, options_.records},
      allowances_{ledger_capacity, random_} {}

void server_runs::announce(const backend_announcement& backend,
                           time_point now) {
  backend_ = backend;
  auto slots = std::max(backend.slots, 1);
  auto restarted = !available_ && runs_.empty();
  if (queue_ == nullptr || restarted) {
    constexpr auto cold = true;
    queue_ = std::make_unique<run_queue>(options_.queue, slots, cold, now);
  } else {
    queue_->set_slots(slots);
  }
  available_ = true;
}

void server_runs::refuse(run_ticket ticket, const call_context& context,
                         refusal reason, run_output& out) const {
  auto action = make_answer(ticket, refused_status(context), reason);
  action.returned_allowance = context.retry_allowance;
  out.actions.push_back(std::move(action));
}

auto server_runs::on_attempt_arrived(run_ticket ticket,
                                     const call_context& context,
                                     request_fingerprint request,
                                     time_point now, time_point unix_now)
    -> run_output {
  unix_now_ = unix_now;
  auto out = run_output{};
  if (draining_) {
    refuse(ticket, context, refusal::draining, out);
  } else if (!available_) {
    refuse(ticket, context, refusal::no_server, out);
  } else {
    enqueue({ticket, context, request, now + context.time_left}, now, out);
    apply_queue_actions(now, out);
  }
  return out;
}

void server_runs::enqueue(const deferred_run& run, time_point now,
                          run_output& out) {
  auto decision = crash_guard_.decide_run(run.request, now);
  if (decision == run_decision::refuse) {
    out.actions.push_back(
        make_answer(run.ticket, call_status::failed, refusal::repeated_crash));
    return;
  }
  if (decision == run_decision::wait) {
    deferred_.push_back(run);
    return;
  }
  auto context = run.context;
  context.time_left = run.deadline - now;
  auto arrival = queue_->submit(context, now);
  if (arrival.verdict == admission_verdict::refused) {
    refuse(run.ticket, context, arrival.reason, out);
    return;
  }
  auto x = active_run{context, run.request, run.deadline, arrival.ticket};
  by_queue_ticket_[arrival.ticket.value] = run.ticket;
  runs_.emplace(run.ticket, std::move(x));
  if (arrival.verdict == admission_verdict::start) {
    start(run.ticket, now, out);
  }
}

void server_runs::start(run_ticket ticket, time_point now, run_output& out) {
  auto& x = runs_.at(ticket);
  // A crash may have made the request a suspect while it was queued.
  auto decision = crash_guard_.decide_run(x.request, now);
  if (decision == run_decision::refuse) {
    finish_run(
        ticket, x,
        make_answer(ticket, call_status::failed, refusal::repeated_crash), now,
        out);
    return;
  }
  crash_guard_.on_started(x.request, now);
  if (x.context.key.value.empty()) {
    run(ticket, x, now, out);
    return;
  }
  x.phase = run_phase::recording;
  ask_recorders(ticket, x, !x.context.first_sending, now, out);
}

void server_runs::ask_recorders(run_ticket ticket, active_run& x,
                                bool earlier_unresolved, time_point now,
                                run_output& out) {
  auto attempt = attempt_id{};
  auto records = records_.begin(x.context.key, earlier_unresolved, now,
                                unix_now_, attempt);
  x.attempt = attempt;
  by_attempt_[attempt.number] = ticket;
  apply_records(records, now, out);
}

auto server_runs::wait_for_outcome(run_ticket ticket, active_run& x,
                                   time_point now) -> bool {
  if (x.recorder_waits >= max_recorder_waits ||
      now + recorder_retry_delay >= x.deadline) {
    return false;
  }
  ++x.recorder_waits;
  by_attempt_.erase(x.attempt.number);
  recorder_retries_.emplace(now + recorder_retry_delay, ticket);
  return true;
}

void server_runs::retry_recorders(time_point now, run_output& out) {
  while (!recorder_retries_.empty() &&
         recorder_retries_.begin()->first <= now) {
    auto ticket = recorder_retries_.begin()->second;
    recorder_retries_.erase(recorder_retries_.begin());
    auto found = runs_.find(ticket);
    if (found == runs_.end()) continue;
    constexpr auto earlier_unresolved = true;
    ask_recorders(ticket, found->second, earlier_unresolved, now, out);
  }
}

void server_runs::run(run_ticket ticket, active_run& x, time_point now,
                      run_output& out) {
  x.phase = run_phase::running;
  x.parent = allowances_.open(x.context.retry_allowance, now,
                              x.deadline + allowance_grace_time);
  if (x.parent != 0) by_parent_[x.parent] = ticket;
  auto action = run_action{};
  action.ticket = ticket;
  action.kind = run_action_kind::run;
  action.context = x.context;
  action.context.time_left = x.deadline - now;
  action.context.parent = x.parent;
  out.actions.push_back(std::move(action));
}

void server_runs::apply_records(const record_output& records, time_point now,
                                run_output& out) {
  append(out.records, records.requests);
  for (const auto& decision : records.decisions)
    apply_decision(decision, now, out);
}

void server_runs::apply_decision(const record_decision& decision,
                                 time_point now, run_output& out) {
  auto found = by_attempt_.find(decision.attempt.number);
  if (found == by_attempt_.end()) return;
  auto ticket = found->second;
  auto& x = runs_.at(ticket);
  if (decision.verdict == record_verdict::elsewhere &&
      wait_for_outcome(ticket, x, now)) {
    return;
  }
  if (decision.verdict != record_verdict::may_run) {
    crash_guard_.on_finished(x.request, false, now);
    finish_run(ticket, x, answer_of(ticket, decision), now, out);
    return;
  }
  if (now < x.deadline && available_) {
    run(ticket, x, now, out);
    return;
  }
  auto records = record_output{};
  auto status = records_.abandon(x.attempt, false, now, records);
  append(out.records, std::move(records.requests));
  crash_guard_.on_finished(x.request, false, now);
  auto reason = available_ ? refusal::deadline : refusal::no_server;
  finish_run(ticket, x, make_answer(ticket, status, reason), now, out);
}

auto server_runs::on_run_ended(run_ticket ticket, const run_report& report,
                               time_point now) -> run_output {
  auto out = run_output{};
  auto found = runs_.find(ticket);
  if (found == runs_.end()) return out;
  auto& x = found->second;
  auto answer = make_answer(ticket, report.status, refusal::none);
  auto ran = report.status != call_status::not_run;
  if (!x.context.key.value.empty()) {
    auto records = record_output{};
    if (ran) {
      auto is_recordable =
          report.status == call_status::complete &&
          report.answer.size() <= options_.records.recorders.max_answer_bytes;
      records = records_.finish(
          x.attempt,
          {report.status, is_recordable, is_recordable ? report.answer : ""},
          report.crashed, now);
    } else {
      answer.status = records_.abandon(x.attempt, report.crashed, now, records);
    }
    append(out.records, std::move(records.requests));
  }
  if (!ran) answer.reason = refusal::no_server;
  if (report.crashed) {
    record_crash(now, out);
  } else {
    crash_guard_.on_finished(x.request, ran, now);
  }
  finish_run(ticket, x, std::move(answer), now, out);
  retry_deferred(now, out);
  apply_queue_actions(now, out);
  return out;
}

void server_runs::record_crash(time_point now, run_output& out) {
  // All requests that were running report the same crash; it counts once.
  if (!available_) return;
  available_ = false;
  out.crash_reports.push_back(crash_guard_.on_crashed(now));
}

void server_runs::finish_run(run_ticket ticket, active_run& x,
                             run_action answer, time_point now,
                             run_output& out) {
  answer.returned_allowance = x.phase == run_phase::running
                                  ? allowances_.close(x.parent, now)
                                  : x.context.retry_allowance;
  answer.downstream_services.assign(x.services.begin(), x.services.end());
  if (x.phase == run_phase::running) by_parent_.erase(x.parent);
  by_attempt_.erase(x.attempt.number);
  by_queue_ticket_.erase(x.queue_ticket.value);
  queue_->finish(x.queue_ticket, now, {answer.status, x.downstream_time});
  out.actions.push_back(std::move(answer));
  runs_.erase(ticket);
}

void server_runs::apply_queue_actions(time_point now, run_output& out) {
  auto actions = queue_->tick(now);
  while (!actions.start.empty() || !actions.refused.empty()) {
    for (const auto& refused : actions.refused) {
      auto found = by_queue_ticket_.find(refused.ticket.value);
      if (found == by_queue_ticket_.end()) continue;
      auto ticket = found->second;
      refuse(ticket, runs_.at(ticket).context, refused.reason, out);
      by_queue_ticket_.erase(found);
      runs_.erase(ticket);
    }
    for (const auto& started : actions.start) {
      auto found = by_queue_ticket_.find(started.value);
      if (found != by_queue_ticket_.end()) {
        start(found->second, now, out);
      }
    }
    actions = queue_->tick(now);
  }
}

void server_runs::retry_deferred(time_point now, run_output& out) {
  auto deferred = std::exchange(deferred_, {});
  for (auto& run : deferred) {
    if (now >= run.deadline || !available_) {
      auto reason = available_ ? refusal::deadline : refusal::no_server;
      refuse(run.ticket, run.context, reason, out);
    } else {
      enqueue(run, now, out);
    }
  }
}

auto server_runs::on_record_reply(const record_reply& reply, time_point now)
    -> run_output {
  auto out = run_output{};
  apply_records(records_.on_reply(reply, now), now, out);
  if (queue_ != nullptr) apply_queue_actions(now, out);
  return out;
}

auto server_runs::cancel(const request_id& request, time_point now)
    -> run_output {
  auto out = run_output{};
  if (queue_ == nullptr) return out;
  auto cancelled = queue_->cancel(request, now);
  for (const auto& removed : cancelled.removed) {
    auto found = by_queue_ticket_.find(removed.value);
    if (found == by_queue_ticket_.end()) continue;
    auto ticket = found->second;
    refuse(ticket, runs_.at(ticket).context, refusal::deadline, out);
    by_queue_ticket_.erase(found);
    runs_.erase(ticket);
  }
  for (const auto& running : cancelled.running) {
    auto found = by_queue_ticket_.find(running.value);
    if (found == by_queue_ticket_.end()) continue;
    auto& x = runs_.at(found->second);
    if (x.phase != run_phase::running) continue;
    auto action = run_action{};
    action.ticket = found->second;
    action.kind = run_action_kind::cancel;
    action.context = x.context;
    out.actions.push_back(std::move(action));
  }
  return out;
}

auto server_runs::tick(time_point now, time_point unix_now) -> run_output {
  unix_now_ = unix_now;
  auto out = run_output{};
  apply_records(records_.on_tick(now), now, out);
  retry_recorders(now, out);
  if (!deferred_.empty()) retry_deferred(now, out);
  if (queue_ != nullptr) apply_queue_actions(now, out);
  return out;
}

void server_runs::merge_crashes(const crash_report& report, time_point now) {
  crash_guard_.merge(report, now);
}

auto server_runs::is_refused(request_fingerprint request, time_point now) const
    -> bool {
  return crash_guard_.is_refused(request, now);
}

auto server_runs::take_allowance(std::uint64_t parent,
                                 const service_name& service, time_point now)
    -> int {
  auto found = by_parent_.find(parent);
  if (found == by_parent_.end()) return 0;
  runs_.at(found->second).services.insert(service);
  return allowances_.take(parent, now);
}

void server_runs::give_back(std::uint64_t parent, int taken, int returned,
                            duration total, time_point now) {
  auto found = by_parent_.find(parent);
  if (found == by_parent_.end()) return;
  auto& x = runs_.at(found->second);
  x.downstream_time = x.downstream_time + total;
  allowances_.give_back(parent, taken, returned, now);
}

void server_runs::begin_drain() {
  draining_ = true;
  if (queue_ != nullptr) queue_->begin_drain();
}

auto server_runs::drained() const -> bool {
  return draining_ && runs_.empty() && deferred_.empty();
}

auto server_runs::threshold() const -> threshold_report {
  return {backend_.service, options_.self.address,
          queue_ == nullptr ? admit_all_threshold : queue_->threshold()};
}

auto server_runs::in_flight() const -> int {
  return queue_ == nullptr ? 0 : queue_->in_flight();
}

auto server_runs::limit(time_point now) const -> int {
  return queue_ == nullptr ? 0 : queue_->limit(now);
}

}  // namespace figwind
