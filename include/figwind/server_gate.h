// Decides at a server node which calls for its backend server run, wait or are
// refused.
//
// All calls to the backend server pass through this node, so the node can
// report "not run" with certainty.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "figwind/announcement.h"
#include "figwind/fleet_messages.h"
#include "figwind/run_queue.h"

namespace figwind {

/// A call at a server node: the peer that sent it and the number it has there.
struct gate_call {
  std::uint64_t peer = 0;
  std::uint64_t call = 0;

  friend auto operator<(const gate_call& a, const gate_call& b) -> bool {
    return std::tie(a.peer, a.call) < std::tie(b.peer, b.call);
  }
};

struct gate_refusal {
  gate_call call;
  refusal reason = refusal::none;
};

/// Actions that a server node has to carry out now.
struct gate_actions {
  std::vector<gate_call> start;
  std::vector<gate_refusal> refuse;
  /// Running calls whose answer is no longer needed; to be aborted if they may
  /// be retried.
  std::vector<gate_call> abandon;
  /// Calls that were cancelled before they ran; nobody waits for a reply.
  std::vector<gate_call> withdrawn = {};
};

class server_gate {
 public:
  /// Sets the announced state of the backend server; empty if there is none
  /// that accepts calls.
  void set_server(const std::optional<announcement>& server, time_point now);

  /// Takes what the backend server stated in an answer to this node. What
  /// entry nodes were told, which `submit` takes from their calls, counts until
  /// the first answer of the server's incarnation to this node.
  void observe_notice(const server_notice& notice, time_point now);

  auto submit(const gate_call& from, const call_request& call, time_point now)
      -> gate_actions;

  /// A started call has ended.
  auto finish(const gate_call& which, bool complete, time_point now)
      -> gate_actions;

  auto cancel(const gate_call& which, time_point now) -> gate_actions;

  /// To be called about every 10 ms.
  auto tick(time_point now) -> gate_actions;

  /// Refuses all new calls from now on.
  void close() { closed_ = true; }

  [[nodiscard]] auto in_flight() const -> int;
  [[nodiscard]] auto queued() const -> int;
  /// The rate to which the server limits its calls, in calls a second; empty
  /// without a limit.
  [[nodiscard]] auto rate() const -> std::optional<double>;
  /// What the server stated last; not known while it states no limit.
  [[nodiscard]] auto notice() const -> server_notice;
  /// The threshold to be sent with an answer. Set while calls are refused, and
  /// afterwards for as long as callers may still apply a stricter one.
  auto reported_threshold(time_point now) -> std::optional<admission_level>;

 private:
  struct gated_call {
    call_ticket ticket;
    /// A call that is still queued at this time is refused.
    time_point latest_start;
    bool running = false;
  };

  void apply_notice(const server_notice& notice, time_point now);
  [[nodiscard]] auto refusal_of(const call_request& call) const -> refusal;
  void apply(const queue_actions& actions, gate_actions& out);
  void start(const gate_call& which, gate_actions& out);

  std::optional<announcement> server_;
  /// True once the server's incarnation has answered this node.
  bool server_answered_ = false;
  std::unique_ptr<run_queue> queue_;
  std::map<gate_call, gated_call> calls_;
  std::unordered_map<std::uint64_t, gate_call> by_ticket_;
  bool closed_ = false;
  time_point last_restricted_{-1e18};
};

}  // namespace figwind
