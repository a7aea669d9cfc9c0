// Admission control of whole requests by importance. Every hop decides the same
// way about a request.
//
// The entry node asks its `entry_gate` once for each request. Each server node
// runs a `threshold_controller` for its queue and returns the threshold on
// every answer, including refusals, as a `threshold_report`.

#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <unordered_map>
#include <vector>

#include "figwind/call.h"
#include "figwind/ids.h"
#include "figwind/service_time.h"
#include "figwind/units.h"

namespace figwind {

/// Position of a request in the order of admission: importance rank times
/// 65,536 plus 16 bits of the hash of the request id. Lower levels are admitted
/// first. A threshold is the highest admitted level.
using admission_level = strong_type<struct admission_level_tag, std::uint64_t>;

/// Threshold that admits every request.
constexpr auto admit_all_threshold =
    admission_level{std::numeric_limits<std::uint64_t>::max()};

/// Returns the level of a call. It is the same at every hop because it depends
/// only on the importance and on the request id (hashed with XXH3).
auto level_of(const call_context& call) -> admission_level;

/// Returns the level of a call, lowered by `margin` of the range of its
/// importance for each hop above this one, at most 4 hops. The result stays in
/// that range, so that a less important call never overtakes.
auto level_at_depth(const call_context& call, fraction margin)
    -> admission_level;

/// Returns the highest level with the importance rank of `level`.
auto highest_level_of_rank(admission_level level) -> admission_level;

/// Threshold of one service, returned on an answer.
struct threshold_report {
  service_name service;
  /// The server node itself, or the node that relays the threshold.
  vm_address reporter;
  admission_level threshold = admit_all_threshold;

  friend auto operator==(const threshold_report&, const threshold_report&)
      -> bool = default;
};

template <class Inspector>
auto inspect(Inspector& f, threshold_report& x) {
  return f(x.service, x.reporter, x.threshold);
}

/// Options of `threshold_controller`.
struct threshold_options {
  /// Target queueing delay under overload.
  duration delay_target = milliseconds(10);
  /// Time between two computations of the threshold.
  duration update_period = milliseconds(50);
  /// Time within which a deviation of the backlog from its target is corrected.
  duration correction_time = milliseconds(200);
  /// Time constant of the averages of arrivals.
  duration arrival_averaging_time = milliseconds(150);
  /// Share of an importance rank's range by which each hop of depth lowers the
  /// level of a call.
  fraction depth_margin{0.05};
};

/// Load of one queue, measured for one computation of the threshold.
struct queue_load {
  /// Calls that the server may run at once.
  double slots = 0;
  /// Slot time that the queued calls need.
  duration backlog;
};

/// Computes the threshold of one queue from the arrivals per level, the
/// capacity and the deviation of the queueing delay from its target. Arrivals
/// and capacity are compared in slots: an arrival counts with the time for
/// which its class holds a slot, so that short and long classes can be mixed.
class threshold_controller {
 public:
  explicit threshold_controller(const threshold_options& options,
                                time_point now = {});

  /// Counts an arrival, admitted or not, with the slot time that it needs.
  void count_arrival(admission_level level, duration slot_time);

  /// True if the current threshold admits `call`.
  [[nodiscard]] auto admits(const call_context& call) const -> bool;

  /// True if the next computation is due.
  [[nodiscard]] auto due(time_point now) const -> bool;

  /// Recomputes the threshold; call it when `due` returns true.
  void update(const queue_load& load, time_point now);

  [[nodiscard]] auto threshold() const -> admission_level { return threshold_; }

 private:
  // The hash spreads the requests of a rank evenly over its levels, so one
  // estimate per rank also covers the requests that upstream nodes refuse.
  struct rank_demand {
    int count = 0;
    double slot_time_ms = 0;
    double highest_share = 0;
    double observed_slots = 0;
    double observed_share = 0;
    double estimated_slots = 0;
  };

  [[nodiscard]] auto admitted_share(std::uint64_t rank) const -> double;
  void update_estimate(std::uint64_t rank, rank_demand& x,
                       double elapsed_ms) const;
  [[nodiscard]] auto threshold_for(const queue_load& load) const
      -> admission_level;

  threshold_options options_;
  std::map<std::uint64_t, rank_demand> demand_;
  admission_level threshold_ = admit_all_threshold;
  time_point updated_at_;
};

/// Options of `entry_gate`.
struct entry_gate_options {
  /// Time for which a report of another node is used.
  duration report_expiry = seconds(1);
  /// A service belongs to the call chain of a class if at least this share of
  /// the class's recent answers passed through it.
  fraction min_chain_share{0.1};
};

/// Admission control at the entry node. A request must be admitted by the
/// strictest threshold of the services in the observed call chain of its class,
/// and must have enough time left for the whole chain. The threshold of a
/// service is the median over its recent answers, so that servers count as
/// often as they are used; of a large service, a node hears from few servers
/// within the time for which a report holds.
class entry_gate {
 public:
  explicit entry_gate(const entry_gate_options& options = {});

  /// Returns `refusal::none`, `refusal::overload` or `refusal::deadline`. Call
  /// it once for each request, before a server is chosen.
  auto decide(const call_context& call, time_point now) -> refusal;

  /// Records the reports of an answer, including a refusal: one for each
  /// service that the request used.
  void observe_reports(const class_name& name,
                       const std::vector<threshold_report>& reports,
                       time_point now);

  /// Records that a request of the class with these reports was completed: the
  /// servers that it used of the other services in its chain admit all.
  void observe_complete(const class_name& name,
                        const std::vector<threshold_report>& reports,
                        time_point now);

  /// Sets the number of servers of `service`. While few answers are known, a
  /// server without a report counts with a threshold that admits every request,
  /// because servers report a threshold only while they refuse calls.
  void set_server_count(const service_name& service, std::size_t count);

  /// Records the end-to-end latency of a complete answer of the class.
  void observe_latency(const class_name& name, duration total, time_point now);

  /// Returns a latency that most requests of the class do not exceed; 0 if none
  /// completed lately.
  [[nodiscard]] auto usual_latency(const class_name& name, time_point now) const
      -> duration;

  /// Returns the strictest threshold of the services in the call chain of the
  /// class.
  auto threshold_of(const class_name& name, time_point now) -> admission_level;

  /// Returns the reports that a server node adds to its answers for the
  /// services below it: its own combined threshold of each of `services`.
  auto relayed_reports(const std::vector<service_name>& services,
                       const vm_address& self, time_point now)
      -> std::vector<threshold_report>;

 private:
  struct threshold_sample {
    admission_level threshold;
    time_point received_at;
  };

  struct service_view {
    std::deque<threshold_sample> samples;
    std::size_t server_count = 0;
    admission_level combined = admit_all_threshold;
    time_point combined_at{-1e18};
  };

  struct chain_view {
    std::map<service_name, double> service_shares;
    time_estimate latency;
  };

  void add_sample(const service_name& service, admission_level threshold,
                  time_point now);
  auto combined(service_view& view, time_point now) const -> admission_level;

  entry_gate_options options_;
  std::unordered_map<service_name, service_view> services_;
  std::unordered_map<class_name, chain_view> chains_;
};

}  // namespace figwind
