// The actor that owns the decisions and the disk of a control member, and the
// blocking calls by which HTTP threads reach it.

#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "figwind/control_core.h"
#include "figwind/finding.h"

namespace figwind {

/// What a control member tells of itself to operators.
struct control_status {
  member_id self;
  member_role role = member_role::follower;
  member_state standing = member_state::forming;
  log_term term = 0;
  log_index applied = 0;
  vm_address leader;
  /// Why no change can be accepted now; empty when one can.
  std::string refusal;
  accepted_config config;
  membership members;
  std::vector<server_record> servers;
  std::map<failure_domain, std::map<config_version, std::size_t>> versions;
  std::vector<lagging_node> lagging;
  std::vector<failure_domain> silent;
  /// Recorder groups in force.
  std::size_t groups = 0;
};

/// What a control member's actor uses to act.
struct control_ports {
  std::function<void(const vm_address&, const control_message&)> send;
};

/// Blocking access to a control member's actor; thread-safe.
class control_handle {
 public:
  /// Opens the data folder; throws `std::runtime_error` with the findings when
  /// it is damaged.
  control_handle(caf::actor_system& system, control_options options,
                 const std::string& data_folder, control_ports ports);
  ~control_handle();
  control_handle(const control_handle&) = delete;
  auto operator=(const control_handle&) -> control_handle& = delete;
  control_handle(control_handle&&) = delete;
  auto operator=(control_handle&&) -> control_handle& = delete;

  /// Waits until the change is accepted or refused, at most `patience`; without
  /// an answer its outcome is unknown and it may be sent again.
  auto change(const config_change& change, duration patience) -> change_reply;

  /// Empty when the replacement has begun, else why not.
  auto replace_member(member_id replaces, member_id id,
                      const vm_address& address) -> std::string;

  /// Takes a message of another process.
  void receive(const control_message& message);

  auto status() -> control_status;

 private:
  caf::actor actor_;
};

}  // namespace figwind
