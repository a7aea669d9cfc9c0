#include "figwind/record_client.h"

#include <algorithm>
#include <utility>

namespace figwind {

namespace {

/// Unanswered outcomes and releases are resent at growing intervals, so that a
/// recorder that is gone costs few messages.
constexpr double resend_backoff_factor = 2;

template <class Peers>
auto count(const Peers& peers, record_answer answer) -> std::size_t {
  const auto matches = [&](const auto& x) {
    return x.answered && x.answer == answer;
  };
  return static_cast<std::size_t>(
      std::count_if(peers.begin(), peers.end(), matches));
}

template <class Peers>
auto majority(const Peers& peers) -> std::size_t {
  return peers.size() / 2 + 1;
}

/// True for replies that may change while the attempt is undecided.
auto is_transient(record_answer x) -> bool {
  return x == record_answer::wrong_epoch;
}

auto reason_of(record_answer x) -> refusal {
  switch (x) {
    case record_answer::expired:
      return refusal::expired_key;
    case record_answer::crashes:
      return refusal::repeated_crash;
    case record_answer::full:
      return refusal::overload;
    case record_answer::elsewhere:
    case record_answer::done:
      return refusal::duplicate;
    case record_answer::bad_key:
      return refusal::bad_key;
    case record_answer::granted:
    case record_answer::wrong_epoch:
      break;
  }
  return refusal::recorders_unreachable;
}

}  // namespace

record_client::record_client(node_id self, std::uint32_t groups_per_domain,
                             record_client_options options)
    : self_{std::move(self)},
      groups_per_domain_{groups_per_domain},
      options_{options} {}

void record_client::set_group(const recorder_group& group) {
  auto& current = groups_[{group.domain, group.index}];
  if (group.version <= current.version && current.epoch != 0) return;
  const auto new_epoch = group.epoch != current.epoch;
  current = group;
  if (!new_epoch) return;
  for (auto& [number, x] : attempts_) {
    if (x.domain != group.domain || x.group != group.index) continue;
    const auto may_be_running = x.step == record_step::begin && x.has_majority;
    if (!may_be_running) enter_epoch(x, group);
  }
}

auto record_client::refuse(const request_key& key, const attempt_id& attempt,
                           refusal reason, bool earlier_unresolved) const
    -> record_output {
  auto decision = record_decision{};
  decision.attempt = attempt;
  decision.key = key;
  decision.verdict = reason == refusal::recorders_unreachable
                         ? record_verdict::unreachable
                         : record_verdict::refused;
  decision.reason = reason;
  decision.outcome.status =
      earlier_unresolved ? call_status::unknown : call_status::not_run;
  return {{}, {decision}};
}

auto record_client::begin(const request_key& key, bool earlier_unresolved,
                          time_point now, time_point unix_now,
                          attempt_id& attempt) -> record_output {
  attempt = {self_, ++last_number_};
  const auto& limits = options_.recorders.keys;
  const auto state = check_key(key, unix_now, limits);
  if (state == key_validity::expired) {
    return refuse(key, attempt, refusal::expired_key, earlier_unresolved);
  }
  if (state != key_validity::valid) {
    return refuse(key, attempt, refusal::bad_key, earlier_unresolved);
  }
  auto x = attempt_state{};
  x.id = attempt;
  x.key = key;
  x.domain = parse_key(key, limits)->domain;
  x.group = group_index_of(key, groups_per_domain_);
  x.earlier_unresolved = earlier_unresolved;
  const auto group = groups_.find({x.domain, x.group});
  if (group == groups_.end()) {
    return refuse(key, attempt, refusal::recorders_unreachable,
                  earlier_unresolved);
  }
  auto out = record_output{};
  enter_epoch(x, group->second);
  x.started = now;
  start_step(x, record_step::begin, now, out);
  attempts_.emplace(attempt.number, std::move(x));
  return out;
}

void record_client::enter_epoch(attempt_state& x, const recorder_group& group) {
  for (const auto& old : x.peers) {
    const auto& all = group.recorders;
    const auto stays =
        std::find(all.begin(), all.end(), old.recorder) != all.end();
    if (!stays) x.former_recorders.push_back(old.recorder);
  }
  x.epoch = group.epoch;
  x.peers.clear();
  for (const auto& recorder : group.recorders) {
    x.peers.push_back({recorder, false, {}, {}});
  }
  if (x.step == record_step::release) add_former_recorders(x);
  x.next_send = {};
}

void record_client::add_former_recorders(attempt_state& x) {
  for (const auto& old : x.former_recorders)
    x.peers.push_back({old, false, {}, {}});
  x.former_recorders.clear();
}

void record_client::start_step(attempt_state& x, record_step step,
                               time_point now, record_output& output) {
  x.step = step;
  const auto is_begin = step == record_step::begin;
  x.deadline = now + (is_begin ? options_.decision_timeout
                               : options_.confirmation_timeout);
  x.resend_interval = options_.resend_interval;
  if (step == record_step::release) add_former_recorders(x);
  for (auto& peer : x.peers) peer.answered = false;
  send(x, now, output);
}

void record_client::send(attempt_state& x, time_point now,
                         record_output& output) const {
  x.next_send = now + x.resend_interval;
  if (x.step != record_step::begin)
    x.resend_interval = x.resend_interval * resend_backoff_factor;
  for (auto& peer : x.peers) {
    // An earlier sending was answered with `not_run`; its release may arrive
    // late.
    const auto must_resend =
        peer.answered &&
        (is_transient(peer.answer) ||
         (peer.answer == record_answer::elsewhere &&
          x.step == record_step::begin && !x.earlier_unresolved));
    if (peer.answered && !must_resend) continue;
    auto request = record_request{};
    request.step = x.step;
    request.group = x.group;
    request.epoch = x.epoch;
    request.recorder = peer.recorder;
    request.attempt = x.id;
    request.key = x.key;
    if (x.step == record_step::finish) request.outcome = x.outcome;
    request.crashed = x.crashed;
    output.requests.push_back({peer.recorder.address, std::move(request)});
  }
}

auto record_client::on_reply(const record_reply& reply, time_point now)
    -> record_output {
  auto out = record_output{};
  if (reply.attempt.node != self_) return out;
  const auto found = attempts_.find(reply.attempt.number);
  if (found == attempts_.end()) return out;
  auto& x = found->second;
  if (reply.step != x.step) return out;
  // A vote counts only in the epoch in which it was given.
  if (reply.answer == record_answer::granted && x.step == record_step::begin &&
      reply.epoch != x.epoch) {
    return out;
  }
  for (auto& peer : x.peers) {
    if (peer.recorder != reply.recorder) continue;
    if (peer.answered && peer.answer == record_answer::granted) continue;
    peer.answered = true;
    peer.answer = reply.answer;
    peer.outcome = reply.outcome;
  }
  if (advance(x, now, out)) attempts_.erase(found);
  return out;
}

auto record_client::on_tick(time_point now) -> record_output {
  auto out = record_output{};
  for (auto i = attempts_.begin(); i != attempts_.end();) {
    auto& x = i->second;
    const auto over = advance(x, now, out);
    const auto may_be_running = x.step == record_step::begin && x.has_majority;
    if (!over && !may_be_running && now >= x.next_send) send(x, now, out);
    i = over ? attempts_.erase(i) : std::next(i);
  }
  return out;
}

auto record_client::advance(attempt_state& x, time_point now,
                            record_output& output) -> bool {
  if (x.step == record_step::begin) {
    return !x.has_majority && decide(x, now, output);
  }
  const auto& peers = x.peers;
  const auto all_confirmed = std::all_of(
      peers.begin(), peers.end(),
      [](const peer& p) { return p.answered && !is_transient(p.answer); });
  return all_confirmed || now >= x.deadline;
}

auto record_client::decide(attempt_state& x, time_point now,
                           record_output& output) -> bool {
  for (const auto& peer : x.peers) {
    if (!peer.answered || peer.answer != record_answer::done) continue;
    output.decisions.push_back(
        {x.id, x.key, record_verdict::done, peer.outcome, refusal::duplicate});
    return true;
  }
  const auto granted = count(x.peers, record_answer::granted);
  if (granted >= majority(x.peers)) {
    x.has_majority = true;
    output.decisions.push_back(
        {x.id, x.key, record_verdict::may_run, {}, refusal::none});
    return false;
  }
  const auto crashes = count(x.peers, record_answer::crashes);
  const auto elsewhere = count(x.peers, record_answer::elsewhere);
  const auto refused = count(x.peers, record_answer::expired) +
                       count(x.peers, record_answer::bad_key) +
                       count(x.peers, record_answer::full) + crashes;
  const auto timed_out = now >= x.deadline;
  const auto reply_count = granted + elsewhere + refused;
  const auto majority_impossible =
      x.peers.size() - elsewhere - refused < majority(x.peers);
  // A recorder that has not replied yet may have the outcome.
  const auto settled = reply_count == x.peers.size() ||
                       now - x.started >= options_.resend_interval * 2;
  const auto release_expected = elsewhere > 0 && !x.earlier_unresolved;
  if (!timed_out && (!majority_impossible || !settled || release_expected))
    return false;
  if (crashes > 0) {
    reject(x, record_verdict::refused, refusal::repeated_crash, now, output);
  } else if (elsewhere > 0) {
    reject(x, record_verdict::elsewhere, refusal::duplicate, now, output);
  } else if (majority_impossible) {
    auto reason = refusal::overload;
    for (const auto& peer : x.peers) {
      if (peer.answered && peer.answer != record_answer::granted) {
        reason = reason_of(peer.answer);
      }
    }
    reject(x, record_verdict::refused, reason, now, output);
  } else {
    reject(x, record_verdict::unreachable, refusal::recorders_unreachable, now,
           output);
  }
  return false;
}

void record_client::reject(attempt_state& x, record_verdict verdict,
                           refusal reason, time_point now,
                           record_output& output) {
  const auto other_attempt =
      verdict == record_verdict::elsewhere || reason == refusal::repeated_crash;
  auto decision = record_decision{x.id, x.key, verdict, {}, reason};
  decision.outcome.status = x.earlier_unresolved || other_attempt
                                ? call_status::unknown
                                : call_status::not_run;
  output.decisions.push_back(std::move(decision));
  start_step(x, record_step::release, now, output);
}

auto record_client::finish(const attempt_id& attempt, key_outcome outcome,
                           bool crashed, time_point now) -> record_output {
  auto out = record_output{};
  const auto found = attempts_.find(attempt.number);
  if (attempt.node != self_ || found == attempts_.end()) return out;
  auto& x = found->second;
  if (!x.has_majority || x.step != record_step::begin) return out;
  x.outcome = std::move(outcome);
  if (x.outcome.answer.size() > options_.recorders.max_answer_bytes) {
    x.outcome.answer.clear();
    x.outcome.has_answer = false;
  }
  x.crashed = crashed;
  enter_epoch(x, groups_.at({x.domain, x.group}));
  start_step(x, record_step::finish, now, out);
  return out;
}

auto record_client::abandon(const attempt_id& attempt, bool crashed,
                            time_point now, record_output& output)
    -> call_status {
  const auto found = attempts_.find(attempt.number);
  if (attempt.node != self_ || found == attempts_.end()) {
    return call_status::unknown;
  }
  auto& x = found->second;
  if (!x.has_majority || x.step != record_step::begin)
    return call_status::unknown;
  x.crashed = crashed;
  enter_epoch(x, groups_.at({x.domain, x.group}));
  start_step(x, record_step::release, now, output);
  return x.earlier_unresolved ? call_status::unknown : call_status::not_run;
}

}  // namespace figwind
