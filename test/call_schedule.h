// A seeded random schedule of two calls over faulty connections, with counts of
// everything that must not happen.

#pragma once

#include <string>
#include <vector>

#include "figwind/call_state.h"
#include "figwind/random.h"

namespace figwind::test {

/// Totals over schedules; all but the last two must stay 0.
struct schedule_faults {
  int double_runs = 0;
  int wrong_bodies = 0;
  int false_not_run = 0;
  int answered_twice = 0;
  int never_answered = 0;
  int over_bound = 0;
  int calls = 0;
  int complete = 0;
};

/// Each server runs, refuses, crashes or cancels; each connection breaks,
/// loses, doubles, swaps, cuts or delays.
class call_schedule {
 public:
  call_schedule(std::uint64_t seed, schedule_faults& faults)
      : random_{seed}, faults_{faults} {
    for (auto i = 0; i < 2; ++i) {
      auto context = call_context{};
      context.id = {random_.bits(), random_.bits()};
      context.retry_allowance = chain_retry_bound;
      keyed_[i] = random_.chance(0.5);
      if (keyed_[i]) context.key.value = "a.1." + std::to_string(i);
      ids_[i] = context.id;
      calls_.emplace_back(context, !keyed_[i]);
      carry_out(i, calls_[i].begin());
    }
  }

  void run() {
    for (auto i = 0; i < 200; ++i) step();
    for (auto i = 0; i < 2; ++i) carry_out(i, calls_[i].deadline());
    // Whatever still travels or runs comes to its end after the outcome.
    for (auto i = 0; i < 200; ++i) move_one();
    for (auto i = 0; i < 2; ++i) check(i);
  }

 private:
  enum class where { sending, queued, running, answering, over };
  struct flight {
    int call = 0;
    started_attempt started;
    where at = where::sending;
    bool broken = false;
    bool cancelled = false;
    answer_head head;
  };

  auto body(int call) const -> std::string {
    return "body of " + std::to_string(ids_[call].low);
  }

  void step() {
    if (random_.chance(0.9)) return move_one();
    const auto i = static_cast<int>(random_.index(2));
    auto& call = calls_[i];
    const auto number = static_cast<attempt_number>(1 + random_.index(4));
    const auto dice = random_.unit();
    if (dice < 0.45) return carry_out(i, call.timed_out(number));
    if (dice < 0.85) return carry_out(i, call.hedge());
    if (dice < 0.92) return carry_out(i, call.deadline_near());
    if (dice < 0.97) return carry_out(i, call.deadline());
    gone_[i] = true;
    carry_out(i, call.caller_gone());
  }

  void carry_out(int i, const call_actions& actions) {
    for (const auto& action : actions) {
      if (action.kind == call_action_kind::try_server) pick(i);
      if (action.kind == call_action_kind::cancel_attempt) {
        for (auto& f : flights_) {
          if (f.call == i && f.started.number == action.attempt)
            f.cancelled = true;
        }
      }
      if (action.kind == call_action_kind::answer_caller) {
        ++answers_[i];
        outcome_[i] = action.status;
      }
    }
  }

  void pick(int i) {
    if (random_.chance(0.1)) {
      return carry_out(i, calls_[i].no_server(refusal::no_server));
    }
    const auto server = node_id{{std::to_string(random_.index(6))}, {1}};
    const auto started = calls_[i].started(server);
    if (started.number != 0) flights_.push_back({i, started, {}, {}, {}, {}});
  }

  void move_one() {
    if (flights_.empty()) return;
    const auto at = random_.index(flights_.size());
    switch (flights_[at].at) {
      case where::sending:
        return send(at);
      case where::queued:
        return leave_queue(flights_[at]);
      case where::running:
        return end_run(flights_[at]);
      case where::answering:
        return deliver(at);
      case where::over:
        return;
    }
  }

  void send(std::size_t at) {
    auto& f = flights_[at];
    const auto dice = random_.unit();
    const auto number = f.started.number;
    const auto call = f.call;
    f.at = dice < 0.15 ? where::over : where::queued;
    f.broken = dice < 0.25;
    if (dice < 0.15) {
      carry_out(call, calls_[call].broken(number, sent_part::not_whole));
    } else if (dice < 0.25) {
      carry_out(call, calls_[call].broken(number, sent_part::whole));
    }
  }

  void leave_queue(flight& f) {
    if (f.cancelled || random_.chance(0.25)) {
      const auto reason = random_.chance(0.8) ? refusal::overload
                                              : refusal::recorders_unreachable;
      return write(f, call_status::not_run, reason, f.started.retry_allowance);
    }
    ++runs_[f.call];
    f.at = where::running;
  }

  void end_run(flight& f) {
    const auto dice = random_.unit();
    const auto spent = random_.index(f.started.retry_allowance + 1);
    const auto left = f.started.retry_allowance - static_cast<int>(spent);
    extra_[f.call] += static_cast<int>(spent);
    if (dice < 0.6) return write(f, call_status::complete, {}, left);
    if (dice < 0.8) return write(f, call_status::failed, {}, left);
    write(f, call_status::unknown, {}, left);
  }

  void write(flight& f, call_status status, refusal reason, int left) {
    f.at = where::answering;
    f.head = {ids_[f.call], f.started.number, status, reason, left, 0, 0};
    f.head.length = body(f.call).size();
    f.head.checksum = answer_checksum(f.head, body(f.call));
  }

  void deliver(std::size_t at) {
    const auto f = flights_[at];
    if (f.broken) {
      flights_[at].at = where::over;
      return;
    }
    const auto dice = random_.unit();
    if (dice < 0.2) return;  // Delayed.
    if (dice < 0.25) return hand_over(1 - f.call, f.head, body(f.call));
    if (dice < 0.3) {
      auto other = f.head;
      other.id = ids_[1 - f.call];
      return hand_over(1 - f.call, other, body(f.call));
    }
    flights_[at].at = where::over;
    if (dice < 0.4) {
      return carry_out(
          f.call, calls_[f.call].broken(f.started.number, sent_part::whole));
    }
    const auto cut = dice < 0.5 ? 3U : 0U;
    const auto whole = body(f.call);
    hand_over(f.call, f.head, whole.substr(0, whole.size() - cut));
    if (dice > 0.8) hand_over(f.call, f.head, whole);
  }

  void hand_over(int i, const answer_head& head, const std::string& text) {
    const auto before = answers_[i];
    const auto result = calls_[i].answer(head, text);
    carry_out(i, result.actions);
    const auto passed_on =
        answers_[i] > before && outcome_[i] == call_status::complete;
    if (passed_on && text != body(i)) ++faults_.wrong_bodies;
  }

  void check(int i) {
    auto attempts = 0;
    for (const auto& f : flights_) attempts += f.call == i ? 1 : 0;
    ++faults_.calls;
    if (attempts - 1 + extra_[i] > chain_retry_bound) ++faults_.over_bound;
    if (keyed_[i] && runs_[i] > 1) ++faults_.double_runs;
    if (answers_[i] > 1 || (gone_[i] && answers_[i] > 1))
      ++faults_.answered_twice;
    if (answers_[i] == 0 && !gone_[i]) ++faults_.never_answered;
    if (answers_[i] == 0) return;
    if (outcome_[i] == call_status::complete) ++faults_.complete;
    if (outcome_[i] == call_status::not_run && runs_[i] > 0)
      ++faults_.false_not_run;
  }

  random_source random_;
  schedule_faults& faults_;
  std::vector<call_state> calls_;
  std::vector<flight> flights_;
  request_id ids_[2];
  bool keyed_[2] = {};
  bool gone_[2] = {};
  int runs_[2] = {};
  int extra_[2] = {};
  int answers_[2] = {};
  call_status outcome_[2] = {};
};

}  // namespace figwind::test
