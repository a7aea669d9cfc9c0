// Calls for which this node is the entry node: admission, choice of servers,
// attempts, and the single outcome of each call.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "figwind/admission.h"
#include "figwind/balancer.h"
#include "figwind/call.h"
#include "figwind/call_state.h"
#include "figwind/ids.h"
#include "figwind/random.h"
#include "figwind/retry.h"
#include "figwind/units.h"
#include "figwind/workload.h"

namespace figwind {

/// Send attempt `number` of a call to a server node.
struct attempt_action {
  attempt_number number = 0;
  /// The server node, and its address for calls.
  node_id server;
  vm_address call_address;
  /// True if the server node is this node.
  bool local = false;
  /// Context of the attempt; `time_left` is the timeout of the attempt.
  call_context context;
};

/// Answer the caller; ends the call.
struct call_answer {
  call_status status = call_status::not_run;
  refusal reason = refusal::none;
  /// Attempt whose body the caller receives if the status is `complete` or
  /// `failed`; 0 for none.
  attempt_number attempt = 0;
  /// Unspent part of the retry allowance.
  int returned_allowance = 0;

  friend auto operator==(const call_answer&, const call_answer&)
      -> bool = default;
};

/// Next action for the call `id` (see `call_id`).
struct entry_action {
  request_id id;
  std::variant<attempt_action, call_answer> action;
};

/// Tell a server node that the answer to a request is no longer needed.
struct cancel_request_action {
  node_id server;
  request_id request;
};

/// Actions that the entry node has to carry out.
struct entry_output {
  std::vector<entry_action> actions;
  std::vector<cancel_request_action> cancels;
};

/// Result of one attempt as the transport reports it.
enum class transport_result : std::uint8_t {
  /// `head` and `body` were received.
  answered,
  /// No connection could be made; nothing was sent.
  not_sent,
  /// The connection broke after sending had begun.
  broken,
  /// No answer arrived within the timeout.
  timed_out,
};

struct attempt_report {
  request_id call;
  attempt_number number = 0;
  transport_result result = transport_result::broken;
  answer_header head;
  std::string body;
  /// Thresholds of the services that the request used.
  std::vector<threshold_report> thresholds;
};

/// Record of a call that has ended.
struct ended_call {
  call_context context;
  call_answer answer;
  duration total_time;
  /// Retries that this node made for it.
  int retries = 0;
  service_name service;
};

struct entry_options {
  node_id self;
  vm_address call_address;
  failure_domain domain;
  /// Longest wait for the first server list of a service.
  duration server_list_timeout = seconds(2);
};

/// A call has at most one attempt in flight. Its owner reports the end of the
/// attempt with `on_attempt_ended` and receives exactly one action for the
/// call.
class entry_calls {
 public:
  entry_calls(entry_options options, std::uint64_t seed);

  /// Starts a call; all of `context` must be set. `known` is false if no server
  /// list of the service has arrived yet: the call then waits for
  /// `set_servers`.
  auto on_call_arrived(const call_context& context,
                       const call_class& workload_class, bool known,
                       time_point now) -> entry_output;

  auto on_attempt_ended(const attempt_report& report, time_point now)
      -> entry_output;

  /// Replaces the servers of a service and starts the calls that wait for them.
  auto set_servers(const service_name& service,
                   const std::vector<server>& servers, time_point now)
      -> entry_output;

  /// Cancels attempts whose deadline is near and refuses calls that waited too
  /// long for a server list. To be called about every 10 ms.
  auto tick(time_point now) -> entry_output;

  /// Returns the calls that ended since the last call of this function.
  auto take_ended() -> std::vector<ended_call>;

  /// Thresholds of `services` as this node observes them, to be sent with the
  /// answers of its server node.
  auto relayed_reports(const std::vector<service_name>& services,
                       time_point now) -> std::vector<threshold_report>;

  /// Number of calls that have not ended.
  [[nodiscard]] auto active_calls() const -> std::size_t {
    return calls_.size();
  }

 private:
  struct active_call {
    active_call(const call_context& arrived, call_class of_class,
                time_point now)
        : context{arrived},
          workload_class{std::move(of_class)},
          state{with_call_id(arrived), workload_class.idempotent},
          started{now},
          deadline{now + arrived.time_left} {}

    /// Answers are matched by the id of the call, not of the request.
    static auto with_call_id(call_context x) -> call_context {
      x.id = call_id(x);
      return x;
    }

    call_context context;
    call_class workload_class;
    call_state state;
    time_point started;
    time_point deadline;
    attempt_number attempt = 0;
    attempt_ticket ticket = 0;
    node_id server;
    bool waiting_for_servers = false;
    bool deadline_handled = false;
    /// True from the start of an attempt until its end is reported.
    bool attempt_in_flight = false;
    /// Answer of a call whose last attempt has not been reported yet.
    std::optional<call_answer> pending_answer;
  };

  void perform(const request_id& id, const call_actions& actions,
               time_point now, entry_output& out);
  auto choose_server(active_call& call, bool is_first, time_point now)
      -> server_choice;
  void start_attempt(const request_id& id, active_call& call, time_point now,
                     entry_output& out);
  auto attempt_timeout(const active_call& call, time_point now) const
      -> duration;
  auto apply_report(active_call& call, const attempt_report& report,
                    time_point now) -> call_actions;
  void end_call(const request_id& id, active_call& call,
                const call_answer& answer, time_point now, entry_output& out);
  void record_attempt_end(active_call& call, const attempt_report& report,
                          time_point now);
  auto refuse(const call_context& context, refusal reason) -> entry_output;

  entry_options options_;
  random_source random_;
  balancer balancer_;
  entry_gate gate_;
  std::unordered_map<service_name, retry_throttle> retry_throttles_;
  std::unordered_map<request_id, active_call> calls_;
  std::unordered_map<service_name, std::vector<request_id>>
      waiting_for_servers_;
  /// Servers without a backend server, and the time until which they are
  /// excluded.
  std::map<node_id, time_point> excluded_until_;
  std::vector<ended_call> ended_;
};

}  // namespace figwind
