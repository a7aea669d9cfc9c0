// State machine of the replicated log: the configuration in force, other
// versioned records, and the answers to recent changes.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "figwind/finding.h"
#include "figwind/ids.h"
#include "figwind/units.h"
#include "figwind/workload.h"

namespace figwind {

/// A change of the workload by an operator.
struct config_change {
  /// Chosen by the operator's tool; the same for all resends.
  request_id id;
  /// Version from which the text was derived.
  config_version base_version;
  std::string author;
  /// The whole workload as INI text.
  std::string text;
  /// Unix time at the member that received the change.
  time_point time;
};

/// A change of a named record, for example a recorder group.
struct record_change {
  request_id id;
  std::string name;
  /// Version of the record; 0 to create it.
  std::uint64_t base_version = 0;
  /// New contents. Empty contents do not remove the record or its version.
  std::string bytes;
};

enum class change_status : std::uint8_t { accepted, conflict, invalid };

auto to_string(change_status x) -> std::string;

/// Answer to a change; the same for all resends.
struct change_answer {
  change_status status = change_status::accepted;
  /// If accepted, the new version; otherwise the version at that time.
  std::uint64_t version = 0;
  /// On a conflict, the author of that version.
  std::string author;
  /// If invalid, all problems of the text.
  findings problems;

  friend auto operator==(const change_answer&, const change_answer&)
      -> bool = default;
};

/// The configuration in force.
struct accepted_config {
  config_version version;
  std::string author;
  time_point time;
  std::string text;
  workload parsed;
};

/// A named record with its own version.
struct stored_record {
  std::uint64_t version = 0;
  std::string bytes;
  /// Number of accepted record changes up to the last one of this record;
  /// orders changes of different records.
  std::uint64_t sequence = 0;

  friend auto operator==(const stored_record&, const stored_record&)
      -> bool = default;
};

/// Limits of the answers kept; the oldest are dropped first. 20,000 answers are
/// two days at 9,200 changes a day; the bytes limit the memory of invalid texts
/// with many findings. A change that is resent later is a conflict, because its
/// base version is outdated.
struct answer_limits {
  std::size_t max_count = 20'000;
  std::size_t max_bytes = 16U << 20U;
};

/// Validates `change` and encodes it for the log together with the findings, so
/// that members with different releases come to the same answer.
auto encode_change(const config_change& change) -> std::string;
auto encode_change(const record_change& change) -> std::string;

/// Result of applying an entry.
struct applied_change {
  request_id id;
  /// Name of the changed record; empty for the workload.
  std::string name;
  change_answer answer;
  /// True if the request id was known already, so that nothing has changed.
  bool is_duplicate = false;
};

class config_store {
 public:
  explicit config_store(answer_limits bounds = {}) : limits_{bounds} {}

  /// Applies the bytes of a committed `command` entry. Returns findings if the
  /// format is unknown.
  auto apply(const std::string& bytes) -> result<applied_change>;

  /// Answer to an earlier request, or null if there is none or it is no longer
  /// kept. Members check it before they propose a change.
  auto find_answer(const request_id& id) const -> const change_answer*;

  auto current() const -> const accepted_config& { return current_; }
  /// Problems that this release finds in the accepted text; `current().parsed`
  /// then stays the previous workload. Empty if all members run the same
  /// release.
  auto parse_problems() const -> const findings& { return parse_problems_; }

  auto find_record(const std::string& name) const -> const stored_record*;
  auto records() const -> const std::map<std::string, stored_record>& {
    return records_;
  }

  auto answer_count() const -> std::size_t { return answer_order_.size(); }

  /// Encodes the whole state; equal at all members at the same index.
  auto snapshot() const -> std::string;
  /// Replaces the state; empty bytes stand for the initial state. Returns
  /// findings, and keeps the state, if the format is unknown.
  auto restore(const std::string& bytes) -> findings;

 private:
  struct decoded_change;

  auto decide(const decoded_change& change) -> change_answer;
  auto decide_config(const decoded_change& change) -> change_answer;
  auto decide_record(const decoded_change& change) -> change_answer;
  void store_answer(const request_id& id, change_answer answer);
  void set_current(accepted_config next);

  answer_limits limits_;
  accepted_config current_;
  findings parse_problems_;
  std::map<std::string, stored_record> records_;
  std::uint64_t record_change_count_ = 0;
  std::unordered_map<request_id, change_answer> answers_;
  std::deque<request_id> answer_order_;
  std::size_t answer_bytes_ = 0;
};

template <class Inspector>
auto inspect(Inspector& f, config_change& x) {
  return f(x.id, x.base_version, x.author, x.text, x.time);
}
template <class Inspector>
auto inspect(Inspector& f, record_change& x) {
  return f(x.id, x.name, x.base_version, x.bytes);
}

}  // namespace figwind
