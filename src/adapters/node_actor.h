// The actor that owns a node's decisions, and the blocking calls by which HTTP
// threads reach it.

#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <memory>
#include <string>

#include "figwind/node_core.h"

namespace figwind {

/// Blocking access to a node's actor; thread-safe.
class node_handle {
 public:
  node_handle(caf::actor_system& system, node_options options,
              workload initial);
  ~node_handle();
  node_handle(const node_handle&) = delete;
  auto operator=(const node_handle&) -> node_handle& = delete;
  node_handle(node_handle&&) = delete;
  auto operator=(node_handle&&) -> node_handle& = delete;

  /// Starts a call. With depth 0 the node fills in what the class decides.
  auto begin_call(const call_context& context) -> call_effect;

  /// Reports an attempt and waits for the next step of its call.
  auto end_attempt(const attempt_report& report) -> call_effect;

  /// Waits until the attempt may run or is refused.
  auto begin_run(const call_context& context) -> run_effect;

  /// Reports that a request allowed by `begin_run` has ended.
  void end_run(std::uint64_t ticket, const call_answer& answer);

  /// Tells the node of the backend server beside it.
  void announce(const backend_announcement& backend);

  /// Address of the backend server; empty before it announced itself.
  auto backend_address() -> vm_address;

 private:
  struct shared;

  std::shared_ptr<shared> shared_;
  caf::actor actor_;
};

}  // namespace figwind
