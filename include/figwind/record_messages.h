// Messages and records of at-most-once execution.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figwind/call.h"
#include "figwind/ids.h"

namespace figwind {

/// The three recorders of a share of one domain's keys, as stored in the
/// replicated configuration.
struct recorder_group {
  failure_domain domain;
  std::uint32_t index = 0;
  /// Position in the replicated configuration; a lower version never replaces a
  /// higher one. Set by the reader of the record.
  std::uint64_t version = 0;
  /// Changes with each change of `recorders`.
  std::uint64_t epoch = 0;
  std::vector<node_id> recorders;
  /// The recorder that took over the keys for this epoch; the address is empty
  /// if the epoch started without keys.
  node_id joined;
  /// Recorder that is to join and the one it replaces; the addresses are empty
  /// if no change is in progress.
  node_id joining;
  node_id leaving;
  /// Keys created before this time, in Unix ms, are refused: an epoch whose
  /// memory is lost may have recorded them.
  double min_creation_ms = 0;

  friend auto operator==(const recorder_group&, const recorder_group&)
      -> bool = default;
};

/// One attempt to run the request of a key, by one incarnation of a server
/// node.
struct attempt_id {
  node_id node;
  std::uint64_t number = 0;

  friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// How a keyed request ended.
struct key_outcome {
  call_status status = call_status::unknown;
  /// True if `answer` is the complete response of the backend server.
  bool has_answer = false;
  std::string answer;

  friend auto operator==(const key_outcome&, const key_outcome&)
      -> bool = default;
};

enum class record_step : std::uint8_t {
  /// Requests the vote for an attempt.
  begin,
  /// Records the outcome of an attempt that ran.
  finish,
  /// Returns the vote: the attempt has not run and will not.
  release,
};

/// Server node to recorder.
struct record_request {
  record_step step = record_step::begin;
  /// Index among the groups of the key's domain.
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;
  /// The incarnation of the recorder that the request is for.
  node_id recorder;
  attempt_id attempt;
  request_key key;
  /// With `finish`.
  key_outcome outcome;
  /// With `finish` and `release`: the backend server crashed on the attempt.
  bool crashed = false;
};

enum class record_answer : std::uint8_t {
  /// The recorder votes for this attempt, or has recorded the step.
  granted,
  /// The recorder voted for another attempt, whose outcome it does not have.
  elsewhere,
  /// The key is done with the outcome in the reply.
  done,
  /// The recorder is not part of this epoch, or has sealed it.
  wrong_epoch,
  /// The key is older than the retention, or older than the memory of the
  /// group.
  expired,
  /// The key is malformed or too far in the future.
  bad_key,
  /// No memory is left for new keys.
  full,
  /// The request crashed servers twice.
  crashes,
};

/// Recorder to server node.
struct record_reply {
  record_step step = record_step::begin;
  node_id recorder;
  std::uint64_t epoch = 0;
  attempt_id attempt;
  record_answer answer = record_answer::granted;
  key_outcome outcome;
};

/// State of one key at a recorder, as transferred to a joining recorder.
struct key_entry {
  request_key key;
  /// Attempt that has the vote; the node's address is empty if there is none.
  attempt_id attempt;
  /// True if votes for different attempts were found: no attempt can get a
  /// majority any more.
  bool blocked = false;
  bool done = false;
  key_outcome outcome;
  /// Released attempts; their late requests are refused.
  std::vector<attempt_id> released;
  /// Attempts that crashed a backend server.
  std::vector<attempt_id> crashed;
};

/// Joining recorder to the recorders of the old epoch: seal the epoch and send
/// the keys after `after`.
struct seal_request {
  failure_domain domain;
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;
  node_id recorder;
  node_id joining;
  request_key after;
};

/// A page of keys, sent only by a recorder that has sealed the epoch.
struct seal_reply {
  failure_domain domain;
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;
  node_id recorder;
  request_key after;
  bool last = false;
  std::vector<key_entry> entries;
};

/// Joining recorder to the leader: the keys of `epoch` are taken over.
struct takeover_done {
  failure_domain domain;
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;
  /// Version of the group record that lists the sender as joining.
  std::uint64_t version = 0;
  node_id joining;
};

auto to_string(record_answer x) -> std::string;

template <class Inspector>
auto inspect(Inspector& f, recorder_group& x) {
  return f(x.domain, x.index, x.version, x.epoch, x.recorders, x.joined,
           x.joining, x.leaving, x.min_creation_ms);
}

template <class Inspector>
auto inspect(Inspector& f, attempt_id& x) {
  return f(x.node, x.number);
}

template <class Inspector>
auto inspect(Inspector& f, key_outcome& x) {
  return f(x.status, x.has_answer, x.answer);
}

template <class Inspector>
auto inspect(Inspector& f, record_request& x) {
  return f(x.step, x.group, x.epoch, x.recorder, x.attempt, x.key, x.outcome,
           x.crashed);
}

template <class Inspector>
auto inspect(Inspector& f, record_reply& x) {
  return f(x.step, x.recorder, x.epoch, x.attempt, x.answer, x.outcome);
}

template <class Inspector>
auto inspect(Inspector& f, key_entry& x) {
  return f(x.key, x.attempt, x.blocked, x.done, x.outcome, x.released,
           x.crashed);
}

template <class Inspector>
auto inspect(Inspector& f, seal_request& x) {
  return f(x.domain, x.group, x.epoch, x.recorder, x.joining, x.after);
}

template <class Inspector>
auto inspect(Inspector& f, seal_reply& x) {
  return f(x.domain, x.group, x.epoch, x.recorder, x.after, x.last, x.entries);
}

template <class Inspector>
auto inspect(Inspector& f, takeover_done& x) {
  return f(x.domain, x.group, x.epoch, x.version, x.joining);
}

}  // namespace figwind
