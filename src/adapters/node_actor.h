// The actor that owns a node's decisions, and the blocking calls by which HTTP
// threads reach it.

#pragma once

#include <atomic>
#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "adapters/metrics.h"
#include "figwind/node_core.h"

namespace figwind {

/// Answer of the node to an attempt at its server side.
struct run_reply {
  run_action step;
  /// To be sent with the answer.
  std::vector<threshold_report> thresholds;
  bool draining = false;
};

/// What a node tells of itself to operators.
struct node_status {
  node_id self;
  config_version version;
  bool ready = false;
  bool isolated = false;
  bool draining = false;
  bool drained = false;
  vm_address leader;
  backend_announcement backend;
  int in_flight = 0;
  int limit = 0;
  /// Keys that this node holds as a recorder, and the memory that they take.
  std::size_t recorded_keys = 0;
  std::size_t recorder_bytes = 0;
  std::vector<usable_server> servers;
};

/// What a node's actor uses to act.
struct node_ports {
  std::function<void(const vm_address&, const node_message&)> send;
  /// Tells the backend server that nobody waits for the request.
  std::function<void(const call_context&)> cancel;
  metrics* counters = nullptr;
};

/// Blocking access to a node's actor; thread-safe.
class node_handle {
 public:
  node_handle(caf::actor_system& system, node_options options, node_ports ports,
              std::string initial_workload);
  ~node_handle();
  node_handle(const node_handle&) = delete;
  auto operator=(const node_handle&) -> node_handle& = delete;
  node_handle(node_handle&&) = delete;
  auto operator=(node_handle&&) -> node_handle& = delete;

  /// Starts a call and waits for its first step.
  auto begin_call(const call_context& context, request_fingerprint request)
      -> entry_action;

  /// Reports an attempt and waits for the next step of its call.
  auto end_attempt(attempt_report report, const node_id& server, bool draining)
      -> entry_action;

  /// Waits until the attempt may run or is answered.
  auto begin_run(const call_context& context, request_fingerprint request)
      -> run_reply;

  /// Reports that a request that was told to run has ended; the reply is the
  /// answer for the entry node.
  auto end_run(run_ticket ticket, run_report report) -> run_reply;

  /// Tells the node of the backend server beside it.
  void announce(const backend_announcement& backend);

  /// Takes a message of another process.
  void receive(const node_message& message);

  void begin_drain();

  /// Announces that the backend server is gone; after a drain.
  void leave();

  /// Takes new work again as a new life of the node; false while work of the
  /// drained life goes on.
  auto end_drain() -> bool;

  auto status() -> node_status;
  auto burn() -> node_burn;

 private:
  template <class Reply, class Message>
  auto ask(Message message) -> Reply;

  std::atomic<run_ticket> next_ticket_{1};
  caf::actor actor_;
};

}  // namespace figwind
