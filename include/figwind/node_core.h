// All decisions of one node: events go in, effects come out.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "figwind/call.h"
#include "figwind/ids.h"
#include "figwind/random.h"
#include "figwind/units.h"
#include "figwind/workload.h"

namespace figwind {

/// What a backend server says of itself to the node beside it.
struct backend_announcement {
  service_name service;
  /// HTTP address of the backend server.
  vm_address address;
  /// Requests that it can run at once.
  int slots = 0;
  /// Connections that it accepts.
  int connections = 0;

  friend auto operator==(const backend_announcement&,
                         const backend_announcement&) -> bool = default;
};

/// Makes the attempt `number` of a call at a server node.
struct attempt_order {
  int number = 0;
  /// Call address of the server node.
  vm_address server;
  /// True when the server node is this node.
  bool local = false;
  /// What the attempt carries.
  call_context context;
};

/// Ends a call with this outcome; a complete answer is the one that the last
/// attempt brought.
struct call_answer {
  call_status status = call_status::not_run;
  refusal reason = refusal::none;

  friend auto operator==(const call_answer&, const call_answer&)
      -> bool = default;
};

using call_step = std::variant<attempt_order, call_answer>;

/// The next step of a call at its entry node.
struct call_effect {
  request_id id;
  call_step step;
};

/// Whether a request may run on the backend server of this node.
struct run_effect {
  std::uint64_t ticket = 0;
  bool run = false;
  /// Why not, when `run` is false.
  call_answer answer;
};

using node_effect = std::variant<call_effect, run_effect>;
using node_effects = std::vector<node_effect>;

/// What became of one attempt.
struct attempt_report {
  request_id id;
  int number = 0;
  call_answer answer;
  duration latency;
};

/// Settings of the decisions of one node.
struct node_options {
  failure_domain domain;
  vm_address call_address;
  std::uint64_t seed = 0;
};

/// One node. All functions return what has to be done now.
class node_core {
 public:
  explicit node_core(node_options options);

  /// Puts `classes` in force.
  void set_workload(workload classes);

  /// The backend server beside this node is ready.
  void announce(const backend_announcement& backend);

  /// A caller's request at its entry node; `context.id` must be unique.
  auto call_arrived(const call_context& context, time_point now)
      -> node_effects;

  /// An attempt that `attempt_order` asked for has ended.
  auto attempt_ended(const attempt_report& report, time_point now)
      -> node_effects;

  /// An attempt has reached this node, which stands beside its server.
  auto run_arrived(std::uint64_t ticket, const call_context& context,
                   time_point now) -> node_effects;

  /// A request that was allowed to run has ended.
  auto run_ended(std::uint64_t ticket, const call_answer& answer,
                 time_point now) -> node_effects;

  /// The backend server beside this node; empty before it announced itself.
  auto backend() const -> const backend_announcement& { return backend_; }

  /// A fresh request id.
  auto make_id() -> request_id { return {random_.bits(), random_.bits()}; }

  auto classes() const -> const workload& { return workload_; }

 private:
  node_options options_;
  workload workload_;
  backend_announcement backend_;
  random_source random_;
  int running_ = 0;
};

}  // namespace figwind
