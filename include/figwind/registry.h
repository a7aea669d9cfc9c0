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

/// Number of nodes by version in force, for each domain.
using version_table =
    std::map<failure_domain, std::map<config_version, std::size_t>>;

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

  /// Number of nodes by configuration version in each domain. The counts of
  /// nodes that other members hold are those of their last digests.
  [[nodiscard]] auto versions() const -> version_table;

  /// Nodes that this member holds whose version is below the newest, at most
  /// `limit`.
  [[nodiscard]] auto lagging(std::size_t limit) const
      -> std::vector<lagging_node>;

  /// Domains whose list is not complete or not recent, as of the last second.
  [[nodiscard]] auto silent_domains() const
      -> const std::vector<failure_domain>& {
    return silent_;
  }

  [[nodiscard]] auto epoch() const -> std::uint64_t { return epoch_; }

 private:
  struct entry {
    server_record server;
    std::uint64_t beat = 0;
    config_version version;
    /// Member that receives the heartbeats.
    vm_address holder;
    /// Listing of the holder's digest that last named the server.
    std::uint64_t generation = 0;
    time_point heard;
    std::uint64_t change = 0;
    std::uint64_t held_change = 0;
    time_point ended;
  };
  struct service_log {
    std::map<std::uint64_t, server_record> changes;
    /// Highest change whose record is no longer kept.
    std::uint64_t floor = 0;
  };
  struct peer {
    member_place place;
    std::uint64_t epoch = 0;
    std::uint64_t cursor = 0;
    std::uint64_t generation = 1;
    bool complete = false;
    bool warming = true;
    time_point heard;
    std::vector<version_count> versions;
  };
  /// A record of a server that has left its service for another one.
  struct moved_server {
    service_name service;
    std::uint64_t change = 0;
    time_point since;
  };

  auto make_reply(const heartbeat& beat) const -> heartbeat_reply;
  [[nodiscard]] auto held_versions() const -> version_table;
  void store(const held_server& news, const vm_address& holder,
             std::uint64_t generation, time_point now);
  void log_change(entry& e, time_point now);
  void log_held(entry& e);
  void unlog(const entry& e);
  void leave_service(const entry& e, time_point now);
  void end(entry& e, time_point now);
  void expire_leases(time_point now);
  void drop_ended(time_point now);
  void end_unlisted(const peer& from, time_point now);
  void find_silent(time_point now);
  void restart_silent_peers(time_point now);
  auto find_peer(const vm_address& member) -> peer*;
  auto is_live(const vm_address& member, time_point now) const -> bool;
  auto silence_of(const vm_address& member, time_point now) const -> duration;
  auto is_silent(const failure_domain& domain) const -> bool;
  auto changes_of(const service_cursor& asked, std::size_t& room) const
      -> service_changes;
  void add_services(const heartbeat& beat, heartbeat_reply& reply,
                    std::size_t& room) const;
  void add_configs(const heartbeat& beat, heartbeat_reply& reply,
                   std::size_t& room) const;
  void add_groups(const heartbeat& beat, heartbeat_reply& reply,
                  std::size_t& room) const;

  member_place self_;
  std::vector<peer> peers_;
  std::uint64_t epoch_;
  registry_options options_;
  time_point started_;
  time_point next_second_;
  vm_address leader_;
  /// Starts above 0, which stands for a full list.
  std::uint64_t last_change_ = 1;
  std::unordered_map<vm_address, entry> entries_;
  std::unordered_map<service_name, service_log> services_;
  std::map<std::uint64_t, vm_address> held_;
  std::deque<moved_server> moved_;
  std::vector<failure_domain> silent_;
  config_record config_;
  std::deque<config_record> config_changes_;
  std::map<std::string, std::uint64_t> group_versions_;
  std::map<std::uint64_t, group_update> groups_;
};

/// Bytes that `x` takes in a message, rounded up.
auto message_size(const server_record& x) -> std::size_t;

}  // namespace figwind
