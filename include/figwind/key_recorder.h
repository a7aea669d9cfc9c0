// Keys of non-idempotent requests, and the recorder that votes for one attempt
// per key.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "figwind/ids.h"
#include "figwind/outgoing.h"
#include "figwind/record_messages.h"
#include "figwind/units.h"

namespace figwind {

/// Parts of `<failure domain>.<creation time, Unix ms, hex>.<unique part>`.
struct key_parts {
  failure_domain domain;
  /// In Unix time.
  time_point creation_time;
  std::string unique;
};

/// Limits of keys; the defaults are those of the design page.
struct key_limits {
  /// Older keys are refused.
  duration retention = minutes(10);
  /// Keys created further in the future are refused.
  duration max_clock_lead = seconds(5);
  std::size_t max_length = 200;
};

enum class key_validity : std::uint8_t {
  valid,
  malformed,
  expired,
  from_future
};

/// Parses `key`; returns nothing if it is malformed. The domain may contain
/// letters, digits, `-` and `_`; the unique part any printable character.
auto parse_key(const request_key& key, const key_limits& limits)
    -> std::optional<key_parts>;

/// Checks the form and age of `key` against the Unix time `unix_now`.
auto check_key(const request_key& key, time_point unix_now,
               const key_limits& limits) -> key_validity;

/// Index of the group of `key` among the `count` groups of its domain.
auto group_index_of(const request_key& key, std::uint32_t count)
    -> std::uint32_t;

/// Limits of a recorder.
struct recorder_options {
  key_limits keys;
  /// Time beyond the retention for which a key is kept: the clocks of two
  /// recorders differ by at most 10 s, and messages may be several seconds
  /// late.
  duration retention_margin = seconds(20);
  /// Maximum size of a response kept for resends; for a larger one only the
  /// outcome is kept.
  std::size_t max_answer_bytes = 1024;
  /// Memory for keys; at the limit new keys are refused and existing ones stay.
  std::size_t max_memory_bytes = 48U << 20U;
  std::size_t crash_limit = 2;
  /// Size of one page of keys for a joining recorder.
  std::size_t max_page_bytes = 48'000;
  /// Number of released or crashed attempts remembered for one key. The oldest
  /// is dropped first; a late vote for it only makes the key unusable.
  std::size_t max_noted_attempts = 8;
  /// Time after which unanswered seal requests are resent.
  duration seal_retry_interval = milliseconds(250);
};

/// Messages to be sent for a recorder.
struct recorder_output {
  std::vector<outgoing<seal_request>> seals;
  /// For the leader, whose address the caller has; repeated until the group
  /// record shows the new epoch.
  std::vector<takeover_done> takeovers;
};

/// The recorder of one incarnation of a node, for all groups that list this
/// incarnation. All its state is in memory; a restarted node is another
/// incarnation.
class key_recorder {
 public:
  key_recorder(node_id self, recorder_options options);

  /// Sets a group record of the replicated configuration; ignored if it is
  /// older than the present one.
  void set_group(const recorder_group& group);

  auto on_request(const record_request& request, time_point unix_now)
      -> outgoing<record_reply>;

  /// Seals the epoch and returns a page of its keys; returns nothing if this
  /// incarnation is not a recorder of the epoch or the request does not match
  /// the group record.
  auto on_seal(const seal_request& request, time_point unix_now)
      -> std::optional<outgoing<seal_reply>>;

  auto on_seal_reply(const seal_reply& reply, time_point now)
      -> recorder_output;

  /// Returns the takeover messages that are due and drops keys beyond the
  /// retention. Call it about 10 times a second.
  auto on_tick(time_point now, time_point unix_now) -> recorder_output;

  /// Memory used by keys in bytes, and the number of keys.
  [[nodiscard]] auto memory() const -> std::size_t { return memory_; }
  [[nodiscard]] auto size() const -> std::size_t;

 private:
  struct key_record {
    attempt_id attempt;
    time_point creation_time;
    bool blocked = false;
    bool done = false;
    key_outcome outcome;
    std::vector<attempt_id> released;
    std::vector<attempt_id> crashed;
  };
  using key_map = std::map<request_key, key_record>;
  /// Progress of the takeover from one recorder of the old epoch.
  struct takeover_source {
    node_id recorder;
    request_key after;
    bool done = false;
    time_point request_at;
  };
  struct group_state {
    recorder_group record;
    /// Highest epoch in which this incarnation no longer votes.
    std::uint64_t sealed_epoch = 0;
    /// True if this incarnation holds the votes of the epoch of `record`.
    bool is_voter = false;
    /// Epoch whose keys are being or were taken over; 0 for none.
    std::uint64_t takeover_epoch = 0;
    std::vector<takeover_source> sources;
    key_map keys;
    time_point next_announcement;
  };
  using group_id = std::pair<failure_domain, std::uint32_t>;

  auto find(const failure_domain& domain, std::uint32_t index) -> group_state*;
  auto handle_request(const record_request& request, time_point unix_now,
                      record_reply& reply) -> record_answer;
  auto vote(group_state& group, const record_request& request,
            const key_parts& parts, time_point unix_now, record_reply& reply)
      -> record_answer;
  auto grant_first_vote(group_state& group, const record_request& request,
                        const key_parts& parts, time_point unix_now)
      -> record_answer;
  auto finish(group_state& group, const record_request& request,
              const key_parts& parts) -> record_answer;
  auto release(group_state& group, const record_request& request,
               const key_parts& parts) -> record_answer;
  auto find_or_add(group_state& group, const record_request& request,
                   const key_parts& parts) -> key_record*;
  void remember_attempt(std::vector<attempt_id>& list,
                        const attempt_id& attempt);
  void merge(group_state& group, const key_entry& entry);
  void drop_keys(group_state& group);
  void drop_expired_keys(group_state& group);
  [[nodiscard]] auto is_past_retention(time_point creation_time) const -> bool;
  static auto is_takeover_complete(const group_state& group) -> bool;
  static auto memory_cost(const request_key& key, const key_record& record)
      -> std::size_t;
  [[nodiscard]] auto make_seal_request(const group_state& group,
                                       const takeover_source& source) const
      -> outgoing<seal_request>;

  node_id self_;
  recorder_options options_;
  std::map<group_id, group_state> groups_;
  std::size_t memory_ = 0;
  /// Highest Unix time seen, so that keys do not become valid again when the
  /// clock is set back.
  time_point latest_unix_time_;
  time_point next_expiry_;
};

}  // namespace figwind
