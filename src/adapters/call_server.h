// The HTTP interface of a node towards callers, its backend server and other
// nodes.

#pragma once

#include <httplib.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

#include "adapters/http_client.h"
#include "adapters/node_actor.h"
#include "adapters/thread_pool.h"
#include "figwind/settings.h"

namespace figwind {

/// Serves calls until it is destroyed.
class call_server {
 public:
  /// Listens on `call_address` of `own`; throws `std::runtime_error` when the
  /// address cannot be bound.
  call_server(const process_settings& own, node_handle& node);
  ~call_server();
  call_server(const call_server&) = delete;
  auto operator=(const call_server&) -> call_server& = delete;
  call_server(call_server&&) = delete;
  auto operator=(call_server&&) -> call_server& = delete;

  /// Tells the backend server that nobody waits for the request; returns at
  /// once.
  void cancel(const call_context& context);

 private:
  /// Answer of a server node, as it goes to the entry node.
  struct server_answer {
    answer_header head;
    std::string body;
    std::vector<threshold_report> thresholds;
    bool draining = false;
  };

  void serve_call(const httplib::Request& in, httplib::Response& out);
  void serve_run(const httplib::Request& in, httplib::Response& out);
  void serve_announcement(const httplib::Request& in, httplib::Response& out);

  auto attempt(const attempt_action& order, const std::string& body,
               bool& draining) -> attempt_report;
  auto attempt_remote(const attempt_action& order, const std::string& body,
                      bool& draining) -> attempt_report;
  auto run(const call_context& context, attempt_number number,
           const std::string& body) -> server_answer;
  auto run_on_backend(const call_context& context, const std::string& body)
      -> run_report;
  void set_backend(const backend_announcement& backend);
  auto backend() -> backend_announcement;
  void watch_backend();
  /// True when the backend server takes no connection; it is then watched
  /// until it does.
  auto lost_backend() -> bool;

  const process_settings& own_;
  node_handle& node_;
  http_client client_;
  std::mutex mutex_;
  backend_announcement backend_;
  std::atomic<bool> watching_{false};
  std::atomic<bool> closing_{false};
  thread_pool background_;
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace figwind
