// Pool of the connections from one entry node to its servers: how many are kept
// open, and when a silent (half-open) connection is replaced.

#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

/// Number of a connection at one entry node, from 1.
using connection_number = std::uint64_t;

struct connection_pool_settings {
  /// Time to open a connection.
  duration open_time = milliseconds(1);
  /// Time of a probe over a new connection.
  duration probe_time = milliseconds(6);
  /// Time constant with which the remembered peak use decays.
  duration peak_time_constant = seconds(10);
  /// Connections opened at most this far apart are of the same age.
  duration same_age_window = seconds(1);
};

/// Attempt that a probe asks about.
struct probed_call {
  request_id id;
  std::uint32_t attempt = 0;

  friend auto operator==(const probed_call&, const probed_call&)
      -> bool = default;
};

/// State of a probed attempt at the server node.
enum class probe_result : std::uint8_t {
  /// Queued or running: the connection may be intact.
  pending,
  /// The answer was sent: the connection is silent.
  answered,
  /// The request never arrived: the connection is silent.
  never_arrived,
};

/// Sent over a new connection; the server node replies for each call.
struct probe_request {
  std::vector<probed_call> calls;
};

struct probe_reply {
  std::vector<probe_result> calls;
};

template <class Inspector>
auto inspect(Inspector& f, probed_call& x) {
  return f(x.id, x.attempt);
}

template <class Inspector>
auto inspect(Inspector& f, probe_request& x) {
  return f(x.calls);
}

template <class Inspector>
auto inspect(Inspector& f, probe_reply& x) {
  return f(x.calls);
}

enum class pool_action_kind : std::uint8_t {
  /// Open a connection to `server` and report `on_opened` or `on_open_failed`.
  open,
  /// Close `connection`. An attempt on it counts as broken after its request
  /// was sent completely, as far as the entry node can tell.
  close,
  /// Send a probe about `calls` to `server` over a new connection and report
  /// `on_probe_reply` or `on_probe_failed`.
  probe,
};

struct pool_action {
  pool_action_kind kind = pool_action_kind::open;
  node_id server;
  connection_number connection = 0;
  std::vector<probed_call> calls;
  /// For `probe`: the connections of `calls`, in the same order.
  std::vector<connection_number> connections;
};

using pool_actions = std::vector<pool_action>;

/// Manages the connections of one entry node. Actions that are not triggered by
/// an event are returned by `tick`, to be called every 1 to 5 ms or when
/// traffic changes.
class connection_pool {
 public:
  explicit connection_pool(connection_pool_settings settings = {});

  /// Sets the limit of connections to `server`: its `connections` divided among
  /// `entry_nodes`, less one that stays free for probes.
  void set_server(const node_id& server, int connections, int entry_nodes);

  /// Closes idle connections at once and the others when they are released.
  auto remove_server(const node_id& server) -> pool_actions;

  /// A connection was opened after `open`. Returns its number.
  auto on_opened(const node_id& server, time_point now) -> connection_number;

  /// A connection could not be opened.
  void on_open_failed(const node_id& server, time_point now);

  /// Returns an idle connection for an attempt, or 0; `tick` then opens another
  /// one unless the limit is reached.
  auto acquire(const node_id& server, const probed_call& call, time_point now)
      -> connection_number;

  /// Bytes were sent or received, so the connection is not quiet.
  void on_progress(connection_number connection, time_point now);

  /// The complete answer was received; the connection becomes idle.
  auto release(connection_number connection, time_point now) -> pool_actions;

  /// The connection broke.
  void on_connection_lost(connection_number connection);

  /// Returns the actions that are due: connections to open ahead of demand,
  /// idle ones to close, and probes about calls that are quiet for longer than
  /// usual.
  auto tick(time_point now) -> pool_actions;

  /// Handles the reply to a probe of `connections`.
  auto on_probe_reply(const node_id& server,
                      const std::vector<connection_number>& connections,
                      const probe_reply& reply, time_point now) -> pool_actions;

  /// No reply arrived: the server is at fault, not the connection.
  void on_probe_failed(const node_id& server, time_point now);

  /// Open connections, including those being opened, and those in use.
  auto open_count(const node_id& server) const -> int;
  auto used_count(const node_id& server) const -> int;

  /// Quiet time after which a call on `server` is probed; 0 while unknown.
  auto quiet_limit(const node_id& server) const -> duration;

 private:
  struct connection {
    node_id server;
    time_point opened;
    /// Last time that bytes were sent or received.
    time_point last_activity;
    time_point acquired;
    time_point next_probe;
    /// Set once the server node reports that the answer was sent.
    time_point answer_due;
    probed_call call;
    bool in_use = false;
    bool probe_pending = false;
    bool answer_sent = false;
    /// True if another connection of the same age was silent.
    bool suspect = false;
  };
  struct pool {
    int limit = 1;
    int opening = 0;
    /// Attempts that found no idle connection since the last tick.
    int unmet_demand = 0;
    double peak = 0;
    time_point peak_at;
    time_point retry_open_at;
    double mean_ms = 0;
    double deviation_ms = 0;
    bool probing = false;
    bool removed = false;
    std::vector<connection_number> idle;
    std::vector<connection_number> busy;
  };

  void forget(connection_number number);
  auto target_size(const pool& p) const -> int;
  void track_use(pool& p, time_point now);
  void resize(const node_id& server, pool& p, time_point now,
              pool_actions& out);
  void probe_quiet(const node_id& server, pool& p, time_point now,
                   pool_actions& out);
  void replace_overdue(pool& p, time_point now, pool_actions& out);
  void replace_silent(pool& p, connection_number silent, time_point now,
                      pool_actions& out);
  auto quiet_limit(const pool& p) const -> duration;

  connection_pool_settings settings_;
  connection_number next_connection_ = 1;
  std::unordered_map<node_id, pool> pools_;
  std::unordered_map<connection_number, connection> connections_;
};

}  // namespace figwind
