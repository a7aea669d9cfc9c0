// Members, log entries and messages of the replicated log in consensus.h, with
// the encodings of the durable ones.

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "figwind/finding.h"
#include "figwind/ids.h"

namespace figwind {

/// Id of a control member, equal to `control_member::id`; 0 for none.
using member_id = strong_type<struct member_id_tag, std::uint64_t>;

/// Identity of one disk of a member: a random number, never 0, drawn when the
/// data folder is empty.
using disk_generation = strong_type<struct disk_generation_tag, std::uint64_t>;

using log_index = std::uint64_t;
using log_term = std::uint64_t;

/// A member as recorded in the log.
struct member {
  member_id id;
  vm_address address;
  /// Disk whose votes and acknowledgements count; 0 until known.
  disk_generation generation;
  /// False for a learner, which receives the log but counts in no majority.
  bool voter = false;
  /// Member to remove once this one is a voter; 0 for none.
  member_id replaces;

  friend auto operator==(const member&, const member&) -> bool = default;
};

/// All members. The last membership in the log is in force.
struct membership {
  std::vector<member> members;

  friend auto operator==(const membership&, const membership&)
      -> bool = default;
};

auto find_member(const membership& all, member_id id) -> const member*;
auto voter_count(const membership& all) -> std::size_t;
/// Number of voters needed to commit an entry: more than half.
auto majority(const membership& all) -> std::size_t;

enum class entry_kind : std::uint8_t {
  /// First entry of a new leader in its term; has no bytes.
  term_start,
  /// A command for the state machine.
  command,
  /// An encoded `membership`.
  members,
  /// Leading part of the command that ends with the next `command` of the same
  /// term. Without such an entry after it, it has no effect.
  command_part,
};

struct log_entry {
  log_index index = 0;
  log_term term = 0;
  entry_kind kind = entry_kind::term_start;
  std::string bytes;

  friend auto operator==(const log_entry&, const log_entry&) -> bool = default;
};

/// State of the state machine after the entry `index`, and the membership at
/// that point.
struct log_snapshot {
  log_index index = 0;
  log_term term = 0;
  membership members;
  std::string state;

  friend auto operator==(const log_snapshot&, const log_snapshot&)
      -> bool = default;
};

auto encode(const membership& x) -> std::string;
auto decode_membership(const std::string& bytes) -> result<membership>;
auto encode(const log_snapshot& x) -> std::string;
auto decode_snapshot(const std::string& bytes) -> result<log_snapshot>;

/// First field of each message.
struct message_header {
  member_id from;
  disk_generation generation;
  log_term term = 0;
};

/// Requests a vote or, if `pre_vote` is set, asks whether the vote would be
/// granted.
struct vote_request {
  message_header header;
  /// Term of the election; in a pre-vote one above the term in the header.
  log_term election_term = 0;
  log_index last_index = 0;
  log_term last_term = 0;
  bool pre_vote = false;
  /// Leader of the term before the election that has resigned in favor of the
  /// sender; 0 for none. The request may overtake the resignation.
  member_id resigned_leader = {};
};

struct vote_reply {
  message_header header;
  log_term election_term = 0;
  bool granted = false;
  bool pre_vote = false;
};

/// Highest index that a member has acknowledged to its leader.
struct member_progress {
  member_id id;
  disk_generation generation;
  log_index acknowledged = 0;
};

/// Entries after `previous_index`; a heartbeat if there are none.
struct append_request {
  message_header header;
  log_index previous_index = 0;
  log_term previous_term = 0;
  log_index commit_index = 0;
  std::vector<log_entry> entries;
  std::vector<member_progress> progress;
};

struct append_reply {
  message_header header;
  bool success = false;
  /// If successful, entries up to `index` are durable. Otherwise the last index
  /// at which the log may match the leader's log.
  log_index index = 0;
  /// Last entry on the disk of the sender.
  log_index last_index = 0;
  /// True if the sender has no membership yet and needs the snapshot.
  bool needs_snapshot = false;
};

/// Part of an encoded `log_snapshot`.
struct snapshot_chunk {
  message_header header;
  log_index index = 0;
  std::uint64_t offset = 0;
  std::uint64_t total_bytes = 0;
  std::string bytes;
};

struct snapshot_reply {
  message_header header;
  log_index index = 0;
  /// Next byte to send; `total_bytes` once the snapshot is durable.
  std::uint64_t offset = 0;
};

/// Sent by a member that may not vote yet, to ask for the recorded state of its
/// disk.
struct identity_request {
  message_header header;
  vm_address address;
  /// True if the disk holds no membership.
  bool is_new = false;
  /// Initial members that this new member agreed to; empty before that.
  membership initial_members;
  log_index last_index = 0;
  /// True if a member that is not the leader forwarded the request to the
  /// leader.
  bool forwarded = false;
};

struct identity_reply {
  message_header header;
  /// Generation in the request.
  disk_generation asked_generation;
  /// Generation in the log for the requesting member; 0 for none.
  disk_generation agreed_generation;
  /// Highest committed index that the requesting disk has acknowledged.
  log_index acknowledged = 0;
  /// Last entry of the answering member.
  log_index last_index = 0;
  log_term last_term = 0;
};

/// Sent by a leader that stops to lead, so that the others elect a new one
/// without waiting for the election timeout.
struct leader_resignation {
  message_header header;
  /// Member that holds the whole log and starts the election at once.
  member_id successor;
};

using consensus_message =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, identity_request,
                 identity_reply, leader_resignation>;

auto header_of(const consensus_message& x) -> const message_header&;

template <class Inspector>
auto inspect(Inspector& f, member& x) {
  return f(x.id, x.address, x.generation, x.voter, x.replaces);
}
template <class Inspector>
auto inspect(Inspector& f, membership& x) {
  return f(x.members);
}
template <class Inspector>
auto inspect(Inspector& f, log_entry& x) {
  return f(x.index, x.term, x.kind, x.bytes);
}
template <class Inspector>
auto inspect(Inspector& f, message_header& x) {
  return f(x.from, x.generation, x.term);
}
template <class Inspector>
auto inspect(Inspector& f, vote_request& x) {
  return f(x.header, x.election_term, x.last_index, x.last_term, x.pre_vote,
           x.resigned_leader);
}
template <class Inspector>
auto inspect(Inspector& f, vote_reply& x) {
  return f(x.header, x.election_term, x.granted, x.pre_vote);
}
template <class Inspector>
auto inspect(Inspector& f, member_progress& x) {
  return f(x.id, x.generation, x.acknowledged);
}
template <class Inspector>
auto inspect(Inspector& f, append_request& x) {
  return f(x.header, x.previous_index, x.previous_term, x.commit_index,
           x.entries, x.progress);
}
template <class Inspector>
auto inspect(Inspector& f, append_reply& x) {
  return f(x.header, x.success, x.index, x.last_index, x.needs_snapshot);
}
template <class Inspector>
auto inspect(Inspector& f, snapshot_chunk& x) {
  return f(x.header, x.index, x.offset, x.total_bytes, x.bytes);
}
template <class Inspector>
auto inspect(Inspector& f, snapshot_reply& x) {
  return f(x.header, x.index, x.offset);
}
template <class Inspector>
auto inspect(Inspector& f, identity_request& x) {
  return f(x.header, x.address, x.is_new, x.initial_members, x.last_index,
           x.forwarded);
}
template <class Inspector>
auto inspect(Inspector& f, identity_reply& x) {
  return f(x.header, x.asked_generation, x.agreed_generation, x.acknowledged,
           x.last_index, x.last_term);
}
template <class Inspector>
auto inspect(Inspector& f, leader_resignation& x) {
  return f(x.header, x.successor);
}

}  // namespace figwind
