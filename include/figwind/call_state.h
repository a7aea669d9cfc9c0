// The life of one call at its entry node, from the first attempt to the one
// outcome that its caller gets.
//
// The owner feeds events in and carries out the returned actions in order.
// After `try_server` it picks a server (none of `tried()`) and calls `started`,
// or `no_server` when there is none or the retry share of the service is spent.

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

/// What a server node sends back for one attempt, next to the body.
struct answer_head {
  request_id id;
  attempt_number attempt = 0;
  call_status status = call_status::unknown;
  refusal reason = refusal::none;
  /// Part of the handed-down retry allowance that was not spent.
  int returned_allowance = 0;
  /// Length of the whole body in bytes.
  std::uint64_t length = 0;
  /// `answer_checksum` of this head and the body.
  std::uint64_t checksum = 0;

  friend auto operator==(const answer_head&, const answer_head&)
      -> bool = default;
};

/// XXH3 over the body, seeded with all other members of `head`, so that a body
/// under the head of another request does not fit. `head.checksum` is ignored.
auto answer_checksum(const answer_head& head, std::string_view body)
    -> std::uint64_t;

/// How an answer fits the call that it was delivered to.
enum class answer_fit : std::uint8_t {
  /// Belongs to an attempt that waits for it and is whole.
  fits,
  /// Belongs to another request or to an unknown attempt.
  foreign,
  /// Its attempt or its call has already ended.
  late,
  /// Cut short or altered.
  damaged,
};

/// How much of an attempt's request had left when its connection broke.
enum class sent_part : std::uint8_t { not_whole, whole };

enum class call_action_kind : std::uint8_t {
  /// Pick a server and report `started` or `no_server`.
  try_server,
  /// Tell the server of `attempt` that nobody waits for it.
  cancel_attempt,
  /// Answer the caller with `status` and `reason`; for `complete` and `failed`
  /// with the body of the answer of `attempt`.
  answer_caller,
};

struct call_action {
  call_action_kind kind = call_action_kind::try_server;
  attempt_number attempt = 0;
  /// Server of `attempt`, for `cancel_attempt`.
  node_id server{};
  call_status status = call_status::unknown;
  refusal reason = refusal::none;

  friend auto operator==(const call_action&, const call_action&)
      -> bool = default;
};

using call_actions = std::vector<call_action>;

/// What `started` returns: the attempt's number and the allowance that its
/// context carries downstream.
struct started_attempt {
  attempt_number number = 0;
  int retry_allowance = 0;
};

/// What `answer` returns.
struct answer_result {
  answer_fit fit = answer_fit::foreign;
  call_actions actions;
};

class call_state {
 public:
  /// A call with the id, key and allowance of `context`. A request with a key
  /// is not attempted again after an attempt that may have run; neither is one
  /// whose class is not `idempotent`.
  call_state(const call_context& context, bool idempotent);

  /// The first action; call it once.
  auto begin() -> call_actions;

  /// An attempt is on its way to `server`. Only after `try_server`; number 0
  /// means that the call has ended meanwhile and nothing may be sent.
  auto started(const node_id& server) -> started_attempt;

  /// No server could be picked after `try_server`.
  auto no_server(refusal reason) -> call_actions;

  /// An answer was received. Its body reaches the caller only when an
  /// `answer_caller` action with its attempt follows.
  auto answer(const answer_head& head, std::string_view body) -> answer_result;

  /// The connection of an attempt broke, was found silent, or carried
  /// something that is not an answer.
  auto broken(attempt_number attempt, sent_part sent) -> call_actions;

  /// An attempt took longer than its time-out; it may still run, and its answer
  /// is still accepted while the caller waits.
  auto timed_out(attempt_number attempt) -> call_actions;

  /// An attempt is slower than usual: starts a second one if it is idempotent
  /// and the allowance permits.
  auto hedge() -> call_actions;

  /// Shortly before the deadline: cancels what waits, so that server nodes can
  /// still answer "not run", and starts nothing more.
  auto deadline_near() -> call_actions;

  /// The caller stops waiting.
  auto deadline() -> call_actions;

  /// The caller has gone: cancels everything and answers nobody.
  auto caller_gone() -> call_actions;

  /// True after `answer_caller` or `caller_gone`.
  auto ended() const -> bool { return ended_; }

  /// Servers that were attempted.
  auto tried() const -> const std::vector<node_id>& { return tried_; }

  /// Unspent allowance, to be returned upstream once the call has ended.
  auto unspent_allowance() const -> int { return allowance_.remaining(); }

 private:
  /// What is known of an attempt.
  enum class fate : std::uint8_t { waiting, overdue, lost, failed, not_run };

  struct attempt {
    node_id server;
    fate known = fate::waiting;
    int handed = 0;
    bool cancelled = false;
  };

  auto find(attempt_number number) -> attempt*;
  auto any(fate x) const -> bool;
  auto may_try_again() const -> bool;
  auto next(bool retryable) -> call_actions;
  auto settle() -> call_actions;
  auto finish(call_status status, refusal reason, attempt_number attempt)
      -> call_actions;
  void cancel_open(call_actions& out, attempt_number except);

  request_id id_;
  bool repeatable_;
  call_allowance allowance_;
  std::vector<attempt> attempts_;
  std::vector<node_id> tried_;
  bool picking_ = false;
  bool closing_ = false;
  bool ended_ = false;
  refusal last_reason_ = refusal::none;
  attempt_number failed_attempt_ = 0;
};

}  // namespace figwind
