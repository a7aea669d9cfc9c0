// Decides at an entry node which server node receives a caller's request, when
// the request is sent again, and how it ends.
//
// Order of use: `start` for each request, then `on_answer`, `on_link_lost` and
// `on_tick` as these events occur. Each returns actions that must be carried
// out at once.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "figwind/admission.h"
#include "figwind/balancer.h"
#include "figwind/circuit_breaker.h"
#include "figwind/fleet_directory.h"
#include "figwind/random.h"
#include "figwind/retry_budget.h"
#include "figwind/route.h"

namespace figwind {

/// Options of `route_calls`.
struct route_call_options {
  vm_address self;
  failure_domain domain;
  retry_budget_options retries;
  /// Refusals after which a request is not sent to another server node.
  int max_refusals = 12;
  /// Longest wait for a server if its service has none; also limited to an
  /// eighth of the target latency.
  duration max_server_wait = milliseconds(250);
};

/// Properties of a caller's request that affect the decisions.
struct route_request {
  call_chain chain;
  /// Time until the caller stops waiting.
  duration time_left;
  /// Calls that the run which makes this request still has to make, including
  /// this one; 0 at the start of a chain.
  int calls_left = 0;
};

/// Send the request to a server node.
struct send_action {
  std::uint64_t call = 0;
  vm_address node;
  service_name service;
  server_name server;
  duration time_left;
  duration max_queue_wait;
  call_chain chain;
  /// What this node was told by the server of `node`.
  server_notice notice = {};
};

/// Tell `node` that the answer to the call is no longer needed.
struct cancel_action {
  std::uint64_t call = 0;
  vm_address node;
};

enum class route_outcome : std::uint8_t {
  /// The backend server answered; its answer is passed on.
  answered,
  /// The request has not run and never will.
  not_run,
  /// The request may have run, but no complete answer was received.
  failed,
  /// The timeout of the caller or of the route has expired.
  timed_out,
};

auto to_string(route_outcome x) -> std::string;

/// The request has ended.
struct end_action {
  std::uint64_t call = 0;
  route_outcome outcome = route_outcome::failed;
  refusal reason = refusal::none;
  /// With `not_run`: the time after which the caller may retry.
  duration retry_after;
  /// With `no_server`: the time for which requests of the class have found no
  /// server.
  duration outage;
  /// Server node that the request was last sent to; empty if there was none.
  vm_address node;
  int attempts = 0;
};

/// A call with none of these actions keeps waiting.
struct route_actions {
  std::uint64_t call = 0;
  std::optional<send_action> send;
  std::vector<cancel_action> cancel;
  std::optional<end_action> end;
};

class route_calls {
 public:
  route_calls(route_call_options options, random_source random);

  /// Sets the name of the backend server of `node`, a node passed to
  /// `set_servers`.
  void set_server_name(const node_id& node, server_name name) {
    server_names_[node] = std::move(name);
  }

  /// Replaces the servers of a service. Those that told this node that they
  /// leave are not used.
  void set_servers(const service_name& service,
                   const std::vector<server>& servers);

  /// Sets the number of retries to each service that are allowed in addition to
  /// the ratio.
  void set_retry_slack(double slack);

  /// Servers that were unreachable can be reached again.
  void on_servers_reachable(time_point now) { breaker_.reset(now); }

  /// Classes whose circuit breaker has opened or closed since the last call.
  auto take_breaker_changes() -> std::vector<breaker_change> {
    return breaker_.take_changes();
  }

  /// Starts a request on the route `to`.
  auto start(const route& to, const route_request& request, time_point now)
      -> route_actions;

  auto on_answer(const call_reply& answer, time_point now) -> route_actions;

  /// The backend server of a call is silent while it answers later ones
  /// (`call_end::silent`). The request is taken back and sent to another
  /// server, or fails, unless silent servers are waited for.
  auto on_server_silent(std::uint64_t call, time_point now) -> route_actions;

  /// From now on the requests in progress wait for silent servers. To be called
  /// when a planned stop begins: a server that is still at work must not lose
  /// its answer to the stop.
  void wait_for_silent_servers() { waits_for_silent_servers_ = true; }

  /// The link to the node of a call broke. `sent` is false if no byte of the
  /// call was sent, so that it cannot have run.
  auto on_link_lost(std::uint64_t call, bool sent, time_point now)
      -> route_actions;

  /// The caller has disconnected.
  auto on_caller_gone(std::uint64_t call, time_point now) -> route_actions;

  /// Ends calls whose deadline has passed. To be called about every 10 ms.
  auto on_tick(time_point now) -> std::vector<route_actions>;

  /// The thresholds of an answer by which requests are refused at the entry:
  /// all but those of servers that name a limit while other servers of their
  /// service have room.
  [[nodiscard]] auto binding_thresholds(const call_reply& answer,
                                        time_point now) const
      -> std::vector<threshold_report>;

  /// A latency that most requests of the class do not exceed; 0 if unknown.
  [[nodiscard]] auto usual_latency(const class_name& name, time_point now) const
      -> duration {
    return gate_.usual_latency(name, now);
  }

  /// Fraction of the retry budget for `service` that is used, in [0, 1].
  [[nodiscard]] auto retry_budget_used(const service_name& service,
                                       time_point now) const -> double;

  [[nodiscard]] auto active_calls() const -> std::size_t {
    return calls_.size();
  }

 private:
  struct active_call {
    route_request request;
    class_name name;
    service_name service;
    retry_rule retry = retry_rule::at_most_once;
    duration target_latency;
    time_point started;
    time_point deadline;
    int max_attempts = 1;
    /// Server nodes that may have run the request.
    int attempts = 0;
    int refusals = 0;
    /// True if a server node has answered, even with a refusal.
    bool node_answered = false;
    /// True if the last refusal came from the backend server itself.
    bool server_refused = false;
    std::vector<node_id> excluded;
    attempt_ticket ticket = 0;
    vm_address node;
  };
  /// A call that waits for a server.
  struct waiting_call {
    std::uint64_t call = 0;
    time_point until;
  };

  auto wait_for_server(std::uint64_t number, const active_call& x,
                       time_point now) -> route_actions;
  void send_waiting(time_point now, std::vector<route_actions>& out);
  auto send(std::uint64_t number, active_call& x, bool is_retry, time_point now)
      -> route_actions;
  auto retry_or_fail(std::uint64_t number, active_call& x, time_point now)
      -> route_actions;
  auto finish(std::uint64_t number, route_outcome end, refusal reason,
              time_point now) -> route_actions;
  auto finish_without_server(std::uint64_t number, route_outcome end,
                             time_point now) -> route_actions;
  auto retry_after(refusal reason, duration target, duration outage)
      -> duration;
  auto admit(const active_call& x, time_point now) -> refusal;
  auto may_retry(active_call& x, time_point now) -> bool;
  auto budget_of(const service_name& service) -> retry_budget&;
  void keep_notice(const vm_address& node, const server_notice& notice);
  void keep_leaving(const vm_address& node, const server_notice& notice);
  [[nodiscard]] auto is_leaving(const server& x) const -> bool;
  auto handle_answer(const call_reply& answer, active_call& x,
                     attempt_ticket ticket, time_point now) -> route_actions;
  auto take_retry(const active_call& x, retry_cause cause, time_point now)
      -> bool;
  auto may_retry_refused(const active_call& x, bool reached_server,
                         time_point now) -> bool;

  route_call_options options_;
  random_source random_;
  balancer balancer_;
  entry_gate gate_;
  circuit_breaker breaker_;
  std::unordered_map<service_name, std::vector<server>> servers_;
  /// Names of the backend servers by node.
  std::unordered_map<node_id, server_name> server_names_;
  /// Limits that servers named in answers to this node, by the node beside the
  /// server. Kept while a server cannot be reached, since its node may forget
  /// the limit in a restart.
  std::unordered_map<vm_address, server_notice> named_limits_;
  /// Servers that said in answers to this node that they leave, the newest at
  /// each node. Kept when no list names them any more, since a later list may.
  std::unordered_map<vm_address, server_notice> leaving_servers_;
  std::map<service_name, retry_budget> budgets_;
  /// Retry use downstream of each class, from the most recent answers.
  std::unordered_map<class_name, downstream_retries> downstream_;
  std::unordered_map<std::uint64_t, active_call> calls_;
  std::map<std::pair<double, std::uint64_t>, int> deadlines_;
  std::map<service_name, std::vector<waiting_call>> waiting_for_server_;
  std::uint64_t last_call_ = 0;
  bool waits_for_silent_servers_ = false;
};

}  // namespace figwind
