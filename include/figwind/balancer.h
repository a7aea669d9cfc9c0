// Load balancing: choice of a server node for each attempt from what the entry
// node itself observes, which are latencies, calls in flight and refusals.
//
// Methods: two random choices by load, ejection of slow servers (outlier
// detection), and rendezvous hashing for the subset of servers in use.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "figwind/call.h"
#include "figwind/ids.h"
#include "figwind/random.h"
#include "figwind/server_links.h"
#include "figwind/units.h"

namespace figwind {

/// Outcome of an attempt that a server accepted.
enum class attempt_outcome : std::uint8_t {
  /// A complete answer arrived; its latency counts.
  answered,
  /// The backend server itself failed, which counts against the server.
  server_error,
  /// Another failure, for example of a call that the request made.
  other_error,
  /// The connection broke or no answer arrived.
  no_answer,
  /// The entry node cancelled the attempt, which is no evidence about the
  /// server.
  cancelled,
};

/// Settings of the balancer of one entry node.
struct balancer_settings {
  /// Address of the entry node; determines its subset of each service's
  /// servers.
  vm_address self;
  failure_domain domain;
  subset_limits subset = {};
  /// Round-trip time to another failure domain.
  duration remote_round_trip = milliseconds(9);
  /// Largest share of a service's servers that may be ejected at a time.
  fraction max_ejected_share{0.34};
};

/// A chosen server, or the reason why there is none.
struct server_choice {
  /// Null if refused; valid until the next `set_servers` of the service.
  const server* target = nullptr;
  /// True if the call probes an ejected server.
  bool probe = false;
  /// True if the server is in another failure domain.
  bool remote = false;
  /// `no_server` or `overload` if `target` is null.
  refusal reason = refusal::none;
};

/// Number of a started attempt; 0 is no attempt.
using attempt_ticket = std::uint64_t;

/// Load balancer of one entry node. For each attempt, call `choose` and
/// `start_attempt`, then `finish_attempt` or `refuse_attempt` once. A second
/// end of the same ticket is ignored.
class balancer {
 public:
  explicit balancer(balancer_settings settings);
  balancer(balancer&&) noexcept;
  auto operator=(balancer&&) noexcept -> balancer&;
  balancer(const balancer&) = delete;
  auto operator=(const balancer&) -> balancer& = delete;
  ~balancer();

  /// Replaces the servers of `service`. Observations of servers that stay are
  /// kept. Attempts in flight at removed servers can still be ended.
  void set_servers(const service_name& service,
                   const std::vector<server>& servers);

  /// Returns a server for the next attempt, none of `excluded`. `may_probe` is
  /// false for calls that must not probe an ejected server, such as retries.
  auto choose(const service_name& service, std::span<const node_id> excluded,
              time_point now, random_source& random, bool may_probe = true)
      -> server_choice;

  /// Counts an attempt of class `kind` in flight at the chosen server. Returns
  /// 0 if the server has been removed.
  auto start_attempt(const service_name& service, const server_choice& chosen,
                     const class_name& kind, time_point now) -> attempt_ticket;

  /// States whether the server of an attempt in flight limits the rate of its
  /// calls. Call it before the end of the attempt. Calls to such a server are
  /// spaced out after its refusals; other servers may have room.
  void set_rate_limited(attempt_ticket ticket, bool is_limited, time_point now);

  /// Ends an attempt that the server accepted.
  void finish_attempt(attempt_ticket ticket, attempt_outcome end,
                      time_point now);

  /// Ends an attempt that the server refused without running it.
  void refuse_attempt(attempt_ticket ticket, refusal reason, time_point now);

  /// Stops choosing a server before the next `set_servers`, for example after
  /// the server has reported that it is draining.
  void mark_draining(const service_name& service, const node_id& id);

  /// True if a server that does not limit the rate of its calls can be chosen
  /// and has not refused one a moment ago.
  [[nodiscard]] auto has_room(const service_name& service, time_point now) const
      -> bool;

  /// Returns the servers of a service that this node uses, for the connection
  /// pool.
  auto subset(const service_name& service) const -> std::vector<server>;

  /// Returns the servers of the service that are ejected now.
  auto ejected_servers(const service_name& service) const
      -> std::vector<node_id>;

  /// Returns the mean latency of one class as observed by this node, without
  /// the round trip to other failure domains; 0 before the first observation.
  auto mean_latency(const service_name& service, const class_name& kind) const
      -> duration;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace figwind
