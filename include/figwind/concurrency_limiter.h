// Concurrency limit of one backend server: how many calls it may run at once.
// Computed from the service time and the concurrency of each completed call.
//
// Method: additive increase, multiplicative decrease (Chiu and Jain, "Analysis
// of the increase and decrease algorithms for congestion avoidance in computer
// networks", 1989). The decrease is the gradient of observed to baseline
// service time (Gradient2Limit of Netflix concurrency-limits, after TCP Vegas,
// Brakmo and Peterson 1995). A change that costs throughput without shortening
// the service time is undone.

#pragma once

#include <unordered_map>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

/// Options of `concurrency_limiter`.
struct concurrency_limiter_options {
  /// Service time relative to the baseline above which the limit is lowered.
  double tolerance = 1.5;
  /// Share of the slots that a cold server starts with.
  fraction cold_start_share{0.2};
  /// Time after which a cold server may use all slots.
  duration ramp_up_time = seconds(5);
  /// Lower bound of the limit as a share of the slots; the limit is at least 1,
  /// too.
  fraction min_share{0.1};
  /// Shortest time between two changes of the limit.
  duration min_interval = milliseconds(100);
  /// Completions that one measurement needs.
  int min_samples = 200;
  /// Time for which a change is not tried again after it was undone; doubles
  /// each time.
  duration initial_backoff = seconds(2);
  /// Time constant with which a baseline rises during a lasting slowdown.
  duration baseline_rise_time = seconds(60);
};

/// Adaptive concurrency limit of one backend server, based on exact counts of
/// its calls.
class concurrency_limiter {
 public:
  /// `slots` is the number of calls that the server declares it can run at
  /// once, at least 1. The limit of a `cold` server ramps up.
  concurrency_limiter(const concurrency_limiter_options& options, int slots,
                      bool cold, time_point now);

  /// Returns how many calls may run at once now, between 1 and the declared
  /// slots.
  [[nodiscard]] auto limit(time_point now) const -> int;

  /// Records one completion: the class, the service time without calls to other
  /// services, and how many calls were running, including this one.
  void observe(const class_name& name, duration service_time, int in_flight,
               time_point now);

  /// Changes the declared slots, which bound the limit. A server may declare
  /// other slots while it runs.
  void set_slots(int slots);

  /// Mean service time relative to the baseline in the last measurement.
  [[nodiscard]] auto slowdown() const -> double { return slowdown_; }

 private:
  struct baseline {
    double mean_ms = 0;
    int samples = 0;
    int window_count = 0;
    double window_sum_ms = 0;
  };

  struct measurement {
    double limit = 0;
    double slowdown = 0;
  };

  auto relative_time(const class_name& name, double ms) -> double;
  void update_baselines(duration elapsed);
  void adjust_limit(time_point now);
  auto undo_last_change(const measurement& current, time_point now) -> bool;
  void lower_limit(const measurement& current);
  void raise_limit(const measurement& current, time_point now);

  concurrency_limiter_options options_;
  double slots_;
  double limit_;
  bool cold_;
  time_point started_at_;
  std::unordered_map<class_name, baseline> baselines_;

  time_point window_start_;
  int completions_ = 0;
  double slowdown_sum_ = 0;
  double in_flight_sum_ = 0;

  double slowdown_ = 1;
  measurement before_change_;
  int last_direction_ = 0;
  duration backoff_;
  time_point backoff_until_{-1e18};
};

}  // namespace figwind
