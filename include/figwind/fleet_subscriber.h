// A node's subscription to the control members: the status messages that it
// sends, the members that it takes updates from, and when a configuration may
// be put in force.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figwind/fleet_directory.h"
#include "figwind/outgoing.h"

namespace figwind {

struct subscriber_options {
  vm_address self;
  failure_domain domain;
  incarnation start;
  /// Time between two statuses to the home member and to the next one in the
  /// node's order, which takes over from it.
  duration status_interval = seconds(1);
  /// The same to all other members. They hear of changes at once, so that this
  /// only renews what they know.
  duration background_interval = seconds(10);
  /// Time without a reply, beyond the interval, after which a member is silent;
  /// one lost status is enough.
  duration reply_timeout = milliseconds(500);
  /// Delay before the node requests a newer configuration from the member that
  /// has it; the home member should have sent the configuration by then.
  duration config_request_delay = milliseconds(150);
  /// A node that has just started accepts a configuration only from a member
  /// that is in touch with a leader. After this time it accepts any.
  duration first_config_timeout = seconds(3);
  /// Maximum size of a configuration text; protects the memory of the node.
  std::size_t max_config_bytes = std::size_t{64} << 20U;
};

struct update_effect {
  /// Text of the configuration to put in force.
  std::optional<std::string> config;
  /// True if the update had a configuration that does not fit the text held.
  bool config_refused = false;
  bool directory_changed = false;
  /// True if the node raised its incarnation above one that a member already
  /// knew.
  bool incarnation_raised = false;
};

class fleet_subscriber {
 public:
  fleet_subscriber(subscriber_options options,
                   const std::vector<vm_address>& seeds, time_point now);

  /// Returns the status messages that are due.
  auto on_tick(time_point now) -> std::vector<outgoing<node_status>>;

  /// Notifies that a member is reachable again: the next `on_tick` returns a
  /// status for it.
  void on_reachable(const vm_address& member);

  /// Applies the entries of the update to `view`.
  auto on_update(const member_update& update, fleet_view& view, time_point now)
      -> update_effect;

  /// Changes what the node reports of its backend server; the next `on_tick`
  /// sends the report at once. Returns the sequence number of the report. Until
  /// the first call, control members return the report of the node's earlier
  /// incarnation.
  auto report(const std::optional<announcement>& server, bool accepts_work)
      -> std::uint64_t;

  void set_seeds(const std::vector<vm_address>& seeds);

  /// Number of members that hold the report `sequence` or a later one.
  [[nodiscard]] auto acknowledgement_count(std::uint64_t sequence) const
      -> std::size_t;

  [[nodiscard]] auto version() const -> config_version { return version_; }
  [[nodiscard]] auto members() const -> std::vector<vm_address>;
  /// Number of members whose last reply is within the timeout.
  [[nodiscard]] auto reachable_member_count(time_point now) const
      -> std::size_t;
  [[nodiscard]] auto incarnation_number() const -> incarnation {
    return report_.node.start;
  }

 private:
  static constexpr auto never = time_point{-1e18};

  struct tracked_member {
    bool seed = false;
    bool has_answered = false;
    /// True if the last reply came from a member in touch with a leader.
    bool has_leader = false;
    time_point last_answer;
    time_point last_status = never;
    /// Time between the last status and the next one.
    duration interval;
    /// Rank in the order in which this node uses members; differs from node to
    /// node, so that they do not all turn to the same member.
    std::uint64_t rank = 0;
    failure_domain domain;
    std::uint64_t epoch = 0;
    std::uint64_t cursor = 0;
    std::uint64_t acknowledged_sequence = 0;
    incarnation acknowledged_start;
    config_version version;
    /// Time at which the member first had a version newer than the node's.
    std::optional<time_point> newer_version_since;
  };

  [[nodiscard]] auto is_reachable(const tracked_member& x, time_point now) const
      -> bool;
  /// Returns the reachable members, those of the own failure domain first.
  [[nodiscard]] auto reachable_members(time_point now) const
      -> std::vector<const tracked_member*>;
  /// Returns the members to which statuses go each `status_interval`, the home
  /// member first; empty if to all.
  [[nodiscard]] auto frequent_members(time_point now) const
      -> std::vector<const tracked_member*>;
  auto add_member(const vm_address& address) -> tracked_member&;
  void update_members(const member_update& update);
  auto restore_text(const member_update& update) -> bool;

  subscriber_options options_;
  node_report report_;
  std::map<vm_address, tracked_member> members_;
  /// The member that sends the directory; empty before the first reply.
  vm_address home_;
  config_version version_;
  /// Text of `version_`.
  std::string text_;
  /// True if the last patch did not fit; the next text is requested whole.
  bool needs_whole_text_ = false;
  time_point started_;
};

}  // namespace figwind
