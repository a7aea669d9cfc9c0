// The HTTP interface of a process towards operators.

#pragma once

#include <httplib.h>

#include <string>
#include <thread>

#include "adapters/control_actor.h"
#include "adapters/http_client.h"
#include "adapters/metrics.h"
#include "adapters/node_actor.h"
#include "figwind/settings.h"

namespace figwind {

/// The parts of a process that operators reach; null for a missing role.
struct operator_ports {
  node_handle* node = nullptr;
  control_handle* control = nullptr;
  metrics* counters = nullptr;
  /// Token that guards changes; empty refuses all of them.
  std::string token;
};

/// Serves operators until it is destroyed.
class operator_server {
 public:
  /// Listens on `operator_address` of `own`; throws `std::runtime_error` when
  /// the address cannot be bound.
  operator_server(const process_settings& own, operator_ports ports);
  ~operator_server();
  operator_server(const operator_server&) = delete;
  auto operator=(const operator_server&) -> operator_server& = delete;
  operator_server(operator_server&&) = delete;
  auto operator=(operator_server&&) -> operator_server& = delete;

 private:
  void add_routes();
  void show_config(httplib::Response& out);
  void change_config(const httplib::Request& in, httplib::Response& out);
  void replace_member(const httplib::Request& in, httplib::Response& out);
  void show_status(httplib::Response& out);
  void show_burn(httplib::Response& out);
  void show_metrics(httplib::Response& out);
  void show_ready(httplib::Response& out);
  void drain(httplib::Response& out);
  void undrain(httplib::Response& out);
  auto authorized(const httplib::Request& in, httplib::Response& out) const
      -> bool;

  const process_settings& own_;
  operator_ports ports_;
  http_client client_;
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace figwind
