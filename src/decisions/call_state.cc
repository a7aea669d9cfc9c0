#include "figwind/call_state.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace figwind {

namespace {

/// True if another server may accept the request after this refusal.
auto another_server_may_accept(refusal reason) -> bool {
  return reason == refusal::overload || reason == refusal::draining ||
         reason == refusal::no_server;
}

}  // namespace

auto answer_checksum(const answer_header& head, std::string_view body)
    -> std::uint64_t {
  const auto fields = std::array<std::uint64_t, 7>{
      head.id.high,
      head.id.low,
      head.attempt,
      static_cast<std::uint64_t>(head.status),
      static_cast<std::uint64_t>(head.reason),
      static_cast<std::uint64_t>(head.returned_allowance),
      head.length};
  const auto seed = XXH3_64bits(fields.data(), sizeof(fields));
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

call_state::call_state(const call_context& context, bool idempotent)
    : id_{context.id},
      retry_safe_{idempotent && context.key.value.empty()},
      allowance_{context.retry_allowance} {}

auto call_state::begin() -> call_actions {
  awaiting_server_ = true;
  return {call_action{call_action_kind::start_attempt}};
}

auto call_state::on_attempt_started(const node_id& server) -> started_attempt {
  if (!awaiting_server_) return {};
  awaiting_server_ = false;
  const auto granted = attempts_.empty() ? allowance_.grant_first_attempt()
                                         : allowance_.grant_retry();
  if (granted < 0) return {};
  attempts_.push_back({server, attempt_state::pending, granted, false});
  attempted_servers_.push_back(server);
  return {static_cast<attempt_number>(attempts_.size()), granted};
}

auto call_state::on_no_server(refusal reason) -> call_actions {
  if (!awaiting_server_) return {};
  awaiting_server_ = false;
  // The answer of a server tells the caller more than the lack of another one.
  if (last_refusal_ == refusal::none) last_refusal_ = reason;
  return finish_if_settled();
}

auto call_state::excluded_servers() const -> std::vector<node_id> {
  auto out = std::vector<node_id>{};
  for (const auto& a : attempts_) {
    const auto ended =
        a.state == attempt_state::unknown || a.state == attempt_state::failed;
    if (!ended) out.push_back(a.server);
  }
  return out;
}

auto call_state::find_attempt(attempt_number number) -> attempt* {
  if (number == 0 || number > attempts_.size()) return nullptr;
  return &attempts_[number - 1];
}

auto call_state::any_attempt_in(attempt_state x) const -> bool {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [x](const attempt& a) { return a.state == x; });
}

auto call_state::may_retry() const -> bool {
  if (attempts_closed_ || ended_ || awaiting_server_) return false;
  if (allowance_.remaining() == 0) return false;
  if (retry_safe_) return true;
  return std::all_of(attempts_.begin(), attempts_.end(), [](const attempt& a) {
    return a.state == attempt_state::not_run;
  });
}

auto call_state::retry_or_finish(bool retryable) -> call_actions {
  if (ended_ || awaiting_server_ || any_attempt_in(attempt_state::pending))
    return {};
  if (!retryable || !may_retry()) return finish_if_settled();
  awaiting_server_ = true;
  return {call_action{call_action_kind::start_attempt}};
}

auto call_state::finish_if_settled() -> call_actions {
  if (ended_ || any_attempt_in(attempt_state::pending) ||
      any_attempt_in(attempt_state::timed_out))
    return {};
  if (failed_attempt_ != 0) {
    return finish(call_status::failed, refusal::none, failed_attempt_);
  }
  if (any_attempt_in(attempt_state::unknown))
    return finish(call_status::unknown, refusal::none, 0);
  return finish(call_status::not_run, last_refusal_, 0);
}

auto call_state::finish(call_status status, refusal reason,
                        attempt_number attempt) -> call_actions {
  ended_ = true;
  awaiting_server_ = false;
  auto out = call_actions{};
  out.push_back({call_action_kind::answer_caller, attempt, {}, status, reason});
  cancel_pending(out, attempt);
  return out;
}

void call_state::cancel_pending(call_actions& out, attempt_number except) {
  for (auto i = std::size_t{0}; i < attempts_.size(); ++i) {
    auto& a = attempts_[i];
    const auto number = static_cast<attempt_number>(i + 1);
    const auto pending = a.state == attempt_state::pending ||
                         a.state == attempt_state::timed_out;
    if (!pending || a.cancelled || number == except) continue;
    a.cancelled = true;
    out.push_back({call_action_kind::cancel_attempt, number, a.server});
  }
}

auto call_state::on_answer(const answer_header& head, std::string_view body)
    -> answer_result {
  auto* a = find_attempt(head.attempt);
  if (head.id != id_ || a == nullptr) return {answer_validity::unrelated, {}};
  const auto pending = a->state == attempt_state::pending ||
                       a->state == attempt_state::timed_out;
  if (ended_ || !pending) return {answer_validity::late, {}};
  if (head.length != body.size() ||
      head.checksum != answer_checksum(head, body)) {
    return {answer_validity::corrupt,
            on_connection_lost(head.attempt, send_progress::complete)};
  }
  allowance_.take_back(a->granted_allowance, head.returned_allowance);
  switch (head.status) {
    case call_status::complete:
      return {answer_validity::valid,
              finish(call_status::complete, refusal::none, head.attempt)};
    case call_status::not_run:
      a->state = attempt_state::not_run;
      last_refusal_ = head.reason;
      return {answer_validity::valid,
              retry_or_finish(another_server_may_accept(head.reason))};
    case call_status::failed:
      a->state = attempt_state::failed;
      failed_attempt_ = head.attempt;
      return {answer_validity::valid, retry_or_finish(true)};
    case call_status::unknown:
      break;
  }
  a->state = attempt_state::unknown;
  return {answer_validity::valid, retry_or_finish(true)};
}

auto call_state::on_connection_lost(attempt_number number, send_progress sent)
    -> call_actions {
  auto* a = find_attempt(number);
  if (ended_ || a == nullptr) return {};
  if (a->state != attempt_state::pending &&
      a->state != attempt_state::timed_out)
    return {};
  if (sent == send_progress::complete) {
    a->state = attempt_state::unknown;
    return retry_or_finish(true);
  }
  // A server node runs nothing before it has received the complete request, so
  // it has not passed any allowance downstream either.
  a->state = attempt_state::not_run;
  allowance_.take_back(a->granted_allowance, a->granted_allowance);
  if (last_refusal_ == refusal::none) last_refusal_ = refusal::no_server;
  return retry_or_finish(true);
}

auto call_state::on_attempt_timeout(attempt_number number) -> call_actions {
  auto* a = find_attempt(number);
  if (ended_ || a == nullptr || a->state != attempt_state::pending) return {};
  a->state = attempt_state::timed_out;
  if (any_attempt_in(attempt_state::pending) || !may_retry()) return {};
  auto out = call_actions{};
  cancel_pending(out, 0);
  awaiting_server_ = true;
  out.push_back({call_action_kind::start_attempt});
  return out;
}

auto call_state::on_hedge_due() -> call_actions {
  if (!retry_safe_ || attempts_.size() != 1 || !may_retry()) return {};
  if (!any_attempt_in(attempt_state::pending)) return {};
  awaiting_server_ = true;
  return {call_action{call_action_kind::start_attempt}};
}

auto call_state::on_deadline_near() -> call_actions {
  if (ended_) return {};
  attempts_closed_ = true;
  awaiting_server_ = false;
  if (last_refusal_ == refusal::none) last_refusal_ = refusal::deadline;
  auto out = call_actions{};
  cancel_pending(out, 0);
  if (out.empty()) return finish_if_settled();
  return out;
}

auto call_state::on_deadline() -> call_actions {
  if (ended_) return {};
  if (failed_attempt_ != 0) {
    return finish(call_status::failed, refusal::deadline, failed_attempt_);
  }
  const auto may_run = any_attempt_in(attempt_state::pending) ||
                       any_attempt_in(attempt_state::timed_out) ||
                       any_attempt_in(attempt_state::unknown);
  return finish(may_run ? call_status::unknown : call_status::not_run,
                refusal::deadline, 0);
}

auto call_state::on_caller_gone() -> call_actions {
  if (ended_) return {};
  ended_ = true;
  awaiting_server_ = false;
  auto out = call_actions{};
  cancel_pending(out, 0);
  return out;
}

}  // namespace figwind
