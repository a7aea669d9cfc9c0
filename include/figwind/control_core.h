// Decision logic of one control member: consensus on the configuration, the
// registry of servers and the recorder groups.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "figwind/config_store.h"
#include "figwind/consensus.h"
#include "figwind/ids.h"
#include "figwind/membership_messages.h"
#include "figwind/node_messages.h"
#include "figwind/outgoing.h"
#include "figwind/random.h"
#include "figwind/recorder_groups.h"
#include "figwind/registry.h"
#include "figwind/units.h"

namespace figwind {

/// Control member to leader: the change of an operator. The member gets the
/// answer through the log.
struct forwarded_change {
  /// Output of `encode_change`.
  std::string bytes;
};

template <class Inspector>
auto inspect(Inspector& f, forwarded_change& x) {
  return f(x.bytes);
}

/// Messages between control members.
using control_member_message =
    std::variant<digest_request, domain_digest, forwarded_change>;

/// Any message sent by a control member.
using control_message =
    std::variant<node_message, control_member_message, consensus_message>;

/// Reply to the change of an operator.
struct change_reply {
  request_id id;
  /// Empty if there is no answer, for the reason in `reason`. The change may be
  /// resent with the same id.
  std::optional<change_answer> answer;
  std::string reason;
  /// True if the change may still be accepted.
  bool outcome_unknown = false;
};

/// Actions for the caller. `persist` comes first; `on_persisted` returns the
/// rest once it is durable.
struct control_output {
  std::vector<persist_batch> persist;
  std::vector<outgoing<control_message>> messages;
  std::vector<change_reply> replies;
  std::vector<leadership_change> leadership_changes;
  /// Version that was accepted, if any.
  std::optional<config_version> accepted_version;
};

struct control_options {
  consensus_settings consensus;
  member_location self;
  std::vector<member_location> members;
  registry_options registry;
  group_options groups;
  std::uint64_t seed = 0;
};

/// One control member.
class control_core {
 public:
  control_core(control_options options, const durable_state& from_disk,
               time_point now);

  auto tick(time_point now, time_point unix_now) -> control_output;

  auto on_message(const control_message& message, time_point now)
      -> control_output;

  auto on_persisted(std::uint64_t batch) -> control_output;
  auto on_storage_failed() -> control_output;

  /// Handles the change of an operator. The reply is part of this or a later
  /// output.
  auto change(const config_change& change) -> control_output;

  /// Adds `id` and removes `replaces` once `id` is a voter. Leader only.
  auto replace_member(member_id replaces, member_id id,
                      const vm_address& address, control_output& output)
      -> proposal_status;

  [[nodiscard]] auto replicated_log() const -> const consensus& {
    return consensus_;
  }
  [[nodiscard]] auto store() const -> const config_store& { return store_; }
  [[nodiscard]] auto servers() const -> const registry& { return registry_; }
  /// Why this member cannot accept changes; empty if it can.
  [[nodiscard]] auto refusal_reason() const -> std::string;
  /// Control address of the leader; empty if unknown.
  [[nodiscard]] auto leader_address() const -> vm_address;
  /// Address of `id` in the log or, before the cluster is formed, in the
  /// settings.
  [[nodiscard]] auto address_of(member_id id) const -> vm_address;

 private:
  void append_output(control_output& out, consensus_output from);
  void apply(const log_entry& entry, control_output& out);
  void restore(const log_snapshot& snapshot);
  void publish_configuration();
  void publish_group(const std::string& name, const stored_record& record);
  void compact_if_due(control_output& out);
  void choose_recorders(time_point now, time_point unix_now,
                        control_output& out);
  void propose_group(const recorder_group& group, control_output& out);
  void submit(const request_id& id, std::string bytes, control_output& out);

  void handle(const node_message& m, time_point now, control_output& out);
  void handle(const control_member_message& m, time_point now,
              control_output& out);
  void handle(const consensus_message& m, time_point now, control_output& out);
  void handle_heartbeat(const heartbeat& m, time_point now,
                        control_output& out);
  void handle_takeover(const takeover_done& m, control_output& out);

  control_options options_;
  random_source random_;
  consensus consensus_;
  config_store store_;
  registry registry_;
  /// Why the state is unusable; empty if it is usable.
  std::string state_problem_;
  time_point next_recorder_choice_;
  std::map<std::string, recorder_group> groups_;
};

}  // namespace figwind
