// Settings of a fleet process, read from its INI file at startup and whenever
// the file changes.

#pragma once

#include <string>
#include <vector>

#include "figwind/finding.h"
#include "figwind/ids.h"
#include "figwind/ini.h"
#include "figwind/units.h"

namespace figwind {

struct fleet_settings {
  /// Name of the process in logs.
  std::string name;
  failure_domain domain;
  /// IP address of the VM.
  std::string ip;
  /// Port of the links between processes, the same on all VMs.
  std::uint16_t link_port = 0;
  /// Port on which the process accepts links if a proxy between the VMs
  /// forwards them; 0 for `link_port`.
  std::uint16_t link_listen_port = 0;
  /// Port of the metrics endpoint; 0 for none.
  std::uint16_t metrics_port = 0;
  /// HTTP address for operators and backend servers.
  vm_address control_address;
  /// Control addresses of some control members.
  std::vector<vm_address> seeds;
  /// Longest time from the request to stop until the process exits.
  duration grace = seconds(6);

  /// Nodes: HTTP addresses for callers, and for the check whether the node
  /// accepts new work.
  vm_address call_address;
  vm_address ready_address;
  /// Nodes: address and service of the backend server beside the node.
  vm_address backend_address;
  service_name service;

  /// Control members: folder of the durable state.
  std::string data_folder;
  /// Control members: maximum size in bytes of a desired state.
  std::size_t max_state_bytes = std::size_t{4} << 20U;
  /// Control members: true only at the first start of the whole system.
  bool first_start = false;

  /// Share of the requests to a service that may be retries, over all nodes
  /// together, and the number of retries allowed beyond it in each window.
  double repeat_ratio = 0.2;
  double repeat_slack = 40;
  duration repeat_window = seconds(10);

  friend auto operator==(const fleet_settings&, const fleet_settings&)
      -> bool = default;
};

/// Role of a process.
enum class fleet_role : std::uint8_t { node, control };

/// Parses the sections `[process]`, `[node]`, `[control]` and `[repeats]`.
/// Returns the settings, or all findings of the file.
auto parse_fleet_settings(const ini_file& file, fleet_role role)
    -> result<fleet_settings>;

/// Returns the address on which the process accepts links.
auto link_listen_address(const fleet_settings& x) -> vm_address;

/// Returns the link addresses of the control members at `seeds`.
auto link_seeds(const fleet_settings& x) -> std::vector<vm_address>;

/// Returns the size of a change with the largest desired state, as proposed to
/// the replicated log.
auto max_proposal_bytes(const fleet_settings& x) -> std::size_t;

/// Returns `ip:port`.
auto address_at(const std::string& ip, std::uint16_t port) -> vm_address;
/// Returns the part of an address before its port.
auto ip_of(const vm_address& x) -> std::string;

}  // namespace figwind
