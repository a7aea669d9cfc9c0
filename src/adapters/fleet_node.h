// Runs a node: connects the decisions on calls, routes and servers to HTTP, the
// links and the backend server on the same VM. An entry node sends callers'
// requests to server nodes; a server node runs calls at its backend server.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/asio.h"
#include "adapters/backend_client.h"
#include "adapters/background_worker.h"
#include "adapters/fleet_metrics.h"
#include "adapters/http_server.h"
#include "adapters/loop_delay_log.h"
#include "adapters/peer_link.h"
#include "adapters/server_limit_log.h"
#include "figwind/announcement.h"
#include "figwind/crash_detector.h"
#include "figwind/fleet_settings.h"
#include "figwind/fleet_subscriber.h"
#include "figwind/lost_answer_detector.h"
#include "figwind/route_calls.h"
#include "figwind/running_calls.h"
#include "figwind/server_gate.h"
#include "figwind/shutdown_policy.h"
#include "figwind/startup_policy.h"

namespace figwind {

/// Names of the HTTP headers shared by callers, nodes and backend servers.
struct call_header_names {
  /// Id of a request; backend servers copy it into their responses.
  std::string request_id;
  /// Time left until the deadline of a request, in ms.
  std::string time_left;
  /// Set by backend servers on complete responses that they produced.
  std::string response_signature;
  /// Set by backend servers on requests that they refused without running them.
  std::string not_executed;
  /// Name of the only backend server that may run the request.
  std::string target_server;
  /// Set by backend servers that limit their load: the requests a second that
  /// they take from all nodes together.
  std::string server_limit;
  /// Set to 1 by backend servers that leave.
  std::string server_leaving;
  /// Service on whose VM the request entered the fleet.
  std::string caller_service;
  /// Returns the id of the request whose run made the call with the given id;
  /// empty if the id names no parent.
  std::function<std::string(const std::string&)> parent_request_of;
};

/// Parses the text of a desired state.
using route_config_parser =
    std::function<result<route_config>(const std::string&)>;

class fleet_node {
 public:
  fleet_node(event_loop& loop, const fleet_settings& settings,
             call_header_names header_names, route_config_parser config_parser);

  /// Handles an announcement of the backend server. `done` is called at once,
  /// or, if the change takes the server out of service, after two members have
  /// acknowledged it or 600 ms have passed.
  void handle_announcement(const announcement& x,
                           const std::function<void()>& done);
  /// Handles the departure of a backend server. `born_ms` is its start time in
  /// Unix ms, 0 if unknown.
  void handle_departure(const server_name& server, std::int64_t born_ms,
                        const std::function<void()>& done);

  /// True while the node accepts new requests of callers.
  [[nodiscard]] auto is_ready() const -> bool;

  [[nodiscard]] auto metrics_text() -> std::string;

  /// Applies changed seeds, service and backend address. The node's own
  /// addresses stay the same.
  void reload(const fleet_settings& settings);

  /// Starts a graceful shutdown; `done` is called when the work in progress has
  /// ended or the grace period is over.
  void stop(std::function<void()> done);

 private:
  /// A caller's request in progress.
  struct caller_request {
    http_request request;
    std::shared_ptr<http_exchange> exchange;
    std::string request_id_text;
    class_name route_name;
    /// Service to which the request was last sent.
    service_name last_service;
    /// Id of the request whose run made this one; empty for the first request
    /// of a chain.
    std::string parent_request_id;
    /// First request of the chain.
    request_id root_request;
    bool is_idempotent = false;
    time_point started_at;
  };
  /// A call that waits or runs at this server node.
  struct server_call {
    call_request request;
    std::weak_ptr<link_session> session;
    time_point arrived_at;
    time_point started_at;
    std::uint64_t backend_request_number = 0;
    request_fingerprint fingerprint;
    /// Server that runs the call, and the start of its incarnation in Unix ms.
    server_name server;
    std::int64_t server_born_ms = 0;
  };
  /// A drain that waits for members to hold it before it is acknowledged.
  struct pending_drain_ack {
    std::uint64_t report_number = 0;
    time_point deadline;
    std::function<void()> on_acknowledged;
  };

  /// A caller's request that arrived before the first configuration.
  struct held_request {
    http_request request;
    std::shared_ptr<http_exchange> exchange;
    time_point deadline;
  };

  // Entry node.
  void on_caller_request(http_request request,
                         std::shared_ptr<http_exchange> exchange);
  /// False if the node stops before a request that starts now usually ends.
  [[nodiscard]] auto can_finish(const route& to, duration time_left,
                                time_point now) const -> bool;
  void refuse_not_ready(http_exchange& exchange, duration pause);
  void hold_until_configured(http_request request,
                             std::shared_ptr<http_exchange> exchange);
  void resume_held_requests();
  void refuse_expired_held_requests(time_point now);
  void execute(const route_actions& actions, const call_reply* answer);
  void send(const send_action& action);
  void cancel(const cancel_action& action);
  void finish_request(const end_action& action, const call_reply* answer);
  /// Takes a reply of the node `from`; ignored unless the call is at that node.
  void on_call_reply(const vm_address& from, const call_reply& answer);
  void on_link_lost(const vm_address& peer, link_kind kind);
  void update_servers();
  /// Returns the servers of the service to which this node keeps links.
  [[nodiscard]] auto servers_to_link_of(const service_name& service)
      -> std::vector<server>;
  void update_retry_slack();

  // Server node.
  void on_session(const std::shared_ptr<link_session>& session);
  void on_call_request(const gate_call& which, call_request request,
                       const std::weak_ptr<link_session>& session);
  void execute(const gate_actions& actions);
  void start_call(const gate_call& which);
  void finish_call(const gate_call& which, backend_response response);
  /// Ends a call with this reply.
  void send_reply(const gate_call& which, call_reply x);
  void pass_reply(const gate_call& which,
                  const std::weak_ptr<link_session>& session, call_reply x);
  /// An answer of the backend server said that the server leaves.
  void on_server_leaving(const server_notice& notice);
  void add_run_results(call_reply& x, running_call run);
  void cancel_session_calls(std::uint64_t session);
  void on_crash_report(const crash_report& report);
  /// Tells entry nodes of calls that the backend server most likely does not
  /// answer; they decide whether to go on waiting.
  void report_silent_calls(time_point now);
  auto make_backend_request(const server_call& x, duration time_left) const
      -> backend_request;
  [[nodiscard]] auto request_id_of(const server_call& x) const -> std::string;
  auto to_call_reply(const backend_response& x) const -> call_reply;
  void record_outcome(const server_call& x, backend_outcome outcome);
  auto notice_of(const server_call& x, const backend_response& response) const
      -> server_notice;

  // Control.
  void on_member_update(const member_update& update);
  /// Takes over a drain of the backend server that a member knows and this
  /// node does not, as after a restart.
  void take_drain(const member_update& update);
  void report_backend_state(const std::function<void()>& done);
  /// Acknowledges an announcement or departure with this effect.
  void acknowledge(announcement_effect effect,
                   const std::function<void()>& done);
  /// Calls `done` at once if the server serves; otherwise once enough members
  /// hold `report`, or after a timeout.
  void acknowledge_when_held(std::uint64_t report,
                             const std::function<void()>& done);
  void update_gate();
  /// Parses `text` beside the event loop, then puts it in force.
  void load_config(const member_update& from, std::string text);
  void send_status_messages();
  void tick();
  void check_links();
  void advance_shutdown();
  [[nodiscard]] auto is_self(const vm_address& node) const -> bool;
  [[nodiscard]] auto caller_service() const -> std::string;
  /// Share of retries among the calls at the local backend server, 0 to 1.
  [[nodiscard]] auto mean_retry_probability() const -> double;
  [[nodiscard]] auto parent_request_of(const std::string& id) const
      -> std::string;
  /// Derives the chain of a request from its id; `priority` is that of its
  /// class.
  [[nodiscard]] auto chain_from_id(const std::string& id, int priority) const
      -> call_chain;

  event_loop& loop_;
  fleet_settings settings_;
  call_header_names header_names_;
  route_config_parser config_parser_;
  vm_address self_address_;
  random_source random_;
  time_point started_at_;
  shutdown_policy shutdown_policy_;

  announcement_tracker announcement_tracker_;
  background_worker config_worker_;
  fleet_subscriber subscriber_;
  fleet_view view_;
  server_gate gate_;
  fleet_metrics metrics_;
  route_calls calls_;
  std::optional<route_table> routes_;
  /// Version of `routes_`; older than that of `subscriber_` while a new
  /// configuration is parsed.
  config_version version_in_force_;

  crash_detector crash_detector_;
  lost_answer_detector lost_answer_detector_;
  backend_client backend_;
  link_dialer links_;
  link_listener listener_;
  http_server caller_server_;

  startup_policy startup_policy_;
  std::map<std::uint64_t, held_request> held_requests_;
  std::uint64_t last_held_request_ = 0;
  std::unordered_map<std::uint64_t, caller_request> caller_requests_;
  /// Node and link from which the reply to a sent call is expected.
  struct sent_call {
    vm_address node;
    link_kind link = link_kind::small;
  };
  std::unordered_map<std::uint64_t, sent_call> sent_calls_;
  /// True if this node has links to all other nodes.
  bool is_linked_to_all_ = false;
  /// Number of reachable servers by service.
  std::map<service_name, std::size_t> reachable_servers_;
  std::map<gate_call, server_call> server_calls_;
  running_calls running_calls_;
  std::vector<pending_drain_ack> pending_drain_acks_;
  /// Number of the last report of the backend server to the members.
  std::uint64_t last_report_ = 0;
  /// True once the state before the start was received or the wait for it is
  /// over.
  bool previous_state_known_ = false;
  /// True once the shutdown has ended the start of new runs.
  bool gate_closed_ = false;
  /// True if the next tick must update the servers of the routes.
  bool server_update_due_ = true;
  std::optional<time_point> stopping_since_;
  std::function<void()> on_stopped_;

  std::function<void()> tick_action_;
  loop_delay_log delay_log_;
  server_limit_log limit_log_;
  std::unique_ptr<periodic_timer<std::function<void()>>> tick_timer_;
  std::unique_ptr<periodic_timer<std::function<void()>>> link_check_timer_;
};

}  // namespace figwind
