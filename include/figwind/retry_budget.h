// Retry budget of one node for one service. A retry is any sending of a request
// beyond the first.
//
// The budget bounds the retries of all nodes together: each node may use a
// share of the requests that it sends itself, and these shares add up to the
// share of all requests. The limit is computed from the requests of the current
// window, of the window half a window earlier, or of the previous window,
// whichever has the most, because a service that refuses calls ends runs early,
// so that its requests decrease with the first refusals.
//
// A retry of a request that has run repeats its calls to other services, and
// these count as retries there, at every level of the chain. They cannot be
// avoided once they arrive, so they use up the budget first. Answers return the
// used fraction, and retries at high levels of the chain stop early.
//
// If more retries are requested than allowed, the most valuable go first: those
// of important requests, and those of requests that need the fewest calls to
// complete. Otherwise a service that refuses half of its calls would spend the
// budget on first calls of requests whose later calls are refused.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

#include "figwind/units.h"

namespace figwind {

struct retry_budget_options {
  /// Maximum retries per request, of all causes and including those caused by
  /// retries upstream.
  double max_ratio = 0.19;
  /// Retries allowed in addition to the ratio.
  double slack = 1;
  /// Weight of the requests of earlier windows. The nodes' shares of the
  /// traffic move between windows, so the sum of the nodes' own largest windows
  /// exceeds the largest window of all nodes.
  double earlier_window_weight = 0.85;
  /// Fraction of the budget that a retry of a run leaves free for each level of
  /// calls downstream, where a retry costs less and saves as much.
  double reserve_per_level = 0.15;
  /// The limit holds for every span of this length.
  duration window = seconds(10);
  /// Time over which the available budget is released. Servers refuse calls for
  /// several seconds at a time, and budget spent at the start is missing later.
  /// The rate never falls below the sustainable one, a full budget for each
  /// window.
  duration release_time = seconds(6);
  /// Time constant of the measured demand.
  duration demand_time_constant = milliseconds(500);
};

enum class retry_cause : std::uint8_t {
  /// The first sending may have run.
  may_have_run,
  /// The backend server refused the first sending.
  refused,
};

/// Value of a retry; the lowest rank goes first.
struct retry_rank {
  /// Rank of the class of the request at the start of the chain.
  int priority = 0;
  /// Calls that the run which makes the call still needs, including this one.
  int calls_left = 1;

  friend auto operator<(const retry_rank& a, const retry_rank& b) -> bool {
    return std::tie(a.priority, a.calls_left) <
           std::tie(b.priority, b.calls_left);
  }
};

/// Retry use downstream of a call, where a retry of its run repeats calls.
struct downstream_retries {
  /// Number of levels of calls below the retried one.
  int levels_below = 0;
  /// Largest used fraction of the budgets of the services at these levels.
  double used_fraction = 0;
};

class retry_budget {
 public:
  explicit retry_budget(const retry_budget_options& options)
      : options_{options} {}

  void set_slack(double slack) { options_.slack = slack; }

  /// Counts a request. `retry_probability` is the probability in [0, 1] that
  /// the run which makes it is itself a retry.
  void count_request(double retry_probability, time_point now);

  /// Takes one retry from the budget; returns false if none is allowed.
  auto try_take(retry_cause cause, const retry_rank& rank,
                const downstream_retries& downstream, time_point now) -> bool;

  /// Used fraction of the budget, in [0, 1].
  [[nodiscard]] auto used_fraction(time_point now) const -> double;

 private:
  /// Time slices of one window, and of the history that is kept.
  static constexpr int window_slices = 40;
  static constexpr int history_slices = 3 * window_slices;
  /// Slices that determine the current request rate.
  static constexpr int rate_slices = 10;
  /// Fraction of the current rate that is expected to continue.
  static constexpr double expected_rate_fraction = 0.5;

  struct slice {
    std::int64_t number = -1;
    double requests = 0;
    double retries = 0;
  };
  /// Recently requested retries of one rank.
  struct rank_demand {
    double count = 0;
    time_point at;
    /// Fraction of a retry saved up for the next one.
    double credit = 0;
  };

  /// Available retries and used fraction of the window with the least left.
  struct budget_state {
    double available = 0;
    double used_fraction = 0;
    /// Limit and retries of the window that ends now.
    double limit = 0;
    double retries = 0;
  };
  /// Cumulative requests and retries from the oldest slice on.
  using cumulative_counts = std::array<slice, history_slices + 1>;

  auto slice_at(time_point now) -> slice&;
  [[nodiscard]] auto slice_number(time_point now) const -> std::int64_t;
  [[nodiscard]] auto cumulative_counts_at(time_point now) const
      -> cumulative_counts;
  [[nodiscard]] auto limit_at(const cumulative_counts& counts, int ahead) const
      -> double;
  [[nodiscard]] auto state_at(time_point now) const -> budget_state;
  auto take_turn(const retry_rank& rank, const budget_state& x, time_point now)
      -> bool;

  retry_budget_options options_;
  std::array<slice, history_slices> slices_{};
  std::map<retry_rank, rank_demand> demand_;
};

}  // namespace figwind
