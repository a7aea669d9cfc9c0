// State machine of one call at its entry node, from the first attempt to the
// single outcome that the caller receives.
//
// The owner reports events and executes the returned actions in order. After
// `start_attempt` it chooses a server outside `attempted_servers()` or, if
// there is none, outside `excluded_servers()`, and calls `on_attempt_started`.
// It calls `on_no_server` instead if no server is available or the retry
// throttle of the service is exhausted.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "figwind/call.h"
#include "figwind/ids.h"
#include "figwind/retry.h"

namespace figwind {

/// Number of an attempt within its call, from 1.
using attempt_number = std::uint32_t;

/// Metadata that a server node returns with the body of an answer.
struct answer_header {
  request_id id;
  attempt_number attempt = 0;
  call_status status = call_status::unknown;
  refusal reason = refusal::none;
  /// Unspent part of the retry allowance granted to the attempt.
  int returned_allowance = 0;
  /// Length of the complete body in bytes.
  std::uint64_t length = 0;
  /// `answer_checksum` of this header and the body.
  std::uint64_t checksum = 0;

  friend auto operator==(const answer_header&, const answer_header&)
      -> bool = default;
};

/// XXH3 of the body, seeded with all other members of `head`, so that a body
/// under the header of another request is detected. Ignores `head.checksum`.
auto answer_checksum(const answer_header& head, std::string_view body)
    -> std::uint64_t;

/// Result of matching an answer against the call that it was delivered to.
enum class answer_validity : std::uint8_t {
  /// Complete, and belongs to an attempt that waits for it.
  valid,
  /// Belongs to another request or to an unknown attempt.
  unrelated,
  /// The attempt or the call has already ended.
  late,
  /// Truncated or altered.
  corrupt,
};

/// How much of an attempt's request was sent before its connection broke.
enum class send_progress : std::uint8_t { partial, complete };

enum class call_action_kind : std::uint8_t {
  /// Choose a server and report `on_attempt_started` or `on_no_server`.
  start_attempt,
  /// Tell the server of `attempt` that its answer is no longer needed.
  cancel_attempt,
  /// Answer the caller with `status` and `reason`; for `complete` and `failed`
  /// with the body of the answer of `attempt`.
  answer_caller,
};

struct call_action {
  call_action_kind kind = call_action_kind::start_attempt;
  attempt_number attempt = 0;
  /// Server of `attempt`, for `cancel_attempt`.
  node_id server{};
  call_status status = call_status::unknown;
  refusal reason = refusal::none;

  friend auto operator==(const call_action&, const call_action&)
      -> bool = default;
};

using call_actions = std::vector<call_action>;

/// Result of `on_attempt_started`: the number of the attempt and the retry
/// allowance that its context carries downstream.
struct started_attempt {
  attempt_number number = 0;
  int retry_allowance = 0;
};

/// Result of `on_answer`.
struct answer_result {
  answer_validity validity = answer_validity::unrelated;
  call_actions actions;
};

class call_state {
 public:
  /// A call with the id, key and allowance of `context`. After an attempt that
  /// may have run, a request is retried only if it has no key and its class is
  /// `idempotent`.
  call_state(const call_context& context, bool idempotent);

  /// Returns the first action; to be called once.
  auto begin() -> call_actions;

  /// An attempt is being sent to `server`. Valid only after `start_attempt`;
  /// number 0 means that the call has ended meanwhile and nothing may be sent.
  auto on_attempt_started(const node_id& server) -> started_attempt;

  /// No server could be chosen after `start_attempt`.
  auto on_no_server(refusal reason) -> call_actions;

  /// An answer was received. Its body is passed to the caller only if an
  /// `answer_caller` action for its attempt follows.
  auto on_answer(const answer_header& head, std::string_view body)
      -> answer_result;

  /// The connection of an attempt broke, went silent, or carried something
  /// other than an answer.
  auto on_connection_lost(attempt_number attempt, send_progress sent)
      -> call_actions;

  /// An attempt exceeded its timeout. It may still run, and its answer is
  /// accepted while the caller waits.
  auto on_attempt_timeout(attempt_number attempt) -> call_actions;

  /// An attempt is slower than usual. Starts a second one if the request is
  /// idempotent and the allowance permits.
  auto on_hedge_due() -> call_actions;

  /// The deadline is near. Cancels pending attempts, so that server nodes can
  /// still answer "not run", and starts no further ones.
  auto on_deadline_near() -> call_actions;

  /// The deadline has passed and the caller stops waiting.
  auto on_deadline() -> call_actions;

  /// The caller has disconnected. Cancels all attempts; nobody is answered.
  auto on_caller_gone() -> call_actions;

  /// True after `answer_caller` or `on_caller_gone`.
  auto ended() const -> bool { return ended_; }

  /// Servers that were attempted.
  auto attempted_servers() const -> const std::vector<node_id>& {
    return attempted_servers_;
  }

  /// Attempted servers that must not be attempted again: they refused, or an
  /// attempt there is still pending. A server whose connection broke may be
  /// attempted again over a new connection if no other one is left.
  auto excluded_servers() const -> std::vector<node_id>;

  /// Unspent allowance, to be returned upstream once the call has ended.
  auto unspent_allowance() const -> int { return allowance_.remaining(); }

 private:
  /// State of an attempt as far as the entry node can tell.
  enum class attempt_state : std::uint8_t {
    pending,
    timed_out,
    unknown,
    failed,
    not_run
  };

  struct attempt {
    node_id server;
    attempt_state state = attempt_state::pending;
    int granted_allowance = 0;
    bool cancelled = false;
  };

  auto find_attempt(attempt_number number) -> attempt*;
  auto any_attempt_in(attempt_state x) const -> bool;
  auto may_retry() const -> bool;
  auto retry_or_finish(bool retryable) -> call_actions;
  auto finish_if_settled() -> call_actions;
  auto finish(call_status status, refusal reason, attempt_number attempt)
      -> call_actions;
  void cancel_pending(call_actions& out, attempt_number except);

  request_id id_;
  bool retry_safe_;
  call_allowance allowance_;
  std::vector<attempt> attempts_;
  std::vector<node_id> attempted_servers_;
  bool awaiting_server_ = false;
  bool attempts_closed_ = false;
  bool ended_ = false;
  refusal last_refusal_ = refusal::none;
  attempt_number failed_attempt_ = 0;
};

}  // namespace figwind
