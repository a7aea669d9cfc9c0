// Routes: the classes of requests, whether they may be retried, and the
// services that run them.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figwind/finding.h"
#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

/// Whether a request that may already have run may be sent again.
enum class retry_rule : std::uint8_t { idempotent, at_most_once };

/// A service that receives a share of a route's requests.
struct weighted_service {
  service_name service;
  /// Share of the requests relative to the other services of the route.
  double weight = 1;
};

/// One class of requests and the services that it is routed to.
struct route {
  class_name name;
  /// Compared case-insensitively.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  retry_rule retry = retry_rule::at_most_once;
  /// Longest time that a caller is kept waiting.
  duration timeout;
  /// Time within which an answer has its full value.
  duration target_latency;
  /// Importance rank; 0 is the most important.
  int priority = 0;
  /// Maximum number of backend servers that one request may be sent to.
  int max_attempts = 1;
  std::vector<weighted_service> services;
};

struct service_settings {
  service_name name;
  /// Connections that one backend server accepts from all callers together.
  int connections = 0;
};

/// Limits on the size of callers' requests and on the time that callers may
/// take.
struct caller_limits {
  std::size_t header_bytes = std::size_t{16} << 10U;
  std::size_t body_bytes = std::size_t{64} << 20U;
  duration header_timeout = seconds(3);
  duration idle_timeout = seconds(15);
};

struct route_config {
  std::vector<route> routes;
  std::vector<service_settings> services;
  caller_limits limits;
};

/// All errors in `config`; empty if it is valid.
auto check(const route_config& config) -> findings;

/// The routes in force, for lookup by host and path.
class route_table {
 public:
  route_table() = default;
  explicit route_table(route_config config);

  /// The route of `host` with the longest prefix of `path`, or null. Ignores a
  /// port in `host` and a query in `path`.
  [[nodiscard]] auto find(std::string_view host, std::string_view path) const
      -> const route*;

  [[nodiscard]] auto config() const -> const route_config& { return config_; }

 private:
  route_config config_;
  /// Index into `config_.routes` by lower-case host and prefix.
  std::unordered_map<std::string, std::size_t> by_host_and_prefix_;
};

/// Chooses a service by weight; `unit` is a uniform random number in [0, 1).
/// Null if no service has a weight above 0.
auto choose_service(const route& x, double unit) -> const weighted_service*;

}  // namespace figwind
