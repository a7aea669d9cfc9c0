// Runs a control member: connects the decisions of `fleet_member` to the disk
// and the links. Inputs are messages of nodes and members and the reads and
// changes of operators; outputs are messages, disk writes and replies.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "adapters/asio.h"
#include "adapters/background_worker.h"
#include "adapters/fleet_metrics.h"
#include "adapters/loop_delay_log.h"
#include "adapters/peer_link.h"
#include "adapters/posix_files.h"
#include "figwind/drain_store.h"
#include "figwind/fleet_member.h"
#include "figwind/fleet_settings.h"

namespace figwind {

class fleet_control {
 public:
  using reply_handler = std::function<void(const desired_reply&)>;

  /// Throws `std::runtime_error` if the data folder cannot be opened or read.
  fleet_control(event_loop& loop, const fleet_settings& settings);

  /// Reads the newest desired state. `done` is called once, with status
  /// `unknown` if this member is not the leader.
  void read(reply_handler done);
  void change(const desired_change& change, reply_handler done);

  /// IP address of the leader's VM; empty if this member leads or the leader is
  /// unknown.
  [[nodiscard]] auto remote_leader_ip() const -> std::string;
  [[nodiscard]] auto is_leader() const -> bool { return member_->is_leader(); }

  void reload(const fleet_settings& settings);

  /// Stops in an orderly way: hands leadership over, waits until `is_drained`
  /// returns true, which it is asked in each tick, and calls `done`. After
  /// `max_stop_time` it calls `done` in any case.
  void stop(std::function<bool()> is_drained, std::function<void()> done);

  /// True if the change with this id is in force or was before.
  [[nodiscard]] auto has_accepted(const request_id& id) const -> bool {
    return member_->has_accepted(id);
  }

  [[nodiscard]] auto metrics_text() -> std::string;

 private:
  void open_storage();
  /// Returns the drains that were saved before the start.
  auto open_drains() -> std::vector<node_report>;
  /// Saves beside the event loop, as a slow disk must not delay heartbeats.
  void save(const drain_batch& batch);
  void tick();
  void apply_output(const member_output& out);
  void advance_stop(time_point now);
  void persist(const std::vector<persist_batch>& batches);
  void send(const outgoing<fleet_message>& x);
  void on_session(const std::shared_ptr<link_session>& session);
  auto with_request_count(const char* kind, reply_handler done)
      -> reply_handler;
  void log_membership(const member_output& out);
  [[nodiscard]] auto member_options() const -> fleet_member_options;

  fleet_settings settings_;
  vm_address self_address_;
  std::unique_ptr<posix_files> files_;
  std::unique_ptr<disk_storage> storage_;
  /// Used by `drain_worker_` only, once it is open.
  std::shared_ptr<posix_files> drain_files_;
  background_worker drain_worker_;
  std::unique_ptr<fleet_member> member_;
  fleet_metrics metrics_;
  link_dialer links_;
  link_listener listener_;
  /// Sessions by node address, for updates to the nodes.
  std::unordered_map<vm_address, std::weak_ptr<link_session>> node_sessions_;
  std::map<member_ticket, reply_handler> pending_replies_;
  loop_delay_log delay_log_;
  std::unique_ptr<periodic_timer<std::function<void()>>> tick_timer_;
  std::unique_ptr<periodic_timer<std::function<void()>>> link_check_timer_;
  /// Number of the present `member_`.
  std::uint64_t member_number_ = 0;
  time_point disk_reopen_at_;
  bool disk_failed_ = false;
  std::optional<time_point> stopping_since_;
  std::function<bool()> is_drained_;
  std::function<void()> on_stopped_;
};

}  // namespace figwind
