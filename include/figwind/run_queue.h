// Queue in front of one backend server.
//
// Order of use:
//   1. `submit` for each call; start, queue or refuse it as returned.
//   2. `finish` when a started call has ended, whatever its outcome.
//   3. `tick` after each `finish` and at least every 5 ms; start and refuse the
//      calls that it returns.
//   4. `threshold` for each answer, sent as a `threshold_report`.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "figwind/admission.h"
#include "figwind/call.h"
#include "figwind/concurrency_limiter.h"
#include "figwind/rate_limit.h"
#include "figwind/slot_split.h"

namespace figwind {

/// Identity of one call in one queue. The request id is not enough because a
/// request may call the same server more than once.
using call_ticket = strong_type<struct call_ticket_tag, std::uint64_t>;

/// Options of a run queue.
struct run_queue_options {
  threshold_options threshold;
  concurrency_limiter_options limit;
  slot_split_options split;
  /// Longest queue of short work, as the time that the server needs to complete
  /// it. Excess work is evicted, least important first. Long work waits as long
  /// as its deadline allows.
  duration max_queue_wait = milliseconds(60);
};

enum class admission_verdict : std::uint8_t { start, queued, refused };

/// Result of submitting a call.
struct admission_result {
  admission_verdict verdict = admission_verdict::refused;
  /// Set if the verdict is `refused`; the call has not run.
  refusal reason = refusal::none;
  /// Set unless the verdict is `refused`.
  call_ticket ticket;
};

/// How a started call ended.
struct run_outcome {
  call_status status = call_status::complete;
  /// Time that the call waited for calls to other services.
  duration downstream_time;
};

/// A queued call that is refused; it has not run.
struct refused_call {
  call_ticket ticket;
  refusal reason = refusal::none;
};

/// Queued calls to start and to refuse now.
struct queue_actions {
  std::vector<call_ticket> start;
  std::vector<refused_call> refused;
};

/// Calls of one cancelled request.
struct cancelled_calls {
  /// Queued calls that were removed and never run.
  std::vector<call_ticket> removed;
  /// Running calls. The backend server must be told; `finish` follows.
  std::vector<call_ticket> running;
};

/// The queue of one backend server. Each operation takes O(log n) time.
class run_queue {
 public:
  /// `slots` is the number of slots that the server declares, at least 1. The
  /// slots of a `cold` server ramp up gradually.
  run_queue(const run_queue_options& options, int slots, bool cold,
            time_point now);

  /// Submits a call that has reached the server node. A queued call may still
  /// be refused by a later `tick`.
  auto submit(const call_context& call, time_point now) -> admission_result;

  /// Reports the end of a started call. Ignores unknown tickets.
  void finish(call_ticket ticket, time_point now, const run_outcome& outcome);

  /// Removes the queued calls of a request whose caller has disconnected.
  auto cancel(const request_id& id, time_point now) -> cancelled_calls;

  /// Removes one queued call, which then never runs. Ignores other tickets.
  void withdraw(call_ticket ticket, time_point now);

  /// Returns the queued calls that start and those that are refused now. The
  /// former count as started, the latter are removed.
  auto tick(time_point now) -> queue_actions;

  /// Refuses new calls with `refusal::draining` from now on. Queued and running
  /// calls continue.
  void begin_drain();

  /// True if draining and no call is queued or running.
  [[nodiscard]] auto drained() const -> bool;

  /// Threshold to be sent upstream.
  [[nodiscard]] auto threshold() const -> admission_level;

  /// Number of running calls.
  [[nodiscard]] auto in_flight() const -> int;

  /// Number of queued calls.
  [[nodiscard]] auto queued() const -> int;

  /// Number of calls that may run concurrently.
  [[nodiscard]] auto limit(time_point now) const -> int;

  /// Expected wait of a new short call of `importance`.
  [[nodiscard]] auto expected_wait(int importance, time_point now) const
      -> duration;

  /// Lower estimate of the time that calls of the class need once started; 0
  /// before the first completion.
  [[nodiscard]] auto min_service_time(const class_name& name,
                                      time_point now) const -> duration;

  /// Changes the number of slots that the server declares.
  void set_slots(int slots);

  /// Sets the rate at which calls may start, in calls a second; empty if only
  /// the slots bound them.
  void set_rate(std::optional<double> per_second, time_point now);

  /// The rate in force; empty if only the slots bound the calls.
  [[nodiscard]] auto rate() const -> std::optional<double> {
    return rate_.rate();
  }

 private:
  // Importance, negative depth, deadline in ms, ticket.
  using order_key = std::tuple<int, int, double, std::uint64_t>;

  struct entry {
    call_context call;
    time_point started;
    time_point deadline;
    double latest_start_ms = 0;
    double slot_time_ms = 0;
    admission_level level;
    work_kind kind = work_kind::caller_facing;
    bool running = false;
  };

  using entries = std::unordered_map<std::uint64_t, entry>;
  using level_index = std::set<std::pair<admission_level, std::uint64_t>>;
  using time_index = std::set<std::pair<double, std::uint64_t>>;

  [[nodiscard]] auto refusal_of(const call_context& call, const entry& x,
                                time_point now) const -> refusal;
  [[nodiscard]] auto make_entry(const call_context& call, time_point now) const
      -> entry;
  [[nodiscard]] auto expected_wait_of(const entry& x, time_point now) const
      -> duration;
  [[nodiscard]] auto may_start(work_kind kind, time_point now) const -> bool;
  [[nodiscard]] auto may_start_at_once(work_kind kind, time_point now) const
      -> bool;
  /// Mean number of slots that calls can use: fewer than `limit` if the rate
  /// binds.
  [[nodiscard]] auto usable_slots(time_point now) const -> double;
  [[nodiscard]] auto is_full(double extra_ms, time_point now) const -> bool;
  [[nodiscard]] auto first_startable(time_point now) const -> std::uint64_t;
  [[nodiscard]] static auto key_of(std::uint64_t ticket, const entry& x)
      -> order_key;
  void start(entry& x, time_point now);
  void enqueue(std::uint64_t ticket, const entry& x);
  void dequeue(std::uint64_t ticket, const entry& x);
  void erase(std::uint64_t ticket);
  void refuse_queued(std::uint64_t ticket, refusal reason);
  void refuse_late(time_point now);
  void evict_excess(time_point now);
  void update_threshold(time_point now);

  run_queue_options options_;
  threshold_controller threshold_;
  concurrency_limiter limiter_;
  rate_limit rate_;
  slot_split split_;
  bool draining_ = false;

  entries calls_;
  std::unordered_multimap<request_id, std::uint64_t> by_request_;
  std::array<std::set<order_key>, work_kind_count> queues_;
  level_index by_level_;
  time_index by_latest_start_;
  // Slot time that queued short and long calls need, by importance.
  std::map<int, double> queued_short_ms_;
  std::map<int, double> queued_long_ms_;
  double total_queued_short_ms_ = 0;
  std::vector<refused_call> pending_refusals_;

  std::unordered_map<class_name, time_estimate> slot_times_;
  time_estimate overall_slot_time_{0.02};
  kind_counts running_{};
  kind_counts queued_{};
  std::uint64_t last_ticket_ = 0;
};

}  // namespace figwind
