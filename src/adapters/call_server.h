// The HTTP interface of a node towards callers, its backend server and other
// nodes.

#pragma once

#include <httplib.h>

#include <atomic>
#include <string>
#include <thread>

#include "adapters/http_client.h"
#include "adapters/node_actor.h"
#include "figwind/settings.h"

namespace figwind {

/// Serves calls until it is destroyed.
class call_server {
 public:
  /// Listens on `call_address` of `own`; throws `std::runtime_error` when the
  /// address cannot be bound.
  call_server(const settings& own, node_handle& node);
  ~call_server();
  call_server(const call_server&) = delete;
  auto operator=(const call_server&) -> call_server& = delete;
  call_server(call_server&&) = delete;
  auto operator=(call_server&&) -> call_server& = delete;

 private:
  void serve_call(const httplib::Request& in, httplib::Response& out);
  void serve_run(const httplib::Request& in, httplib::Response& out);
  void serve_announcement(const httplib::Request& in, httplib::Response& out);

  auto attempt(const attempt_order& order, const std::string& body)
      -> struct attempt_result;
  auto attempt_remote(const attempt_order& order, const std::string& body)
      -> struct attempt_result;
  auto run(const call_context& context, const std::string& body)
      -> struct attempt_result;

  const settings& own_;
  node_handle& node_;
  http_client client_;
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace figwind
