// Requests that run on the backend server of a node, by their ids, so that the
// calls they make inherit their chain.

#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "figwind/admission.h"
#include "figwind/call_chain.h"
#include "figwind/ids.h"
#include "figwind/retry_budget.h"

namespace figwind {

/// One request that runs on the backend server.
struct running_call {
  class_name name;
  call_chain chain;
  /// Calls of this run that were answered.
  int calls_answered = 0;
  /// Calls of this run that failed.
  int calls_failed = 0;
  /// True if a call of this run, or one downstream of it, found no server.
  bool no_server_found = false;
  /// Levels of calls below this run and their retry use, from the answers of
  /// its calls.
  downstream_retries downstream;
  /// Thresholds of the services that its calls used, one for each server. At
  /// the end of the run, services whose servers all admit all are left out.
  std::vector<threshold_report> thresholds;
};

class running_calls {
 public:
  /// The backend server starts to run the request `id`.
  void start(const std::string& id, const class_name& name,
             const call_chain& chain);

  /// The run of `id` has ended; `complete` is true if its answer was complete.
  /// Returns its record, or an empty one for an unknown id.
  auto end(const std::string& id, bool complete) -> running_call;

  /// The run of `id`, or null.
  [[nodiscard]] auto find(const std::string& id) const -> const running_call*;

  /// Chain of a call that this run makes.
  [[nodiscard]] static auto downstream_chain(const running_call& run)
      -> call_chain;

  /// Expected number of calls that the run still makes, including the one that
  /// begins now; at least 1.
  [[nodiscard]] auto expected_calls_left(const running_call& run) const -> int;

  /// A call of the run `id` was answered. `call` is the retry use downstream of
  /// the call, including the budget of its own service.
  void on_call_answered(const std::string& id, bool complete,
                        const downstream_retries& call,
                        const std::vector<threshold_report>& thresholds);

  /// A call of the run `id` was completed by the server of `node`. Unless
  /// `thresholds`, those of the answer, have one of this node, it admits all.
  void on_call_completed(const std::string& id, const service_name& service,
                         const vm_address& node,
                         const std::vector<threshold_report>& thresholds);

  /// A call of the run `id`, or one downstream of it, found no server.
  void on_no_server(const std::string& id);

  [[nodiscard]] auto size() const -> std::size_t { return runs_.size(); }

 private:
  std::unordered_map<std::string, running_call> runs_;
  /// Mean number of calls of a complete run.
  std::unordered_map<class_name, double> mean_calls_;
};

}  // namespace figwind
