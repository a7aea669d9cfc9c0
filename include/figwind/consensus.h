// Replicated log with one leader: the Raft consensus algorithm (Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC
// 2014) with the pre-vote, check-quorum and single-member changes of Ongaro's
// thesis (2014).
//
// Startup: open the storage, restore the state machine from the snapshot if
// there is one, and construct `consensus` with everything read. Entries after
// the snapshot are applied once a leader reports that they are committed.
//
// Use each `consensus` object from one thread. After each call, process the
// output in this order:
//   1. pass `output.persist` to the storage; call `on_persisted(batch)` once it
//      is durable, or `on_storage_failed()` on an error;
//   2. send `output.send`;
//   3. apply `output.restore`, then `output.apply`, to the state machine;
//   4. report `output.outcomes` to the callers that wait for them;
//   5. if `compaction_due()`, call `compact` with a snapshot of the state
//      machine and process its output from step 1.
// Messages that depend on a batch are held back until `on_persisted` reports
// the batch, so messages in `send` may be sent at once.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figwind/consensus_messages.h"
#include "figwind/random.h"
#include "figwind/units.h"

namespace figwind {

struct consensus_settings {
  member_id self;
  vm_address address;
  /// Members listed in the settings; used only to form a new cluster.
  std::vector<member> initial_members;
  duration heartbeat_interval = milliseconds(50);
  /// Range of the randomized election timeout of a follower.
  duration election_timeout_min = milliseconds(250);
  duration election_timeout_max = milliseconds(500);
  /// Range of the randomized timeout after a lost election. Shorter than the
  /// election timeout: after a split vote there is no leader whose heartbeat
  /// may be late.
  duration split_vote_timeout_min = milliseconds(60);
  duration split_vote_timeout_max = milliseconds(250);
  /// Range of the randomized timeout of a restarted member after its disk
  /// check, if no leader is known. A few round trips, so that two members
  /// rarely start elections at the same time.
  duration restart_election_timeout_min = milliseconds(10);
  duration restart_election_timeout_max = milliseconds(100);
  /// After a restart, a member asks all other voters to confirm its disk. After
  /// this time the answers of a majority suffice.
  duration disk_check_timeout = seconds(1);
  /// After a restart, until the first contact with a leader, votes go only to
  /// logs at least as long as the longest reported one, for at most this time.
  duration reported_log_timeout = seconds(10);
  /// Maximum size of the entries in one append request. Keeps messages below
  /// 1 MiB.
  std::size_t max_append_bytes = 256U << 10U;
  std::size_t max_chunk_bytes = 64U << 10U;
  /// A longer proposal is split into entries of at most this size.
  std::size_t max_entry_bytes = 128U << 10U;
  /// Maximum size of a proposal; larger than every state that the caller
  /// accepts.
  std::size_t max_proposal_bytes = 512U << 10U;
  /// Compaction is due once the log reaches either size. Replaying 1,000
  /// changes at startup takes about 70 ms.
  std::size_t compaction_entries = 1000;
  std::size_t compaction_bytes = 8U << 20U;
};

/// State that must survive a restart, besides the entries and the snapshot.
struct hard_state {
  log_term term = 0;
  member_id voted_for;
  disk_generation generation;
  /// Initial members that this disk agreed to; cleared once the cluster is
  /// formed.
  membership initial_members;
  /// True if this disk must not form a cluster because one exists already.
  bool joins_only = false;

  friend auto operator==(const hard_state&, const hard_state&)
      -> bool = default;
};

/// Contents of the storage at startup; all empty for an empty disk.
struct durable_state {
  hard_state state;
  std::optional<log_snapshot> snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<log_entry> entries;
};

/// Unit of durable work: after a crash, either all of it is stored or none.
struct persist_batch {
  /// Sequence number, acknowledged by `on_persisted`.
  std::uint64_t number = 0;
  std::optional<hard_state> state;
  /// If set, `state` is set too, and `state` and `entries` replace the whole
  /// log.
  std::optional<log_snapshot> snapshot;
  /// Entries to append. The first one replaces the stored entry with the same
  /// index and all later entries.
  std::vector<log_entry> entries;
};

struct member_message {
  member_id to;
  /// Last known address of `to`; empty if unknown.
  vm_address address;
  consensus_message message;
};

/// Outcome of a pending proposal.
struct proposal_outcome {
  log_index index = 0;
  /// False if leadership was lost first. The proposal may still be committed:
  /// resend it with the same request id to get the outcome.
  bool committed = false;
};

enum class member_role : std::uint8_t {
  follower,
  pre_candidate,
  candidate,
  leader,
};

/// State of a member: whether it may vote, and otherwise why not.
enum class member_state : std::uint8_t {
  /// New disk; waits until all initial members agree to form the cluster.
  forming,
  /// Restarted; asks the other members to confirm its disk.
  checking_disk,
  /// Disk lost or rolled back, or not a member; waits for admission.
  awaiting_admission,
  /// Receives the log but does not vote.
  learner,
  voter,
  /// The storage failed; neither votes nor commits until a restart.
  stopped,
};

auto to_string(member_role x) -> std::string;
auto to_string(member_state x) -> std::string;

/// Change of leadership as observed by this member.
struct leadership_change {
  log_term term = 0;
  /// 0 if no leader is known.
  member_id leader;
  /// True if this member was the leader and lost contact with the majority.
  bool lost_quorum = false;
};

struct consensus_output {
  std::optional<persist_batch> persist;
  std::vector<member_message> send;
  std::optional<log_snapshot> restore;
  /// Committed entries in log order. A split command is one entry with the
  /// index of its last part.
  std::vector<log_entry> apply;
  std::vector<proposal_outcome> outcomes;
  std::vector<leadership_change> leadership_changes;
};

enum class proposal_status : std::uint8_t {
  /// Appended to the leader's log; `outcomes` reports the outcome by index.
  pending,
  not_leader,
  too_large,
  /// Another membership change is in progress, or the leader has not committed
  /// an entry of its own term yet.
  busy,
  /// The member to remove does not exist, or the member to add exists already.
  invalid_member,
};

struct proposal {
  proposal_status status = proposal_status::not_leader;
  log_index index = 0;
  consensus_output output;
};

class consensus {
 public:
  consensus(consensus_settings settings, durable_state from_disk,
            random_source random, time_point now);

  /// Call about every 10 ms.
  auto tick(time_point now) -> consensus_output;
  auto receive(const consensus_message& message, time_point now)
      -> consensus_output;
  /// Reports that all batches up to `batch` are durable.
  auto on_persisted(std::uint64_t batch) -> consensus_output;
  /// Reports that a batch could not be made durable; the object stays stopped.
  auto on_storage_failed() -> consensus_output;

  /// Appends `bytes` to the log, in several entries if necessary. The index of
  /// the proposal is that of the last one. Leader only.
  auto propose(std::string bytes) -> proposal;
  /// Adds a learner that becomes a voter once it holds all committed entries.
  /// Then removes `replaces`, unless it is 0. Leader only.
  auto add_member(member_id id, const vm_address& address, member_id replaces)
      -> proposal;
  /// Removes a member. Leader only.
  auto remove_member(member_id id) -> proposal;
  /// Prepares for the end of the process: this member starts no more elections.
  /// A leader hands over to a voter that holds its whole log, once all
  /// proposals are committed; until then nothing happens, and the call has to
  /// be repeated. The member still votes.
  auto resign() -> consensus_output;
  /// Replaces the log up to `applied_index()` by a snapshot with `state`.
  auto compact(std::string state) -> consensus_output;

  auto role() const -> member_role { return role_; }
  auto state() const -> member_state;
  auto term() const -> log_term { return state_.term; }
  auto generation() const -> disk_generation { return state_.generation; }
  /// The known leader, or 0.
  auto leader() const -> member_id { return leader_; }
  auto applied_index() const -> log_index { return applied_index_; }
  auto last_index() const -> log_index;
  auto snapshot_index() const -> log_index;
  /// True if `compact` should be called.
  auto compaction_due() const -> bool;
  /// The membership in force; empty before the cluster is formed.
  auto members() const -> const membership&;
  /// Time of the last reply of the member `id` to this leader; far in the past
  /// if there was none. Valid at the leader only.
  auto last_reply(member_id id) const -> time_point;
  /// Time since which `leader()` has had its present value.
  auto leader_since() const -> time_point { return leader_since_; }
  /// Time of the last message of the leader to this follower.
  auto last_leader_contact() const -> time_point {
    return last_leader_contact_;
  }
  /// Address of `id` with the agreed disk; empty if unknown.
  auto address_of(member_id id) const -> vm_address;

 private:
  struct follower_state {
    log_index next_index = 1;
    log_index acknowledged = 0;
    time_point last_reply;
    bool sending_snapshot = false;
    std::uint64_t snapshot_offset = 0;
    time_point last_chunk;
    log_index last_retry_index = 0;
    time_point last_retry;
  };
  struct disk_progress {
    disk_generation generation;
    log_index acknowledged = 0;
  };
  struct reported_disk {
    disk_generation generation;
    vm_address address;
  };
  struct deferred_message {
    std::uint64_t batch = 0;
    member_message out;
  };
  struct issued_batch {
    std::uint64_t batch = 0;
    log_index last_index = 0;
    log_term self_vote_term = 0;
  };
  struct membership_entry {
    log_index index = 0;
    membership members;
  };
  struct incoming_snapshot {
    log_index index = 0;
    member_id from;
    log_term term = 0;
    std::string bytes;
  };

  // consensus.cc: state, log and output.
  auto header() const -> message_header;
  auto take_output() -> consensus_output;
  void release_deferred();
  void send(member_id to, consensus_message message);
  void send_after_persist(member_id to, consensus_message message);
  auto entry_at(log_index index) const -> const log_entry&;
  auto term_at(log_index index) const -> log_term;
  auto last_term() const -> log_term { return term_at(last_index()); }
  void append_entry(log_entry entry);
  void truncate_from(log_index index);
  auto end_of_command(log_index first) const -> log_index;
  auto joined_command(log_index first, log_index last) const -> log_entry;
  void apply_committed();
  void reset_to_snapshot(log_snapshot snapshot);
  void become_follower(log_term term, member_id leader, bool isolated);
  void set_leader(member_id leader, bool isolated);
  void fail_pending_proposals();
  auto is_from_agreed_disk(const message_header& h) const -> bool;
  auto is_active_voter() const -> bool;
  auto may_grant_vote() const -> bool;
  auto may_campaign() const -> bool;
  auto is_voter_in(const membership& all) const -> bool;
  auto has_live_leader() const -> bool;
  void reset_election_timer();
  void set_election_timer(duration min_wait, duration max_wait);
  void dispatch(const consensus_message& message);
  void reject_stale_term(const consensus_message& message);
  auto members_at(log_index index) const -> const membership&;

  // consensus_election.cc
  void start_pre_vote();
  void start_election();
  void request_votes(bool pre_vote, log_term election_term);
  void count_votes();
  void become_leader();
  [[nodiscard]] auto find_successor() const -> member_id;
  auto is_up_to_date(log_term term, log_index index) const -> bool;
  void handle(const vote_request& m);
  void handle(const vote_reply& m);
  void handle(const leader_resignation& m);
  void note_resignation(const vote_request& m);
  void forget_leader();
  [[nodiscard]] auto is_from_resigned_leader(const consensus_message& m) const
      -> bool;

  // consensus_replication.cc
  void tick_leader();
  auto has_quorum() const -> bool;
  void start_snapshot_transfer(member_id to);
  void follow_leader(const message_header& h);
  auto matches_log(const append_request& m) const -> bool;
  auto last_possible_match(const append_request& m) const -> log_index;
  void store_entries(const append_request& m);
  void install_snapshot(const log_snapshot& snapshot);
  auto check_sender_disk(const message_header& h) -> bool;
  void resend_from(member_id to, log_index index);
  void send_entries(member_id to, bool heartbeat);
  void send_snapshot_chunk(member_id to);
  void advance_commit();
  void advance_membership_change();
  auto append_as_leader(entry_kind kind, std::string bytes) -> log_index;
  auto propose_membership(membership next) -> log_index;
  auto finish_replacement() -> bool;
  auto admit_new_disk() -> bool;
  auto admit(member& recorded, const reported_disk& disk) const -> bool;
  auto promote_learner() -> bool;
  auto may_change_members() const -> bool;
  void handle(const append_request& m);
  void handle(const append_reply& m);
  void handle(const snapshot_chunk& m);
  void handle(const snapshot_reply& m);

  // consensus_identity.cc
  [[nodiscard]] auto own_identity_request() const -> identity_request;
  void send_identity_requests();
  void agree_initial_members();
  void form_cluster(const membership& initial);
  void assign_new_generation();
  void confirm_disk();
  void forbid_forming();
  void finish_disk_check_if_complete();
  void request_admission(const identity_request& m);
  void handle(const identity_request& m);
  void handle(const identity_reply& m);
  void record_progress(member_id id, disk_generation g, log_index index);
  auto acknowledged_by(member_id id, disk_generation g) const -> log_index;

  consensus_settings settings_;
  random_source random_;
  time_point now_;
  hard_state state_;
  bool state_changed_ = false;
  bool stopped_ = false;
  // True once `resign` was called.
  bool resigned_ = false;
  // True until the other members have confirmed the disk.
  bool checking_disk_ = false;
  time_point disk_check_started_;
  // Last entry of the longest log reported during the disk check. A disk that
  // was rolled back undetected must not help a shorter log to win.
  log_index longest_log_index_ = 0;
  log_term longest_log_term_ = 0;
  // Highest term in which a rolled-back disk may have voted already.
  log_term max_prior_vote_term_ = 0;

  std::optional<log_snapshot> snapshot_;
  std::string encoded_snapshot_;
  std::vector<log_entry> log_;
  std::size_t log_bytes_ = 0;
  std::vector<membership_entry> membership_entries_;
  log_index commit_index_ = 0;
  log_index applied_index_ = 0;
  log_index durable_index_ = 0;

  member_role role_ = member_role::follower;
  member_id leader_;
  time_point leader_since_;
  time_point last_leader_contact_;
  time_point election_due_;
  time_point heartbeat_due_;
  time_point identity_due_;
  std::set<member_id> votes_;
  /// Leader that has resigned in favor of this member; 0 for none.
  member_id resigned_leader_;
  /// Last term whose leader is known to have resigned. What it sent before may
  /// arrive later, and must not make it the leader again.
  log_term resigned_term_ = 0;
  log_term durable_self_vote_term_ = 0;
  std::map<member_id, follower_state> followers_;
  std::map<member_id, disk_progress> disk_progress_;
  std::map<member_id, reported_disk> joining_disks_;
  std::map<member_id, reported_disk> reported_disks_;
  std::map<member_id, identity_request> new_member_requests_;
  std::set<member_id> confirmed_by_;
  /// Voters that answer with another disk than the agreed one.
  std::set<member_id> lost_disks_;
  std::set<log_index> pending_proposals_;
  int progress_countdown_ = 0;
  std::optional<incoming_snapshot> incoming_snapshot_;

  std::uint64_t last_issued_batch_ = 0;
  std::uint64_t last_persisted_batch_ = 0;
  std::optional<log_index> first_unpersisted_;
  bool snapshot_changed_ = false;
  std::vector<member_message> next_batch_messages_;
  std::deque<deferred_message> deferred_messages_;
  std::deque<issued_batch> issued_batches_;
  consensus_output output_;
};

}  // namespace figwind
