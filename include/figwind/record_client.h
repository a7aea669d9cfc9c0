// At-most-once execution at the server node: requests votes from the recorders
// of a key before its request runs.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "figwind/key_recorder.h"
#include "figwind/outgoing.h"
#include "figwind/record_messages.h"
#include "figwind/units.h"

namespace figwind {

/// Verdict of the recorders on one attempt.
enum class record_verdict : std::uint8_t {
  /// This attempt may run, and must end with `finish` or `abandon`.
  may_run,
  /// Another attempt holds the key; it may have run or may still run.
  elsewhere,
  /// The key is done with the recorded outcome.
  done,
  /// The recorders refuse the key; this attempt does not run.
  refused,
  /// No majority replied in time; this attempt does not run.
  unreachable,
};

/// The decision on one attempt.
struct record_decision {
  attempt_id attempt;
  request_key key;
  record_verdict verdict = record_verdict::unreachable;
  /// Outcome for the entry node unless the verdict is `may_run`: the recorded
  /// outcome, `not_run` if no attempt of this key has run or can still run, and
  /// `unknown` otherwise.
  key_outcome outcome;
  refusal reason = refusal::none;
};

/// Intervals and timeouts of the client.
struct record_client_options {
  recorder_options recorders;
  /// Time after which an unanswered request is resent.
  duration resend_interval = milliseconds(150);
  /// Maximum time until a decision.
  duration decision_timeout = seconds(1);
  /// How long outcomes and releases are resent to recorders that have not
  /// confirmed them.
  duration confirmation_timeout = seconds(10);
};

/// Messages and decisions that result from a call.
struct record_output {
  std::vector<outgoing<record_request>> requests;
  std::vector<record_decision> decisions;
};

/// The client of one incarnation of a server node.
class record_client {
 public:
  record_client(node_id self, std::uint32_t groups_per_domain,
                record_client_options options);

  /// Sets a group record of the replicated configuration.
  void set_group(const recorder_group& group);

  /// Begins an attempt for `key`. `earlier_unresolved` is false only if every
  /// earlier sending of this key was answered with `not_run`, or there was
  /// none.
  auto begin(const request_key& key, bool earlier_unresolved, time_point now,
             time_point unix_now, attempt_id& attempt) -> record_output;

  auto on_reply(const record_reply& reply, time_point now) -> record_output;

  /// Resends unanswered requests and decides attempts that timed out. Call it
  /// about 20 times a second.
  auto on_tick(time_point now) -> record_output;

  /// Records the outcome of an attempt that has run. `crashed` is true if the
  /// backend server crashed on it. Pass the response to the caller only after
  /// this call; there is no need to wait for the recorders.
  auto finish(const attempt_id& attempt, key_outcome outcome, bool crashed,
              time_point now) -> record_output;

  /// Releases an attempt with the verdict `may_run` that certainly has not run
  /// and will not. Returns the status to report: `not_run`, or `unknown` if an
  /// earlier sending is unresolved.
  auto abandon(const attempt_id& attempt, bool crashed, time_point now,
               record_output& output) -> call_status;

  /// Number of attempts that are not yet decided, finished or confirmed.
  [[nodiscard]] auto size() const -> std::size_t { return attempts_.size(); }

 private:
  struct peer {
    node_id recorder;
    bool answered = false;
    record_answer answer = record_answer::granted;
    key_outcome outcome;
  };
  struct attempt_state {
    attempt_id id;
    request_key key;
    failure_domain domain;
    std::uint32_t group = 0;
    std::uint64_t epoch = 0;
    record_step step = record_step::begin;
    bool earlier_unresolved = true;
    bool has_majority = false;
    bool crashed = false;
    key_outcome outcome;
    /// Recorders of the present epoch; in `release` also those of earlier
    /// epochs.
    std::vector<peer> peers;
    std::vector<node_id> former_recorders;
    time_point started;
    time_point deadline;
    time_point next_send;
    duration resend_interval;
  };
  using group_id = std::pair<failure_domain, std::uint32_t>;

  auto refuse(const request_key& key, const attempt_id& attempt, refusal reason,
              bool earlier_unresolved) const -> record_output;
  static void enter_epoch(attempt_state& x, const recorder_group& group);
  static void add_former_recorders(attempt_state& x);
  void start_step(attempt_state& x, record_step step, time_point now,
                  record_output& output);
  void send(attempt_state& x, time_point now, record_output& output) const;
  /// Returns true if the attempt is over and can be removed.
  auto advance(attempt_state& x, time_point now, record_output& output) -> bool;
  auto decide(attempt_state& x, time_point now, record_output& output) -> bool;
  void reject(attempt_state& x, record_verdict verdict, refusal reason,
              time_point now, record_output& output);

  node_id self_;
  std::uint32_t groups_per_domain_;
  record_client_options options_;
  std::uint64_t last_number_ = 0;
  std::map<group_id, recorder_group> groups_;
  std::map<std::uint64_t, attempt_state> attempts_;
};

}  // namespace figwind
