// A control member of the fleet as a whole: the decisions joined with the disk
// and the links.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "adapters/asio.h"
#include "adapters/fleet_metrics.h"
#include "adapters/peer_link.h"
#include "adapters/posix_files.h"
#include "figwind/fleet_member.h"
#include "figwind/fleet_settings.h"

namespace figwind {

class fleet_control {
 public:
  using reply_handler = std::function<void(const desired_reply&)>;

  /// Throws `std::runtime_error` when the data folder cannot be read.
  fleet_control(event_loop& loop, const fleet_settings& settings);

  /// Reads the newest desired state. `done` is called once; members that do not
  /// lead answer "unknown".
  void read(reply_handler done);
  void change(const desired_change& change, reply_handler done);

  /// IP number of the leader's VM; empty if unknown, or if this one leads.
  [[nodiscard]] auto other_leader() const -> std::string;
  [[nodiscard]] auto leads() const -> bool { return member_->leads(); }

  void reload(const fleet_settings& settings);

  [[nodiscard]] auto metrics_text() -> std::string;

 private:
  void open();
  void tick();
  void carry_out(const member_output& out);
  void persist(const std::vector<persist_batch>& batches);
  void send(const outgoing<fleet_message>& x);
  void on_session(const std::shared_ptr<link_session>& session);
  auto counted(const char* kind, reply_handler done) -> reply_handler;
  void note_members(const member_output& out);
  [[nodiscard]] auto options() const -> fleet_member_options;

  event_loop& loop_;
  fleet_settings settings_;
  vm_address self_;
  std::unique_ptr<posix_files> files_;
  std::unique_ptr<disk_storage> storage_;
  std::unique_ptr<fleet_member> member_;
  fleet_metrics metrics_;
  link_dialer links_;
  link_listener listener_;
  /// Connections over which nodes are answered.
  std::unordered_map<vm_address, std::weak_ptr<link_session>> nodes_;
  std::map<member_ticket, reply_handler> waiting_;
  std::unique_ptr<periodic<std::function<void()>>> ticker_;
  std::unique_ptr<periodic<std::function<void()>>> link_checker_;
  time_point reopen_at_;
  bool disk_failed_ = false;
};

}  // namespace figwind
