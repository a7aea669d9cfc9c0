// A node's view of the servers that it calls, and its heartbeats.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "figwind/ids.h"
#include "figwind/membership_messages.h"
#include "figwind/outgoing.h"
#include "figwind/random.h"
#include "figwind/registry.h"
#include "figwind/units.h"

namespace figwind {

/// Intervals and timeouts of a node view; the defaults are those of the design
/// page.
struct node_view_options {
  duration heartbeat_interval = seconds(1);
  /// Time without a reply after which a control member is silent. Allows for
  /// two lost heartbeats, so that the third one of a lease reaches another
  /// member.
  duration member_timeout = milliseconds(1900);
  /// Time between attempts to return to a home member.
  duration home_retry_interval = seconds(10);
  /// How long a reply of a server counts as evidence that it serves.
  duration evidence_lifetime = milliseconds(2500);
  /// Time without a reply of any control member after which the node is
  /// isolated.
  duration isolation_timeout = seconds(5);
  /// Full lists are requested again at a random time within this span.
  duration list_request_jitter = seconds(5);
};

/// A server that may be called.
struct usable_server {
  server_record server;
  /// False if the server's domain is silent at the control member and the
  /// server itself has not replied recently; prefer other servers.
  bool confirmed = true;
};

/// Result of a reply of a control member.
struct reply_effect {
  /// Next heartbeats, if the member has more data to send.
  std::vector<outgoing<heartbeat>> heartbeats;
  /// Configurations to put in force, in this order; the caller calls
  /// `note_in_force` for each that it has put in force.
  std::vector<config_record> configs;
  std::vector<group_update> groups;
};

/// The view of one node. `members` lists all control members; those in the
/// node's domain are its home members.
class node_view {
 public:
  node_view(server_record self, std::vector<member_location> members,
            node_view_options options, random_source random);

  /// Servers of `service` that may get new work at `now`. For a service that
  /// was not requested before, the list is empty and `has_list` is false until
  /// the next reply: a first call waits one round trip to a control member.
  auto servers(const service_name& service, time_point now)
      -> std::vector<usable_server>;

  /// True if the first list of `service` has arrived. A call to a service
  /// without a list waits for it; `on_tick` then sends a heartbeat at once.
  [[nodiscard]] auto has_list(const service_name& service) const -> bool;

  /// Processes a reply of `server`; `draining` is the state that the reply
  /// reports.
  void on_server_answer(const node_id& server, time_point now, bool draining);

  /// Sets the state of the node's own backend server; the next `on_tick`
  /// announces it at once. A drain is final for an incarnation of the node:
  /// afterwards only `gone` is accepted.
  void announce(server_state state, std::uint32_t slots,
                std::uint32_t connections);

  /// Sets the service of the node's own backend server, known once that server
  /// has announced itself.
  void set_service(const service_name& service) {
    heartbeat_due_ = heartbeat_due_ || self_.service != service;
    self_.service = service;
  }

  /// True if the node's own backend server accepts new work.
  [[nodiscard]] auto accepts_work() const -> bool {
    return self_.state == server_state::serving;
  }

  /// Returns the heartbeats that are due: every second, and at once after
  /// `announce` or `servers` of a new service. Call it about 20 times a second
  /// and after both.
  auto on_tick(time_point now) -> std::vector<outgoing<heartbeat>>;

  auto on_reply(const heartbeat_reply& reply, time_point now) -> reply_effect;

  /// Records that a configuration was put in force.
  void note_in_force(config_version version);

  [[nodiscard]] auto version() const -> config_version { return version_; }

  /// True if a control member has replied at least once.
  [[nodiscard]] auto ready() const -> bool { return has_reply_; }

  /// True if no control member has replied for `isolation_timeout`; the node
  /// keeps serving with its last lists.
  [[nodiscard]] auto isolated(time_point now) const -> bool;

  /// Control address of the member in use, and of the leader if known.
  [[nodiscard]] auto current_member() const -> vm_address;
  [[nodiscard]] auto leader() const -> vm_address { return leader_; }

 private:
  struct known_server {
    server_record server;
    std::uint64_t generation = 0;
    bool listed = true;
    /// True if the server reported that it drains, or a later incarnation
    /// replied.
    bool retired = false;
    bool has_answered = false;
    time_point last_answer;
  };
  struct known_service {
    std::uint64_t cursor = 0;
    std::uint64_t generation = 0;
    bool has_list = false;
    /// True if all changes of this generation up to the last reply have
    /// arrived.
    bool complete = false;
    time_point request_at;
    std::map<vm_address, known_server> servers;
  };

  auto make_heartbeat(time_point now) -> heartbeat;
  void check_member(time_point now);
  void use_member(std::size_t index, time_point now);
  void return_home(time_point now);
  [[nodiscard]] auto is_home(const vm_address& member) const -> bool;
  void collect_updates(const heartbeat_reply& reply, reply_effect& out);
  void enter_epoch(std::uint64_t epoch, time_point now);
  void apply_changes(const service_changes& changes, time_point now);
  void merge(known_service& service, const server_record& update);
  void purge(time_point now);
  auto usable(const known_server& x, time_point now) const -> bool;
  auto has_evidence(const known_server& x, time_point now) const -> bool;
  auto is_silent(const failure_domain& domain) const -> bool;

  server_record self_;
  /// Home members first, then the others by rendezvous hash.
  std::vector<member_location> members_;
  std::size_t home_count_ = 0;
  std::size_t member_index_ = 0;
  node_view_options options_;
  random_source random_;
  std::map<service_name, known_service> services_;
  std::unordered_map<vm_address, service_name> service_by_address_;
  std::vector<failure_domain> silent_domains_;
  vm_address leader_;
  config_version version_;
  config_version received_version_;
  std::uint64_t groups_version_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t newest_reply_sequence_ = 0;
  bool heartbeat_due_ = true;
  bool drain_announced_ = false;
  bool has_reply_ = false;
  time_point last_reply_;
  time_point last_member_reply_;
  time_point next_heartbeat_;
  time_point next_home_probe_;
  bool started_ = false;
};

}  // namespace figwind
