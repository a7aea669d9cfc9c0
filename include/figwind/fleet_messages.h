// Messages between nodes, and between nodes and control members.

#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "figwind/admission.h"
#include "figwind/announcement.h"
#include "figwind/call.h"
#include "figwind/call_chain.h"
#include "figwind/consensus_messages.h"
#include "figwind/crash_guard.h"
#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

/// A node's report of its own backend server. `sequence` counts the changes
/// within one incarnation of the node; a status with 0 carries no report and
/// requests that of an earlier incarnation.
struct node_report {
  node_id node;
  std::uint64_t sequence = 0;
  failure_domain domain;
  /// False until the backend server has announced itself, and while the node
  /// or the server drains.
  bool accepts_work = false;
  announcement server;
};

/// True if `a` supersedes `b`, a report of the same node.
auto is_newer(const node_report& a, const node_report& b) -> bool;

/// Node to control member: sent at once after a change, and after `interval`.
struct node_status {
  node_report report;
  /// Time until the next status to this member if nothing changes.
  duration interval;
  /// Version of the configuration text that the node holds; 0 for none.
  config_version version;
  /// True if the member should send the text of a newer configuration.
  bool wants_config = false;
  /// True if the member should send changes of the directory.
  bool wants_directory = false;
  std::uint64_t epoch = 0;
  std::uint64_t cursor = 0;
};

struct directory_entry {
  node_report report;
  /// True while the member receives no status from the node.
  bool silent = false;
};

/// Control member to node: the reply to a status, also sent after a change.
struct member_update {
  vm_address member;
  failure_domain domain;
  /// True while the member is in touch with a leader. Its version is then the
  /// newest, except for changes that are being accepted at the moment.
  bool has_leader = false;
  config_version version;
  /// Text of `version` as a patch (`text_patch.h`) of the text of
  /// `config_base`, which is 0 for an empty text. Empty if the node did not
  /// request it or already has it.
  config_version config_base;
  std::string config;
  /// Control members known to the sender.
  std::vector<vm_address> members;
  /// Sequence number of the node's report that the member holds.
  std::uint64_t report_sequence = 0;
  /// Incarnation of the node that the member has for its address.
  incarnation known_start;
  /// Differs for each start of the member; cursors are valid within one epoch.
  std::uint64_t epoch = 0;
  std::uint64_t cursor = 0;
  /// True if `entries` has all changes since the cursor of the node's status.
  /// Otherwise it has at most the report of the node's earlier incarnation.
  bool has_directory = false;
  std::vector<directory_entry> entries;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// What a backend server last stated about itself in an answer.
struct server_notice {
  /// False if no answer is known; the other members mean nothing then.
  bool is_known = false;
  /// The server and the start of its incarnation in Unix ms, as in
  /// `announcement`.
  server_name server;
  std::int64_t born_ms = 0;
  /// True if the server takes at most `max_rate` requests a second from all
  /// nodes together.
  bool is_limited = false;
  double max_rate = 0;
  /// True if the server leaves and takes no new requests.
  bool is_leaving = false;

  friend auto operator==(const server_notice&, const server_notice&)
      -> bool = default;
};

/// Entry node to server node.
struct call_request {
  std::uint64_t call = 0;
  class_name name;
  service_name service;
  server_name server;
  call_chain chain;
  bool idempotent = false;
  duration time_left;
  /// Maximum useful wait in the queue of the server node.
  duration max_queue_wait;
  /// What the entry node was told by the server. A server node that has just
  /// started has not heard the server yet.
  server_notice notice;
  std::string method;
  std::string target;
  header_list headers;
  std::string body;
};

/// How a call ended at the server node.
enum class call_end : std::uint8_t {
  /// The backend server sent a complete response.
  answered,
  /// The call has not run and never will.
  not_run,
  /// The connection to the backend server broke, or its response was invalid.
  broken,
  /// Not an end yet: the backend server is silent while it answers calls that
  /// were sent later, so its answer may be lost, or it is still at work. The
  /// call goes on at the server node until another reply or a `call_cancel`.
  silent,
};

/// Server node to entry node.
struct call_reply {
  std::uint64_t call = 0;
  call_end end = call_end::broken;
  refusal reason = refusal::none;
  /// With `not_run`: true if the backend server itself refused the call.
  bool refused_by_server = false;
  /// With an error response: true if the backend server itself failed, false if
  /// a call that it made failed.
  bool server_failed = false;
  /// True if the call or one downstream found no server.
  bool no_server_found = false;
  /// Number of levels of downstream calls.
  std::int32_t levels_below = 0;
  /// Largest used fraction of the retry budgets of the services at these
  /// levels.
  double retry_budget_used = 0;
  /// Thresholds of this server and of those that the call used, except
  /// thresholds that admit every request.
  std::vector<threshold_report> thresholds;
  /// What the server stated in the answer, or last if the node refused the
  /// call.
  server_notice notice;
  std::int32_t status = 0;
  header_list headers;
  std::string body;
};

/// Entry node to server node: the caller no longer waits for the call.
struct call_cancel {
  std::uint64_t call = 0;
};

/// Sent to the control members by a process that wants to join them.
struct member_hello {
  member_id id;
  vm_address address;
  /// True if a follower forwarded the message to the leader.
  bool forwarded = false;
};

struct link_ping {
  bool is_reply = false;
};

using fleet_message = std::variant<node_status, member_update, call_request,
                                   call_reply, call_cancel, member_hello,
                                   link_ping, consensus_message, crash_report>;

template <class Inspector>
auto inspect(Inspector& f, node_report& x) {
  return f(x.node, x.sequence, x.domain, x.accepts_work, x.server);
}
template <class Inspector>
auto inspect(Inspector& f, node_status& x) {
  return f(x.report, x.interval, x.version, x.wants_config, x.wants_directory,
           x.epoch, x.cursor);
}
template <class Inspector>
auto inspect(Inspector& f, directory_entry& x) {
  return f(x.report, x.silent);
}
template <class Inspector>
auto inspect(Inspector& f, member_update& x) {
  return f(x.member, x.domain, x.has_leader, x.version, x.config_base, x.config,
           x.members, x.report_sequence, x.known_start, x.epoch, x.cursor,
           x.has_directory, x.entries);
}
template <class Inspector>
auto inspect(Inspector& f, server_notice& x) {
  return f(x.is_known, x.server, x.born_ms, x.is_limited, x.max_rate,
           x.is_leaving);
}
template <class Inspector>
auto inspect(Inspector& f, call_request& x) {
  return f(x.call, x.name, x.service, x.server, x.chain, x.idempotent,
           x.time_left, x.max_queue_wait, x.notice, x.method, x.target,
           x.headers, x.body);
}
template <class Inspector>
auto inspect(Inspector& f, call_reply& x) {
  return f(x.call, x.end, x.reason, x.refused_by_server, x.server_failed,
           x.no_server_found, x.levels_below, x.retry_budget_used, x.thresholds,
           x.notice, x.status, x.headers, x.body);
}
template <class Inspector>
auto inspect(Inspector& f, call_cancel& x) {
  return f(x.call);
}
template <class Inspector>
auto inspect(Inspector& f, member_hello& x) {
  return f(x.id, x.address, x.forwarded);
}
template <class Inspector>
auto inspect(Inspector& f, link_ping& x) {
  return f(x.is_reply);
}

}  // namespace figwind
