// Bound on the sendings beyond the first that one node makes to a service.
//
// The bound holds for all nodes together: each node may use a share of the
// requests that it sends itself, so the shares add up to the share of all. A
// repeat of a request that has run makes its calls to other services again, and
// these count as repeats there, at every level of the chain. They cannot be
// avoided any more when they arrive, so they use up the bound first, and
// repeats after a run have a small share of their own.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "figwind/units.h"

namespace figwind {

struct repeat_options {
  /// Repeats after a run, as a share of the requests of the window.
  double after_run = 0.03;
  /// Repeats of all causes, those that callers brought along included.
  double all = 0.17;
  /// Repeats that are allowed besides.
  double slack = 1;
  /// The bound holds for each span of this length.
  duration window = seconds(10);
};

enum class repeat_cause : std::uint8_t {
  /// The first sending may have run.
  run,
  /// The backend server refused the first sending.
  refusal,
};

class repeat_budget {
 public:
  explicit repeat_budget(const repeat_options& options) : options_{options} {}

  /// Counts a request. `repeated` is the probability that the run which makes
  /// it is itself a repeat.
  void count_request(double repeated, time_point now);
  /// True when one more repeat is allowed; it then counts.
  auto take(repeat_cause cause, time_point now) -> bool;

 private:
  static constexpr std::size_t slices = 40;

  struct slice {
    std::int64_t number = -1;
    double requests = 0;
    double repeats = 0;
    double after_run = 0;
  };

  auto slice_at(time_point now) -> slice&;
  [[nodiscard]] auto number_of(time_point now) const -> std::int64_t;

  repeat_options options_;
  std::array<slice, slices> slices_{};
};

}  // namespace figwind
