// Decision logic of one control member that serves a fleet of nodes: consensus
// on the desired state, the directory of nodes, and membership changes.
//
// The desired state is one text, labeled by the operator with increasing
// numbers. Changes and reads pass through the log, so that neither an isolated
// leader nor a restarted member returns an outdated state or refuses an
// accepted change.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figwind/config_store.h"
#include "figwind/consensus.h"
#include "figwind/fleet_directory.h"
#include "figwind/fleet_messages.h"
#include "figwind/outgoing.h"

namespace figwind {

/// Number that the operator assigns to a desired state; 0 before the first one.
using desired_label = strong_type<struct desired_label_tag, std::uint64_t>;

struct desired_state {
  desired_label label;
  std::string text;
};

/// A change of the desired state by an operator.
struct desired_change {
  /// The same for all resends, and unique to this change.
  request_id id;
  /// Label of the desired state from which this one was derived.
  desired_label base_label;
  desired_state new_state;
};

/// Identifies a pending read or change at this member.
using member_ticket = std::uint64_t;

enum class desired_status : std::uint8_t {
  /// The change was accepted, or the read has completed.
  done,
  /// The label in force is not the base label of the change.
  conflict,
  /// The new label is not above the label in force.
  stale_label,
  too_large,
  /// The outcome is unknown: leadership was lost, the storage failed, or the
  /// same change is in progress.
  unknown,
};

auto to_string(desired_status x) -> std::string;

struct desired_reply {
  member_ticket ticket = 0;
  desired_status status = desired_status::unknown;
  /// The state in force at the time of the reply; for a read, the newest one.
  desired_state current;
};

/// Reports of nodes with drained servers, to be saved with `save_drains` in
/// place of those before.
struct drain_batch {
  std::uint64_t number = 0;
  std::vector<node_report> reports;
};

/// Actions for the caller. `persist` comes first; `on_persisted` returns the
/// rest once it is durable.
struct member_output {
  std::vector<persist_batch> persist;
  /// Set at most once until `on_drains_saved` is called.
  std::optional<drain_batch> drains;
  std::vector<outgoing<fleet_message>> messages;
  std::vector<desired_reply> replies;
  std::vector<leadership_change> leadership_changes;
  /// Members added or removed by this leader, as text for the event log.
  std::vector<std::string> membership_changes;
};

struct fleet_member_options {
  consensus_settings consensus;
  failure_domain domain;
  node_directory_options directory;
  /// A voter that is silent for longer is replaced as soon as a new member asks
  /// to join. A learner that is silent for longer is removed, as no other
  /// member can join before it is a voter.
  duration replace_silent_after = milliseconds(1500);
  /// A voter that is silent for longer is removed if at least three voters
  /// remain: while it counts, the members that are left bear fewer losses. A
  /// process that was killed returns sooner; a member that returns later joins
  /// again.
  duration remove_silent_after = seconds(5);
  /// Time between two hello messages to each peer; a process that wants to join
  /// repeats its request with them.
  duration hello_period = milliseconds(500);
  /// A voter that is silent for longer may have to be replaced soon. No member
  /// is added until that is decided.
  duration suspect_after = milliseconds(300);
  /// A follower without contact to its leader for longer may be isolated.
  duration leader_timeout = milliseconds(500);
  /// The version of a follower counts as current once the leader has been known
  /// for longer, which is some heartbeats.
  duration min_leader_age = milliseconds(300);
  std::uint64_t seed = 0;
};

class fleet_member {
 public:
  fleet_member(fleet_member_options options, const durable_state& from_disk,
               time_point now);

  /// Call about every 10 ms.
  auto tick(time_point now) -> member_output;

  auto on_message(const fleet_message& message, time_point now)
      -> member_output;

  /// A link to `peer` was opened. What was sent to it before is lost.
  auto on_reachable(const vm_address& peer) -> member_output;

  auto on_persisted(std::uint64_t batch) -> member_output;

  /// Takes reports that were saved before the start.
  void restore_drains(const std::vector<node_report>& reports, time_point now);
  /// The reports of a `drain_batch`, at any time.
  [[nodiscard]] auto drains() const -> std::vector<node_report> {
    return directory_.drains();
  }
  /// The batch is durable, or could not be saved. A node learns that this
  /// member holds its report of a drain only once it is durable.
  auto on_drains_saved(std::uint64_t batch, bool is_durable, time_point now)
      -> member_output;
  auto on_storage_failed() -> member_output;

  /// Starts a change. The reply is part of a later output. Leader only.
  auto change(const desired_change& change, member_output& out)
      -> member_ticket;

  /// Starts a read of the newest desired state. Leader only.
  auto read(member_output& out) -> member_ticket;

  /// Prepares for the end of the process: no read or change is started any
  /// more, and a leader hands over once those in progress have their replies.
  void resign() { resigning_ = true; }
  /// True if the change with this id was accepted, in force at this member or
  /// earlier.
  [[nodiscard]] auto has_accepted(const request_id& id) const -> bool;

  /// Further addresses of possible control members, from the settings.
  void set_seeds(std::vector<vm_address> seeds) { seeds_ = std::move(seeds); }

  [[nodiscard]] auto is_leader() const -> bool {
    return consensus_.role() == member_role::leader;
  }
  /// Address of the leader; empty if unknown.
  [[nodiscard]] auto leader_address() const -> vm_address;
  [[nodiscard]] auto replicated_log() const -> const consensus& {
    return consensus_;
  }
  [[nodiscard]] auto version() const -> config_version { return version_; }
  [[nodiscard]] auto node_count() const -> std::size_t { return nodes_.size(); }
  /// Known addresses of all other control members.
  [[nodiscard]] auto peers() const -> std::vector<vm_address>;

 private:
  struct node_entry {
    node_status status;
    time_point last_status;
    bool update_due = true;
  };
  struct pending_request {
    member_ticket ticket = 0;
    std::optional<desired_change> change;
  };
  struct hello_sender {
    vm_address address;
    time_point last_hello;
  };

  void append_output(member_output& out, consensus_output from);
  void apply(const log_entry& entry, member_output& out);
  void load_desired_state();
  void complete_request(const proposal_outcome& x, member_output& out);
  void propose_change(const pending_request& x, member_output& out);
  void reply(member_ticket ticket, desired_status status, member_output& out);
  void fail_pending_requests(member_output& out);
  auto start_request(std::optional<desired_change> change, member_output& out)
      -> member_ticket;
  void send_hellos(time_point now, member_output& out);
  void adjust_membership(time_point now, member_output& out);
  void push_updates(time_point now, member_output& out);
  void save_drains(time_point now, member_output& out);
  auto make_update(node_entry& node, time_point now) -> member_update;
  void add_config(config_version held, member_update& out);
  [[nodiscard]] auto address_of(member_id id) const -> vm_address;
  [[nodiscard]] auto is_current(time_point now) const -> bool;
  /// Returns the first member that has been silent for longer; 0 if none.
  [[nodiscard]] auto silent_member(bool is_voter, time_point now,
                                   duration limit) const -> member_id;
  /// Removes the member, and forgets its request to join: it may have sent that
  /// before it was lost.
  void remove_silent(member_id id, member_output& out);

  void handle(const node_status& m, time_point now, member_output& out);
  void handle(const member_hello& m, time_point now, member_output& out);
  void handle(const consensus_message& m, time_point now, member_output& out);

  fleet_member_options options_;
  random_source random_;
  consensus consensus_;
  config_store store_;
  node_directory directory_;
  config_version version_;
  desired_state current_;
  /// Patches of the text in force, made when the first node needs them: from
  /// the version before it, and from nothing.
  std::string previous_text_;
  std::string patch_of_previous_;
  std::string patch_of_nothing_;
  std::vector<vm_address> seeds_;
  std::map<vm_address, node_entry> nodes_;
  std::map<member_id, hello_sender> hello_senders_;
  std::map<log_index, pending_request> pending_requests_;
  /// Proposed changes in the log, by request id.
  std::map<request_id, member_ticket> proposed_changes_;
  member_ticket last_ticket_ = 0;
  time_point next_hello_;
  time_point next_push_;
  /// Bytes of configurations sent to nodes since the last push.
  std::size_t pushed_bytes_ = 0;
  /// Last drain in the directory that is durable.
  std::uint64_t saved_drain_ = 0;
  bool is_saving_drains_ = false;
  time_point next_drain_save_;
  bool was_current_ = false;
  bool resigning_ = false;
};

}  // namespace figwind
