// Service registry of a control member: leases of the servers whose heartbeats
// it receives (the servers it owns), and the digests that other members send of
// theirs.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "figwind/ids.h"
#include "figwind/membership_messages.h"
#include "figwind/outgoing.h"
#include "figwind/units.h"

namespace figwind {

/// A control member and its failure domain.
struct member_location {
  vm_address address;
  failure_domain domain;
};

/// Limits of a registry; the defaults are those of the design page.
struct registry_options {
  /// Three missed heartbeats at an interval of 1 s, plus half an interval for
  /// delays.
  duration lease = milliseconds(3500);
  /// Time after the start during which a missing server is not treated as gone:
  /// one lease plus the longest time until a node switches to this member.
  duration warm_up = seconds(8);
  /// Time without a digest after which a member is silent.
  duration member_timeout = milliseconds(3500);
  /// How long records of gone servers are kept.
  duration gone_retention = minutes(10);
  /// Time after which servers of a silent domain are treated as gone.
  duration silent_retention = minutes(120);
  /// Maximum size of the changes in one message; leaves room below 64 KiB.
  std::size_t max_message_bytes = 56'000;
  /// Maximum rate of changes in bytes/s; above it, changes of more than one
  /// server wait for the node's next heartbeat. A whole domain that starts at
  /// once requests 20 MB, which would delay the replies to heartbeats.
  double max_list_bytes_per_second = 8e6;
  /// Number of configuration changes kept to update nodes without sending the
  /// full text.
  std::size_t max_config_changes = 64;
};

/// A node that reports a version below the newest configuration.
struct lagging_node {
  node_id node;
  failure_domain domain;
  config_version version;
};

/// Number of nodes by version in force, for each domain.
using version_table =
    std::map<failure_domain, std::map<config_version, std::size_t>>;

/// The registry of one control member. `epoch` must be nonzero and differ
/// between starts of the member; `members` includes the member itself.
class registry {
 public:
  registry(member_location self, std::vector<member_location> members,
           std::uint64_t epoch, registry_options options, time_point now);

  /// Processes a heartbeat and returns the reply to its sender.
  auto on_heartbeat(const heartbeat& message, time_point now)
      -> outgoing<heartbeat_reply>;

  /// Expires leases every 200 ms; call it at least as often. Returns a digest
  /// request for each other member once a second.
  auto on_tick(time_point now) -> std::vector<outgoing<digest_request>>;

  auto on_digest_request(const digest_request& request, time_point now)
      -> outgoing<domain_digest>;

  /// Merges a digest; returns the next request if the digest was truncated.
  auto on_digest(const domain_digest& digest, time_point now)
      -> std::vector<outgoing<digest_request>>;

  /// Sets the configuration to distribute; ignored unless `version` is higher
  /// than the present one. `change`, if not empty, leads from `base` to
  /// `version` and is sent instead of the full text to nodes at `base`.
  void set_configuration(config_version version, std::string text,
                         config_version base = {}, std::string change = {});

  /// Adds or replaces the group record `name`.
  void set_group(const std::string& name, group_update update);

  void set_leader(vm_address leader) { leader_ = std::move(leader); }

  /// All servers that are not gone.
  [[nodiscard]] auto servers() const -> std::vector<server_record>;

  /// Servers of `domain` in any state, including gone ones that are still kept;
  /// input of `plan_group_changes`.
  [[nodiscard]] auto servers_in(const failure_domain& domain) const
      -> std::vector<server_record>;

  /// Number of nodes by configuration version in each domain. Counts of nodes
  /// that other members own come from their last digests.
  [[nodiscard]] auto versions() const -> version_table;

  /// At most `limit` nodes owned by this member whose version is below the
  /// newest.
  [[nodiscard]] auto lagging_nodes(std::size_t limit) const
      -> std::vector<lagging_node>;

  /// Domains without a complete and recent list, as of the last update, which
  /// runs every second.
  [[nodiscard]] auto silent_domains() const
      -> const std::vector<failure_domain>& {
    return silent_domains_;
  }

  [[nodiscard]] auto epoch() const -> std::uint64_t { return epoch_; }

 private:
  static constexpr std::size_t self_owner = static_cast<std::size_t>(-1);

  struct entry {
    server_record server;
    std::uint64_t sequence = 0;
    config_version version;
    /// Index in `peers_` of the member that receives the heartbeats, or
    /// `self_owner`.
    std::size_t owner = self_owner;
    /// Generation of the owner's digest that last listed the server.
    std::uint64_t generation = 0;
    time_point last_update_time;
    std::uint64_t service_change = 0;
    std::uint64_t owned_change = 0;
    time_point gone_since;
  };
  struct service_log {
    std::map<std::uint64_t, server_record> changes;
    /// Highest change whose record is no longer kept.
    std::uint64_t compacted_through = 0;
  };
  struct peer {
    member_location member;
    std::uint64_t epoch = 0;
    std::uint64_t cursor = 0;
    std::uint64_t generation = 1;
    /// Generation after which unlisted servers were marked gone.
    std::uint64_t swept_generation = 0;
    bool digest_complete = false;
    bool warming_up = true;
    time_point last_digest_time;
    std::vector<version_count> versions;
  };
  /// The service log entry of a server that moved to another service.
  struct moved_server {
    service_name service;
    std::uint64_t change = 0;
    time_point moved_at;
  };

  auto make_reply(const heartbeat& message) -> heartbeat_reply;
  void refill_list_budget(time_point now);
  [[nodiscard]] auto owned_versions() const -> version_table;
  void merge(const owned_server& update, std::size_t owner,
             std::uint64_t generation, time_point now);
  void log_change(entry& e, time_point now);
  void log_owned(entry& e);
  void remove_from_logs(const entry& e);
  void log_departure(const entry& e, time_point now);
  void mark_gone(entry& e, time_point now);
  void expire_leases(time_point now);
  void remove_gone(time_point now);
  void mark_unlisted_gone(std::size_t owner, time_point now);
  void update_silent_domains(time_point now);
  void resync_silent_peers(time_point now);
  [[nodiscard]] auto find_peer(const vm_address& member) const -> std::size_t;
  [[nodiscard]] auto covered_domains(time_point now) const
      -> std::vector<failure_domain>;
  void mark_unreachable_gone(time_point now);
  [[nodiscard]] auto has_current_list(std::size_t owner, time_point now) const
      -> bool;
  auto is_silent(const failure_domain& domain) const -> bool;
  auto changes_since(const service_cursor& cursor,
                     std::size_t& bytes_left) const -> service_changes;
  void add_services(const heartbeat& message, heartbeat_reply& reply,
                    std::size_t& bytes_left);
  void add_configs(const heartbeat& message, heartbeat_reply& reply,
                   std::size_t& bytes_left) const;
  void add_groups(const heartbeat& message, heartbeat_reply& reply,
                  std::size_t& bytes_left) const;

  member_location self_;
  std::vector<peer> peers_;
  std::uint64_t epoch_;
  registry_options options_;
  time_point started_;
  time_point next_digest_round_;
  time_point next_expiry_;
  /// Bytes of changes that may be sent now; refilled at
  /// `max_list_bytes_per_second`.
  double list_bytes_left_ = 0;
  time_point last_refill_;
  vm_address leader_;
  /// Starts above 0, which stands for a full list.
  std::uint64_t last_change_ = 1;
  std::unordered_map<vm_address, entry> entries_;
  std::unordered_map<service_name, service_log> services_;
  std::map<std::uint64_t, vm_address> owned_changes_;
  std::deque<moved_server> moved_;
  std::vector<failure_domain> silent_domains_;
  config_record config_;
  std::deque<config_record> config_changes_;
  std::map<std::string, std::uint64_t> group_versions_;
  std::map<std::uint64_t, group_update> groups_;
};

/// Upper bound of the encoded size of `x` in bytes.
auto message_size(const server_record& x) -> std::size_t;

}  // namespace figwind
