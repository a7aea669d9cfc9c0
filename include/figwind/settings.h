// Settings of one process, read from its INI file at startup.

#pragma once

#include <string>
#include <vector>

#include "figwind/finding.h"
#include "figwind/ids.h"
#include "figwind/ini.h"
#include "figwind/units.h"

namespace figwind {

/// A control member in the settings, written as `ID@address/failure domain`.
struct control_member {
  std::uint64_t id = 0;
  vm_address address;
  failure_domain domain;

  friend auto operator==(const control_member&, const control_member&)
      -> bool = default;
};

/// Settings of one process.
struct process_settings {
  /// Cluster name; processes with another name are refused.
  std::string cluster;
  failure_domain domain;
  bool is_node = false;
  bool is_control = false;
  /// Address for messages between figwind's processes.
  vm_address control_address;
  /// HTTP address for callers, backend servers and other nodes; nodes only.
  vm_address call_address;
  /// HTTP address for operators and metrics.
  vm_address operator_address;
  /// Folder of the durable state; control members only.
  std::string data_folder;
  /// File with the token that authorizes changes; if empty, all changes are
  /// refused.
  std::string token_file;
  /// Longest wait for work in progress after the start of a drain.
  duration drain_limit = minutes(10);
  /// Id of this process among `members`; control members only.
  std::uint64_t member_id = 0;
  std::vector<control_member> members;

  friend auto operator==(const process_settings&, const process_settings&)
      -> bool = default;
};

/// Upper bound of `drain_limit`.
constexpr auto max_drain_limit = minutes(24.0 * 60);

/// Parses the sections `[process]`, `[node]` and `[control]`. Returns the
/// settings, or all findings of the file.
auto parse_process_settings(const ini_file& file) -> result<process_settings>;

/// Parses settings from text; findings use `name` as the file name.
auto parse_process_settings(const std::string& name, const std::string& text)
    -> result<process_settings>;

}  // namespace figwind
