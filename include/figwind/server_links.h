// The servers of a service to which an entry node keeps links. Links to all
// servers would grow with the square of the fleet.
//
// Method: rendezvous hashing, so that each server is used by as many nodes as
// the others, and a server that comes or goes changes few subsets.

#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "figwind/ids.h"

namespace figwind {

/// One server node of a service, as reported by the membership.
struct server {
  node_id id;
  vm_address call_address;
  failure_domain domain;
  /// Requests that its backend server can run at once.
  int slots = 1;
  /// Connections that it accepts from all entry nodes together.
  int connections = 1;
  /// True if the server is draining; it is never chosen then.
  bool draining = false;

  friend auto operator==(const server&, const server&) -> bool = default;
};

/// Most servers of a service that a node uses.
struct subset_limits {
  std::size_t local = 12;
  /// In all other failure domains together.
  std::size_t remote = 12;
};

/// Servers of one service, by the failure domain of the node that uses them.
struct servers_by_domain {
  std::vector<server> local;
  std::vector<server> remote;
};

auto split_by_domain(const std::vector<server>& servers,
                     const failure_domain& own) -> servers_by_domain;

/// Returns the `count` of `servers` with the highest rendezvous weight for
/// `self`, highest first. Adding or removing one server changes at most one
/// server of the result.
auto rendezvous_subset(const vm_address& self, std::vector<server> servers,
                       std::size_t count) -> std::vector<server>;

/// Returns the servers of a service to which the node `self` keeps links: the
/// subset that it uses, and for each server of it that cannot be reached the
/// next one in the same order, at most as many again.
auto servers_to_link(const vm_address& self, const failure_domain& own,
                     const std::vector<server>& servers,
                     const std::function<bool(const server&)>& is_unreachable,
                     const subset_limits& limits = {}) -> std::vector<server>;

}  // namespace figwind
