// Announcements of backend servers, and selection of the newest one.
//
// Announcements arrive over HTTP, possibly late, duplicated, reordered or from
// an earlier incarnation of a server. They are ordered by the start time of the
// server, then by sequence number.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

/// Name that a backend server chooses; it may keep the name across restarts.
using server_name = strong_type<struct server_name_tag, std::string>;

/// In the order in which a server takes them on within one incarnation.
enum class announced_state : std::uint8_t { serving, draining, left };

struct announcement {
  server_name server;
  service_name service;
  vm_address address;
  failure_domain domain;
  std::uint32_t slots = 1;
  announced_state state = announced_state::serving;
  /// Remaining time of the cold start, during which the server is slower.
  duration cold_start_left;
  /// Start of this incarnation of the server in Unix ms; 0 if not specified.
  std::int64_t born_ms = 0;
  /// Increases within one incarnation; 0 if not specified.
  std::uint64_t sequence = 0;
};

template <class Inspector>
auto inspect(Inspector& f, announcement& x) {
  return f(x.server, x.service, x.address, x.domain, x.slots, x.state,
           x.cold_start_left, x.born_ms, x.sequence);
}

enum class announcement_effect : std::uint8_t {
  /// Older than the current announcement, or a duplicate.
  stale,
  /// Confirms the current state.
  refreshed,
  /// Changes the state of the node's backend server.
  changed,
  /// The announced address differs from that of the node's backend server.
  foreign,
};

auto to_string(announced_state x) -> std::string;
auto to_string(announcement_effect x) -> std::string;

/// True unless the announced start lies further in the future than clocks
/// differ. Such an announcement would count as the newest one for good.
auto has_plausible_start(const announcement& x, time_point unix_now) -> bool;

/// Tracks the newest announcement at one address.
class announcement_tracker {
 public:
  /// Announcements for addresses other than `address` are rejected.
  explicit announcement_tracker(vm_address address)
      : address_{std::move(address)} {}

  auto apply(const announcement& x, time_point now) -> announcement_effect;

  /// Processes the departure of a server; `born_ms` 0 stands for its current
  /// incarnation.
  auto leave(const server_name& server, std::int64_t born_ms, time_point now)
      -> announcement_effect;

  /// The server at the address has said that it leaves, other than by an
  /// announcement: it counts as draining. `born_ms` is the start of its
  /// incarnation.
  auto observe_leaving(const server_name& server, std::int64_t born_ms,
                       time_point now) -> announcement_effect;

  /// A control member knows that the server has drained or left, as `known`
  /// says. A node that has restarted may not, and may have taken a late
  /// announcement since.
  auto learn_drain(const announcement& known, time_point now)
      -> announcement_effect;

  /// The server at the address, also while it drains and after it left; empty
  /// before the first announcement.
  [[nodiscard]] auto current() const -> const std::optional<announcement>& {
    return current_;
  }

  /// Time of the last announcement of the current server.
  [[nodiscard]] auto last_announced() const -> time_point {
    return last_announced_;
  }

  /// Changes the address and discards all announcements for the old one.
  void set_address(vm_address address);

 private:
  [[nodiscard]] auto is_newer(const announcement& x) const -> bool;
  [[nodiscard]] auto is_current(const server_name& server,
                                std::int64_t born_ms) const -> bool;

  vm_address address_;
  std::optional<announcement> current_;
  time_point last_announced_;
  /// Start times of incarnations that left; late announcements do not revive
  /// them.
  std::map<server_name, std::int64_t> departures_;
};

}  // namespace figwind
