// Requests for which this node is the server node: the queue in front of its
// backend server, at-most-once recording, crash suspects, and the retry
// allowances of running requests.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "figwind/admission.h"
#include "figwind/call.h"
#include "figwind/crash_guard.h"
#include "figwind/ids.h"
#include "figwind/outgoing.h"
#include "figwind/random.h"
#include "figwind/record_client.h"
#include "figwind/retry.h"
#include "figwind/run_queue.h"
#include "figwind/units.h"

namespace figwind {

/// Announcement of a backend server to its node.
struct backend_announcement {
  service_name service;
  /// HTTP address of the backend server.
  vm_address address;
  /// Requests that it can run concurrently.
  int slots = 0;
  /// Connections that it accepts.
  int connections = 0;

  friend auto operator==(const backend_announcement&,
                         const backend_announcement&) -> bool = default;
};

/// Number of one attempt that has reached its server node; unique there.
using run_ticket = std::uint64_t;

enum class run_action_kind : std::uint8_t {
  /// Send `context` to the backend server, then report `on_run_ended`.
  run,
  /// Answer the entry node; nothing more follows.
  answer,
  /// Tell the backend server that the answer is no longer needed.
  cancel,
};

struct run_action {
  run_ticket ticket = 0;
  run_action_kind kind = run_action_kind::answer;
  /// With `run`: the context for the backend server, with the time left.
  call_context context;
  call_status status = call_status::not_run;
  refusal reason = refusal::none;
  /// With `answer`: true if `answer` was recorded for an earlier run, false if
  /// it is the answer of this one.
  bool recorded = false;
  std::string answer;
  /// Unspent part of the retry allowance.
  int returned_allowance = 0;
  /// Services that the request called.
  std::vector<service_name> downstream_services;
};

/// Actions and messages that a server node has to carry out.
struct run_output {
  std::vector<run_action> actions;
  std::vector<outgoing<record_request>> records;
  /// For the other servers of this service.
  std::vector<crash_report> crash_reports;
};

/// How a run ended on the backend server.
struct run_report {
  call_status status = call_status::complete;
  /// True if the backend server crashed while it ran the request.
  bool crashed = false;
  /// Answer of the backend server, recorded for resends of a keyed request.
  std::string answer;
};

struct server_runs_options {
  node_id self;
  std::uint32_t groups_per_domain = 64;
  run_queue_options queue;
  record_client_options records;
};

/// All requests at one server node. Without a backend server, all requests are
/// refused as `no_server`.
class server_runs {
 public:
  server_runs(server_runs_options options, std::uint64_t seed, time_point now);

  /// The backend server is ready. Its slots ramp up if it was unavailable
  /// before.
  void announce(const backend_announcement& backend, time_point now);

  /// An attempt has arrived; `request` identifies it over all resends.
  auto on_attempt_arrived(run_ticket ticket, const call_context& context,
                          request_fingerprint request, time_point now,
                          time_point unix_now) -> run_output;

  /// A request that was started with `run` has ended.
  auto on_run_ended(run_ticket ticket, const run_report& report, time_point now)
      -> run_output;

  auto on_record_reply(const record_reply& reply, time_point now) -> run_output;

  /// The answer to `request` is no longer needed.
  auto cancel(const request_id& request, time_point now) -> run_output;

  /// To be called about every 5 ms.
  auto tick(time_point now, time_point unix_now) -> run_output;

  void merge_crashes(const crash_report& report, time_point now);
  void set_group(const recorder_group& group) { records_.set_group(group); }

  /// True if the request is refused because it crashed servers.
  [[nodiscard]] auto is_refused(request_fingerprint request,
                                time_point now) const -> bool;

  /// Part of the retry allowance of the running request `parent` for one
  /// downstream call to `service`.
  auto take_allowance(std::uint64_t parent, const service_name& service,
                      time_point now) -> int;

  /// A downstream call that took `taken` retries has ended after `total`.
  void give_back(std::uint64_t parent, int taken, int returned, duration total,
                 time_point now);

  /// Refuses all new requests as `draining` from now on.
  void begin_drain();
  [[nodiscard]] auto draining() const -> bool { return draining_; }
  /// True if draining and no request is queued or running.
  [[nodiscard]] auto drained() const -> bool;

  [[nodiscard]] auto threshold() const -> threshold_report;
  [[nodiscard]] auto backend() const -> const backend_announcement& {
    return backend_;
  }
  /// True from an announcement until the backend server crashes.
  [[nodiscard]] auto available() const -> bool { return available_; }
  [[nodiscard]] auto in_flight() const -> int;
  [[nodiscard]] auto limit(time_point now) const -> int;

 private:
  enum class run_phase : std::uint8_t { queued, recording, running };

  struct active_run {
    call_context context;
    request_fingerprint request;
    time_point deadline;
    call_ticket queue_ticket;
    run_phase phase = run_phase::queued;
    attempt_id attempt{};
    /// Number of times that the recorders reported another attempt.
    int recorder_waits = 0;
    parent_token parent = 0;
    duration downstream_time{};
    std::set<service_name> services{};
  };
  struct deferred_run {
    run_ticket ticket = 0;
    call_context context;
    request_fingerprint request;
    time_point deadline;
  };

  void enqueue(const deferred_run& run, time_point now, run_output& out);
  void start(run_ticket ticket, time_point now, run_output& out);
  void ask_recorders(run_ticket ticket, active_run& x, bool earlier_unresolved,
                     time_point now, run_output& out);
  auto wait_for_outcome(run_ticket ticket, active_run& x, time_point now)
      -> bool;
  void retry_recorders(time_point now, run_output& out);
  void run(run_ticket ticket, active_run& x, time_point now, run_output& out);
  void apply_queue_actions(time_point now, run_output& out);
  void apply_records(const record_output& records, time_point now,
                     run_output& out);
  void apply_decision(const record_decision& decision, time_point now,
                      run_output& out);
  void finish_run(run_ticket ticket, active_run& x, run_action answer,
                  time_point now, run_output& out);
  void refuse(run_ticket ticket, const call_context& context, refusal reason,
              run_output& out) const;
  void retry_deferred(time_point now, run_output& out);
  void record_crash(time_point now, run_output& out);

  server_runs_options options_;
  random_source random_;
  crash_guard crash_guard_;
  record_client records_;
  allowance_ledger allowances_;
  backend_announcement backend_;
  std::unique_ptr<run_queue> queue_;
  bool available_ = false;
  bool draining_ = false;
  time_point unix_now_;
  std::unordered_map<run_ticket, active_run> runs_;
  std::unordered_map<std::uint64_t, run_ticket> by_queue_ticket_;
  std::unordered_map<std::uint64_t, run_ticket> by_attempt_;
  std::unordered_map<parent_token, run_ticket> by_parent_;
  std::vector<deferred_run> deferred_;
  /// Resends that wait for the outcome of a running attempt, by time.
  std::multimap<time_point, run_ticket> recorder_retries_;
};

}  // namespace figwind
