#include "figwind/call_state.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace figwind {

namespace {

/// True for refusals after which another server may accept the request.
auto elsewhere(refusal reason) -> bool {
  return reason == refusal::overload || reason == refusal::draining ||
         reason == refusal::no_server;
}

}  // namespace

auto answer_checksum(const answer_head& head, std::string_view body)
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
      repeatable_{idempotent && context.key.value.empty()},
      allowance_{context.retry_allowance} {}

auto call_state::begin() -> call_actions {
  picking_ = true;
  return {call_action{call_action_kind::try_server}};
}

auto call_state::started(const node_id& server) -> started_attempt {
  if (!picking_) return {};
  picking_ = false;
  const auto handed =
      attempts_.empty() ? allowance_.start_first() : allowance_.start_extra();
  if (handed < 0) return {};
  attempts_.push_back({server, fate::waiting, handed, false});
  tried_.push_back(server);
  return {static_cast<attempt_number>(attempts_.size()), handed};
}

auto call_state::no_server(refusal reason) -> call_actions {
  if (!picking_) return {};
  picking_ = false;
  // What a server answered tells the caller more than that none is left.
  if (last_reason_ == refusal::none) last_reason_ = reason;
  return settle();
}

auto call_state::to_avoid() const -> std::vector<node_id> {
  auto out = std::vector<node_id>{};
  for (const auto& a : attempts_) {
    const auto ended = a.known == fate::lost || a.known == fate::failed;
    if (!ended) out.push_back(a.server);
  }
  return out;
}

auto call_state::find(attempt_number number) -> attempt* {
  if (number == 0 || number > attempts_.size()) return nullptr;
  return &attempts_[number - 1];
}

auto call_state::any(fate x) const -> bool {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [x](const attempt& a) { return a.known == x; });
}

auto call_state::may_try_again() const -> bool {
  if (closing_ || ended_ || picking_) return false;
  if (allowance_.remaining() == 0) return false;
  if (repeatable_) return true;
  return std::all_of(attempts_.begin(), attempts_.end(),
                     [](const attempt& a) { return a.known == fate::not_run; });
}

auto call_state::next(bool retryable) -> call_actions {
  if (ended_ || picking_ || any(fate::waiting)) return {};
  if (!retryable || !may_try_again()) return settle();
  picking_ = true;
  return {call_action{call_action_kind::try_server}};
}

auto call_state::settle() -> call_actions {
  if (ended_ || any(fate::waiting) || any(fate::overdue)) return {};
  if (failed_attempt_ != 0) {
    return finish(call_status::failed, refusal::none, failed_attempt_);
  }
  if (any(fate::lost)) return finish(call_status::unknown, refusal::none, 0);
  return finish(call_status::not_run, last_reason_, 0);
}

auto call_state::finish(call_status status, refusal reason,
                        attempt_number attempt) -> call_actions {
  ended_ = true;
  picking_ = false;
  auto out = call_actions{};
  out.push_back({call_action_kind::answer_caller, attempt, {}, status, reason});
  cancel_open(out, attempt);
  return out;
}

void call_state::cancel_open(call_actions& out, attempt_number except) {
  for (auto i = std::size_t{0}; i < attempts_.size(); ++i) {
    auto& a = attempts_[i];
    const auto number = static_cast<attempt_number>(i + 1);
    const auto open = a.known == fate::waiting || a.known == fate::overdue;
    if (!open || a.cancelled || number == except) continue;
    a.cancelled = true;
    out.push_back({call_action_kind::cancel_attempt, number, a.server});
  }
}

auto call_state::answer(const answer_head& head, std::string_view body)
    -> answer_result {
  auto* a = find(head.attempt);
  if (head.id != id_ || a == nullptr) return {answer_fit::foreign, {}};
  const auto open = a->known == fate::waiting || a->known == fate::overdue;
  if (ended_ || !open) return {answer_fit::late, {}};
  if (head.length != body.size() ||
      head.checksum != answer_checksum(head, body)) {
    return {answer_fit::damaged, broken(head.attempt, sent_part::whole)};
  }
  allowance_.answered(a->handed, head.returned_allowance);
  switch (head.status) {
    case call_status::complete:
      return {answer_fit::fits,
              finish(call_status::complete, refusal::none, head.attempt)};
    case call_status::not_run:
      a->known = fate::not_run;
      last_reason_ = head.reason;
      return {answer_fit::fits, next(elsewhere(head.reason))};
    case call_status::failed:
      a->known = fate::failed;
      failed_attempt_ = head.attempt;
      return {answer_fit::fits, next(true)};
    case call_status::unknown:
      break;
  }
  a->known = fate::lost;
  return {answer_fit::fits, next(true)};
}

auto call_state::broken(attempt_number number, sent_part sent) -> call_actions {
  auto* a = find(number);
  if (ended_ || a == nullptr) return {};
  if (a->known != fate::waiting && a->known != fate::overdue) return {};
  if (sent == sent_part::whole) {
    a->known = fate::lost;
    return next(true);
  }
  // A server node runs nothing before it holds the whole request, so neither
  // did it hand anything further down.
  a->known = fate::not_run;
  allowance_.answered(a->handed, a->handed);
  if (last_reason_ == refusal::none) last_reason_ = refusal::no_server;
  return next(true);
}

auto call_state::timed_out(attempt_number number) -> call_actions {
  auto* a = find(number);
  if (ended_ || a == nullptr || a->known != fate::waiting) return {};
  a->known = fate::overdue;
  if (any(fate::waiting) || !may_try_again()) return {};
  auto out = call_actions{};
  cancel_open(out, 0);
  picking_ = true;
  out.push_back({call_action_kind::try_server});
  return out;
}

auto call_state::hedge() -> call_actions {
  if (!repeatable_ || attempts_.size() != 1 || !may_try_again()) return {};
  if (!any(fate::waiting)) return {};
  picking_ = true;
  return {call_action{call_action_kind::try_server}};
}

auto call_state::deadline_near() -> call_actions {
  if (ended_) return {};
  closing_ = true;
  picking_ = false;
  if (last_reason_ == refusal::none) last_reason_ = refusal::deadline;
  auto out = call_actions{};
  cancel_open(out, 0);
  if (out.empty()) return settle();
  return out;
}

auto call_state::deadline() -> call_actions {
  if (ended_) return {};
  if (failed_attempt_ != 0) {
    return finish(call_status::failed, refusal::deadline, failed_attempt_);
  }
  const auto may_run =
      any(fate::waiting) || any(fate::overdue) || any(fate::lost);
  return finish(may_run ? call_status::unknown : call_status::not_run,
                refusal::deadline, 0);
}

auto call_state::caller_gone() -> call_actions {
  if (ended_) return {};
  ended_ = true;
  picking_ = false;
  auto out = call_actions{};
  cancel_open(out, 0);
  return out;
}

}  // namespace figwind
