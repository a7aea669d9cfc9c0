// Decision logic of one node: takes events and returns the resulting actions.
// Combines the entry side, the server side, membership and key recording.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "figwind/burn.h"
#include "figwind/call.h"
#include "figwind/entry_calls.h"
#include "figwind/ids.h"
#include "figwind/key_recorder.h"
#include "figwind/node_messages.h"
#include "figwind/node_view.h"
#include "figwind/outgoing.h"
#include "figwind/random.h"
#include "figwind/server_runs.h"
#include "figwind/units.h"
#include "figwind/workload.h"

namespace figwind {

/// Actions and messages that result from an event.
struct node_output {
  std::vector<entry_action> calls;
  std::vector<run_action> runs;
  std::vector<outgoing<node_message>> messages;
  /// Finished calls for which this node was the entry node.
  std::vector<ended_call> ended;
  /// Configuration version that was put in force, if any.
  std::optional<config_version> in_force;
};

/// Settings of a `node_core`.
struct node_options {
  node_id self;
  failure_domain domain;
  vm_address call_address;
  std::vector<member_location> members;
  std::uint64_t seed = 0;
  node_view_options view;
  key_limits keys;
};

/// The decision logic of one node. It does no I/O and reads no clock.
class node_core {
 public:
  node_core(node_options options, time_point now);

  /// Puts the accepted configuration `version` in force. Does nothing if
  /// `version` is not higher than the present one, and returns the findings if
  /// the text is invalid. Version 0 is the initial workload.
  auto put_in_force(config_version version, const std::string& text)
      -> findings;

  /// Announces that the backend server of this node is ready.
  auto announce(const backend_announcement& backend, time_point now)
      -> node_output;

  /// Starts a call of the class `context.name`. At depth 0 the node fills in
  /// the fields that the class determines; at greater depths the retry
  /// allowance comes from the parent.
  auto on_call_arrived(call_context context, request_fingerprint request,
                       time_point now, time_point unix_now) -> node_output;

  auto on_attempt_ended(const attempt_report& report, time_point now,
                        time_point unix_now) -> node_output;

  /// An attempt has reached this node as its server node.
  auto on_attempt_arrived(run_ticket ticket, const call_context& context,
                          request_fingerprint request, time_point now,
                          time_point unix_now) -> node_output;

  auto on_run_ended(run_ticket ticket, const run_report& report, time_point now,
                    time_point unix_now) -> node_output;

  auto on_message(const node_message& message, time_point now,
                  time_point unix_now) -> node_output;

  /// Call it about every 5 ms.
  auto tick(time_point now, time_point unix_now) -> node_output;

  /// Refuses new work from now on; `drained` returns true once all work has
  /// ended.
  auto begin_drain(time_point now) -> node_output;
  /// Announces that the backend server is gone; final for this incarnation.
  auto announce_gone(time_point now) -> node_output;
  [[nodiscard]] auto draining() const -> bool {
    return server_runs_.draining();
  }
  [[nodiscard]] auto drained() const -> bool {
    return server_runs_.drained() && entry_calls_.active_calls() == 0;
  }

  /// Thresholds to send with a reply of this server node: its own and those of
  /// the services that the request used.
  auto thresholds(const std::vector<service_name>& downstream, time_point now)
      -> std::vector<threshold_report>;

  /// Processes a reply of `server`; `draining` is the state that the reply
  /// reports.
  void on_server_answer(const node_id& server, bool draining, time_point now);

  [[nodiscard]] auto classes() const -> const workload& { return workload_; }
  [[nodiscard]] auto version() const -> config_version { return version_; }
  [[nodiscard]] auto runs() const -> const server_runs& { return server_runs_; }
  [[nodiscard]] auto view() const -> const node_view& { return view_; }
  [[nodiscard]] auto self() const -> const node_id& { return options_.self; }
  [[nodiscard]] auto burn() const -> const node_burn& { return burn_; }
  [[nodiscard]] auto recorder() const -> const key_recorder& {
    return recorder_;
  }
  /// Usable servers of all services that this node calls.
  auto all_servers(time_point now) -> std::vector<usable_server>;

  /// Restores configuration and burn counts from an earlier incarnation.
  void restore_from(const node_core& earlier);

 private:
  /// Retry allowance of a downstream call whose parent runs on the backend
  /// server of this node.
  struct child_allowance {
    std::uint64_t parent = 0;
    int allowance = 0;
  };

  auto check_request(const call_context& context,
                     const call_class& workload_class,
                     request_fingerprint request, time_point now,
                     time_point unix_now) const -> std::optional<call_answer>;
  void add(node_output& out, entry_output from, time_point now,
           time_point unix_now);
  void add(node_output& out, run_output from, time_point now);
  void add(node_output& out, recorder_output from);
  void add(node_output& out, const std::vector<outgoing<heartbeat>>& from);
  auto announce_state(server_state state, time_point now) -> node_output;
  void record_call_end(const ended_call& call, time_point now,
                       time_point unix_now);
  void refresh_servers(node_output& out, time_point now, time_point unix_now);
  void send_crash_report(const crash_report& report, node_output& out,
                         time_point now);
  void set_group(const group_update& update);

  void handle(const heartbeat_reply& m, node_output& out, time_point now,
              time_point unix_now);
  void handle(const record_request& m, node_output& out, time_point now,
              time_point unix_now);
  void handle(const record_reply& m, node_output& out, time_point now,
              time_point unix_now);
  void handle(const seal_request& m, node_output& out, time_point now,
              time_point unix_now);
  void handle(const seal_reply& m, node_output& out, time_point now,
              time_point unix_now);
  void handle(const crash_report& m, node_output& out, time_point now,
              time_point unix_now);
  void handle(const cancel_request& m, node_output& out, time_point now,
              time_point unix_now);
  // Messages for control members, ignored by nodes.
  void handle(const heartbeat& m, node_output& out, time_point now,
              time_point unix_now);
  void handle(const takeover_done& m, node_output& out, time_point now,
              time_point unix_now);

  node_options options_;
  random_source random_;
  workload workload_;
  config_version version_;
  node_view view_;
  entry_calls entry_calls_;
  server_runs server_runs_;
  key_recorder recorder_;
  node_burn burn_;
  std::unordered_map<request_id, child_allowance> child_allowances_;
  std::map<service_name, std::vector<server>> server_lists_;
  time_point next_refresh_;
};

/// Encodes a recorder group for the replicated configuration, and decodes it.
auto encode(const recorder_group& group) -> std::string;
auto decode_group(const std::string& bytes) -> result<recorder_group>;

}  // namespace figwind
