// The registry of a control member: leases of the servers that send it
// heartbeats, and what the other members report of theirs.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "figwind/ids.h"
#include "figwind/membership.h"
#include "figwind/outgoing.h"
#include "figwind/units.h"

namespace figwind {

/// A control member and the failure domain that it stands in.
struct member_place {
  vm_address address;
  failure_domain domain;
};

/// Limits of a registry; the defaults are those of the design page.
struct registry_options {
  /// Three missed heartbeats of one second, and half of one for delay.
  duration lease = milliseconds(3500);
  /// Time after the start in which a missing server means nothing: a lease and
  /// the longest time until a node turns to this member.
  duration warm_up = seconds(8);
  /// A member that sent no digest for this time is silent.
  duration member_silence = milliseconds(3500);
  /// Time for which the record of a server that is gone is kept.
  duration keep_gone = minutes(10);
  /// Time after which servers of a silent domain are taken to be gone.
  duration keep_silent = minutes(120);
  /// Bytes of changes in one message; leaves room below 64 KiB.
  std::size_t message_bytes = 56'000;
  /// Number of configuration changes kept to answer nodes without a full text.
  std::size_t kept_changes = 64;
};

/// A node that reports an older configuration than the newest.
struct lagging_node {
  node_id node;
  failure_domain domain;
  config_version version;
};

/// The registry of one control member. `epoch` must differ between the starts
/// of the member and not be 0; `members` includes the member itself.
class registry {
 public:
  registry(member_place self, std::vector<member_place> members,
           std::uint64_t epoch, registry_options options, time_point now);

  /// Takes a heartbeat and gives the answer for its sender.
  auto on_heartbeat(const heartbeat& beat, time_point now)
      -> outgoing<heartbeat_reply>;

  /// Expires leases; call it about 5 times a second. Once a second it gives a
  /// digest request for each other member.
  auto on_tick(time_point now) -> std::vector<outgoing<digest_request>>;

  auto on_digest_request(const digest_request& request, time_point now)
      -> outgoing<domain_digest>;

  /// Merges a digest; gives the next request when the digest was cut.
  auto on_digest(const domain_digest& digest, time_point now)
      -> std::vector<outgoing<digest_request>>;

  /// Sets the configuration to hand out; a version that is not higher than the
  /// present one is ignored. `change`, if given, leads from `base` to it and is
  /// sent instead of the full text to nodes that hold `base`.
  void set_configuration(config_version version, std::string text,
                         config_version base = {}, std::string change = {});

  /// Adds or replaces the group record named `name`.
  void set_group(const std::string& name, group_update update);

  void set_leader(vm_address leader) { leader_ = std::move(leader); }

  /// Servers that are known and not gone.
  [[nodiscard]] auto servers() const -> std::vector<server_record>;

  /// Servers of `domain` with all states that are kept; for `choose_groups`.
  [[nodiscard]] auto servers_in(const failure_domain& domain) const
      -> std::vector<server_record>;

  /// Number of nodes by configuration version in each domain. The versions of
  /// nodes that other members hold are as old as the last digest about them.
  [[nodiscard]] auto versions() const
      -> std::map<failure_domain, std::map<config_version, std::size_t>>;

  /// Nodes whose version is below the newest, at most `limit`.
  [[nodiscard]] auto lagging(std::size_t limit) const
      -> std::vector<lagging_node>;

  /// Domains whose list is not complete or not recent.
  [[nodiscard]] auto silent_domains(time_point now) const
      -> std::vector<failure_domain>;

  [[nodiscard]] auto epoch() const -> std::uint64_t { return epoch_; }

 private:
  struct entry {
    server_record server;
    std::uint64_t beat = 0;
    config_version version;
    /// Member that receives the heartbeats.
    vm_address holder;
    time_point heard;
    std::uint64_t change = 0;
    std::uint64_t held_change = 0;
    /// Time of the change to gone.
    time_point ended;
  };
  struct service_log {
    std::map<std::uint64_t, vm_address> changes;
    /// Highest change whose record is no longer kept.
    std::uint64_t floor = 0;
  };
  struct peer {
    member_place place;
    std::uint64_t epoch = 0;
    std::uint64_t cursor = 0;
    bool complete = false;
    time_point heard;
  };

  auto supersedes(const held_server& news, const entry& old) const -> bool;
  void store(const held_server& news, const vm_address& holder, time_point now);
  void log_change(entry& e);
  void log_held(entry& e);
  void unlog(entry& e);
  void expire_leases(time_point now);
  void drop_ended(time_point now);
  void end(entry& e, time_point now);
  auto is_live(const vm_address& member, time_point now) const -> bool;
  auto changes_of(const service_cursor& asked, bool same_epoch,
                  std::size_t& room) const -> service_changes;
  void add_configs(const heartbeat& beat, heartbeat_reply& reply,
                   std::size_t& room) const;
  void add_groups(const heartbeat& beat, heartbeat_reply& reply,
                  std::size_t& room) const;

  member_place self_;
  std::vector<peer> peers_;
  std::uint64_t epoch_;
  registry_options options_;
  time_point started_;
  time_point next_request_;
  time_point next_sweep_;
  vm_address leader_;
  std::uint64_t last_change_ = 0;
  std::unordered_map<vm_address, entry> entries_;
  std::unordered_map<service_name, service_log> services_;
  std::map<std::uint64_t, vm_address> held_;
  config_record config_;
  std::deque<config_record> config_changes_;
  std::map<std::string, std::uint64_t> group_versions_;
  std::map<std::uint64_t, group_update> groups_;
};

/// Bytes that `x` takes in a message, rounded up.
auto message_size(const server_record& x) -> std::size_t;

}  // namespace figwind
