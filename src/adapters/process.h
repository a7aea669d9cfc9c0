// One process of figwind: the parts that its settings ask for, connected.

#pragma once

#include <atomic>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <memory>
#include <string>

#include "adapters/call_server.h"
#include "adapters/control_actor.h"
#include "adapters/metrics.h"
#include "adapters/node_actor.h"
#include "adapters/operator_server.h"
#include "adapters/transport.h"
#include "figwind/settings.h"

namespace figwind {

/// Leaves CAF's shared scheduler one thread. All actors have threads of their
/// own, and ten idle workers that looked for work to steal took half of the
/// processor time of an idle node.
void limit_scheduler(caf::actor_system_config& config);

/// Runs from its construction to its destruction.
class process {
 public:
  /// `initial_workload` is the text of classes that are in force until a
  /// configuration is accepted; empty for none. Throws `std::runtime_error`
  /// when an address cannot be bound, the token cannot be read or the data
  /// folder is damaged.
  process(caf::actor_system& system, process_settings own,
          const std::string& initial_workload);
  ~process();
  process(const process&) = delete;
  auto operator=(const process&) -> process& = delete;
  process(process&&) = delete;
  auto operator=(process&&) -> process& = delete;

  /// Refuses new work and waits until all work has ended, at most the drain
  /// limit of the settings. True when everything has ended.
  auto drain() -> bool;

 private:
  void open_node(caf::actor_system& system,
                 const std::string& initial_workload);
  void open_control(caf::actor_system& system);
  void receive(const envelope& x);
  void send(const vm_address& to, const process_message& message);

  process_settings own_;
  metrics metrics_;
  std::unique_ptr<node_handle> node_;
  std::unique_ptr<control_handle> control_;
  std::unique_ptr<call_server> calls_;
  std::unique_ptr<operator_server> operators_;
  // Threads of the parts use these before all parts are there.
  std::atomic<node_handle*> node_ready_{nullptr};
  std::atomic<control_handle*> control_ready_{nullptr};
  std::atomic<call_server*> calls_ready_{nullptr};
  std::atomic<transport*> transport_ready_{nullptr};
  std::unique_ptr<transport> transport_;
};

}  // namespace figwind
