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

/// The parts of a key `<failure domain>.<birth, Unix ms, hex>.<unique part>`.
struct key_parts {
  failure_domain domain;
  /// In Unix time.
  time_point birth;
  std::string unique;
};

/// Limits of keys; the defaults are those of the design page.
struct key_limits {
  /// Older keys are refused.
  duration retention = minutes(10);
  /// Keys born further in the future are refused.
  duration future = seconds(5);
  std::size_t length = 200;
};

enum class key_state : std::uint8_t { good, malformed, expired, future };

/// The parts of `key`, or nothing when it is malformed. The domain may hold
/// letters, digits, `-` and `_`; the unique part any printable character.
auto parse_key(const request_key& key, const key_limits& limits)
    -> std::optional<key_parts>;

/// Checks form and age of `key` against the Unix time `unix_now`.
auto check_key(const request_key& key, time_point unix_now,
               const key_limits& limits) -> key_state;

/// Group of `key` among the `count` groups of its domain.
auto group_of(const request_key& key, std::uint32_t count) -> std::uint32_t;

/// Limits of a recorder.
struct recorder_options {
  key_limits keys;
  /// Time beyond the retention for which a key is kept: the clocks of two
  /// recorders differ by at most 10 s, and messages are late by some seconds.
  duration grace = seconds(20);
  /// Longest answer that is kept for a resend; of a longer one only the outcome
  /// is kept.
  std::size_t answer_bytes = 1024;
  /// Memory for keys; beyond it new keys are refused, and kept ones stay.
  std::size_t memory_bytes = 48U << 20U;
  std::size_t crash_limit = 2;
  /// Bytes of one page of keys for a joining recorder.
  std::size_t page_bytes = 48'000;
  /// Attempts taken back or crashed that are remembered for one key. The oldest
  /// is forgotten first; a late vote for it only makes the key unusable.
  std::size_t noted_attempts = 8;
  /// Time after which unanswered seal requests are sent again.
  duration seal_retry = milliseconds(250);
};

/// Messages that a recorder asks to send.
struct recorder_output {
  std::vector<outgoing<seal_request>> seals;
  /// For the leader's address, which the caller knows; repeated until the group
  /// record shows the new epoch.
  std::vector<takeover_done> takeovers;
};

/// The recorder of one life of a node, for all groups that name this life. All
/// its state is in memory; a restarted node is another life.
class key_recorder {
 public:
  key_recorder(node_id self, recorder_options options);

  /// Takes a group record of the replicated configuration; an older one than
  /// the one held is ignored.
  void set_group(const recorder_group& group);

  auto on_request(const record_request& request, time_point unix_now)
      -> outgoing<record_reply>;

  /// Seals the epoch and gives a page of its keys; nothing if this life is not
  /// a recorder of the epoch or the request does not match the group record.
  auto on_seal(const seal_request& request, time_point unix_now)
      -> std::optional<outgoing<seal_reply>>;

  auto on_seal_reply(const seal_reply& reply, time_point now)
      -> recorder_output;

  /// Sends what is due to take over groups and drops keys beyond retention.
  /// Call it about 10 times a second.
  auto on_tick(time_point now, time_point unix_now) -> recorder_output;

  /// Bytes of memory in use for keys, and the number of keys.
  [[nodiscard]] auto memory() const -> std::size_t { return memory_; }
  [[nodiscard]] auto size() const -> std::size_t;

 private:
  struct kept_key {
    attempt_id attempt;
    time_point birth;
    bool blocked = false;
    bool done = false;
    key_outcome outcome;
    std::vector<attempt_id> released;
    std::vector<attempt_id> crashed;
  };
  using key_map = std::map<request_key, kept_key>;
  /// Progress of taking over from one recorder of the old epoch.
  struct source {
    node_id recorder;
    request_key after;
    bool done = false;
    time_point ask_at;
  };
  struct held_group {
    recorder_group record;
    /// Highest epoch that this life has promised not to vote in.
    std::uint64_t sealed = 0;
    /// True when this life holds the votes of the epoch of `record`.
    bool member = false;
    /// Epoch whose keys are or were being taken over; 0 for none.
    std::uint64_t taking = 0;
    std::vector<source> sources;
    key_map keys;
    time_point announce_at;
  };
  using group_id = std::pair<failure_domain, std::uint32_t>;

  auto find(const failure_domain& domain, std::uint32_t index) -> held_group*;
  auto answer(const record_request& request, time_point unix_now,
              record_reply& reply) -> record_answer;
  auto vote(held_group& group, const record_request& request,
            const key_parts& parts, time_point unix_now, record_reply& reply)
      -> record_answer;
  auto new_vote(held_group& group, const record_request& request,
                const key_parts& parts, time_point unix_now) -> record_answer;
  auto finish(held_group& group, const record_request& request,
              const key_parts& parts) -> record_answer;
  auto release(held_group& group, const record_request& request,
               const key_parts& parts) -> record_answer;
  auto find_or_add(held_group& group, const record_request& request,
                   const key_parts& parts) -> kept_key*;
  void note(std::vector<attempt_id>& list, const attempt_id& attempt);
  void merge(held_group& group, const key_entry& entry);
  void drop_keys(held_group& group);
  void drop_old(held_group& group);
  [[nodiscard]] auto is_over(time_point birth) const -> bool;
  static auto taken_over(const held_group& group) -> bool;
  static auto cost(const request_key& key, const kept_key& kept) -> std::size_t;
  [[nodiscard]] auto make_seal(const held_group& group,
                               const source& from) const
      -> outgoing<seal_request>;

  node_id self_;
  recorder_options options_;
  std::map<group_id, held_group> groups_;
  std::size_t memory_ = 0;
  /// Highest Unix time seen, so that a clock set back revives no key.
  time_point newest_;
  time_point next_drop_;
};

}  // namespace figwind
