// Membership messages: heartbeats of nodes, the replies of control members, and
// the digests that control members exchange.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figwind/ids.h"

namespace figwind {

/// States of a backend server; a server passes through them in this order.
enum class server_state : std::uint8_t { starting, serving, draining, gone };

/// Registration of a backend server. The control address in `node` identifies
/// the server; its incarnation distinguishes restarts at that address.
struct server_record {
  node_id node;
  service_name service;
  failure_domain domain;
  /// Address for calls.
  vm_address call_address;
  /// Maximum number of requests that the backend server runs at once.
  std::uint32_t slots = 0;
  /// Maximum number of connections to the backend server.
  std::uint32_t connections = 0;
  server_state state = server_state::starting;
  /// True if `gone` was inferred from missing heartbeats.
  bool expired = false;

  friend auto operator==(const server_record&, const server_record&)
      -> bool = default;
};

/// Requests the changes of `service` after `since`; 0 requests a full list.
struct service_cursor {
  service_name service;
  std::uint64_t since = 0;
};

/// Node to control member: sent every second, and at once after a change of
/// state or the first call to a service.
struct heartbeat {
  server_record self;
  /// Sequence number of heartbeats within one incarnation of the node; orders
  /// the records that different control members hold of the node.
  std::uint64_t sequence = 0;
  /// Configuration version in force at the node.
  config_version version;
  /// Highest configuration version that the node has received.
  config_version received_version;
  /// Version of the newest recorder group record at the node.
  std::uint64_t groups_version = 0;
  /// Registry epoch that the cursors belong to.
  std::uint64_t epoch = 0;
  std::vector<service_cursor> services;
};

/// Changes of one service, or its full list if `since` is 0.
struct service_changes {
  service_name service;
  /// Cursor of the request.
  std::uint64_t since = 0;
  /// Cursor for the next request.
  std::uint64_t cursor = 0;
  /// True if the message reached its size limit; the node requests the rest at
  /// once.
  bool truncated = false;
  /// True if the registry no longer keeps the changes since the cursor; the
  /// node requests a full list.
  bool resync_required = false;
  std::vector<server_record> servers;
};

/// A configuration, opaque to membership: the full text if `base` is 0,
/// otherwise the change from version `base` to `version`.
struct config_record {
  config_version base;
  config_version version;
  std::string text;
};

/// A recorder group record, opaque to membership. Versions are unique, so a
/// message may be cut after any record.
struct group_update {
  std::uint64_t version = 0;
  std::string record;
};

/// Control member to node: the reply to one heartbeat.
struct heartbeat_reply {
  /// Control address of the replying member.
  vm_address member;
  /// Control address of the leader, empty if unknown.
  vm_address leader;
  /// Sequence number of the heartbeat that this message answers.
  std::uint64_t sequence = 0;
  /// Differs for each start of the member; cursors are valid within one epoch.
  std::uint64_t epoch = 0;
  /// Domains for which the member has no complete, recent list: a server that
  /// is missing from its lists may still be serving there.
  std::vector<failure_domain> silent_domains;
  /// In version order; empty if the node is up to date.
  std::vector<config_record> configs;
  /// In version order; empty if the node is up to date.
  std::vector<group_update> groups;
  std::vector<service_changes> services;
};

/// Control member to control member, every second: requests a `domain_digest`.
struct digest_request {
  vm_address member;
  /// Epoch of the receiving registry that `since` belongs to.
  std::uint64_t epoch = 0;
  std::uint64_t since = 0;
};

/// A server record with the sequence number of the heartbeat that carried it.
struct owned_server {
  server_record server;
  std::uint64_t sequence = 0;
};

/// Number of nodes in `domain` with `version` in force, among the nodes that
/// the sender owns.
struct version_count {
  failure_domain domain;
  config_version version;
  std::uint32_t nodes = 0;
};

/// Control member to control member: the servers that the sender owns, i.e.
/// whose heartbeats it receives, and that changed after `since`.
struct domain_digest {
  vm_address member;
  std::uint64_t epoch = 0;
  std::uint64_t since = 0;
  std::uint64_t cursor = 0;
  bool truncated = false;
  /// True while nodes may not have reached the sender since its start.
  bool warming_up = false;
  std::vector<owned_server> servers;
  std::vector<version_count> versions;
};

auto to_string(server_state x) -> std::string;

template <class Inspector>
auto inspect(Inspector& f, server_record& x) {
  return f(x.node, x.service, x.domain, x.call_address, x.slots, x.connections,
           x.state, x.expired);
}

template <class Inspector>
auto inspect(Inspector& f, service_cursor& x) {
  return f(x.service, x.since);
}

template <class Inspector>
auto inspect(Inspector& f, heartbeat& x) {
  return f(x.self, x.sequence, x.version, x.received_version, x.groups_version,
           x.epoch, x.services);
}

template <class Inspector>
auto inspect(Inspector& f, service_changes& x) {
  return f(x.service, x.since, x.cursor, x.truncated, x.resync_required,
           x.servers);
}

template <class Inspector>
auto inspect(Inspector& f, config_record& x) {
  return f(x.base, x.version, x.text);
}

template <class Inspector>
auto inspect(Inspector& f, group_update& x) {
  return f(x.version, x.record);
}

template <class Inspector>
auto inspect(Inspector& f, heartbeat_reply& x) {
  return f(x.member, x.leader, x.sequence, x.epoch, x.silent_domains, x.configs,
           x.groups, x.services);
}

template <class Inspector>
auto inspect(Inspector& f, digest_request& x) {
  return f(x.member, x.epoch, x.since);
}

template <class Inspector>
auto inspect(Inspector& f, owned_server& x) {
  return f(x.server, x.sequence);
}

template <class Inspector>
auto inspect(Inspector& f, version_count& x) {
  return f(x.domain, x.version, x.nodes);
}

template <class Inspector>
auto inspect(Inspector& f, domain_digest& x) {
  return f(x.member, x.epoch, x.since, x.cursor, x.truncated, x.warming_up,
           x.servers, x.versions);
}

}  // namespace figwind
