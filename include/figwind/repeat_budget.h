// Bound on the sendings beyond the first that one node makes to a service.
//
// The bound holds for all nodes together: each node may use a share of the
// requests that it sends itself, so the shares add up to the share of all. A
// repeat of a request that has run makes its calls to other services again, and
// these count as repeats there, at every level of the chain; a repeat of a
// request that its server refused makes none. So the two have shares of their
// own.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "figwind/units.h"

namespace figwind {

struct repeat_options {
  /// Repeats after a run, as a share of the requests of the window.
  double after_run = 0.02;
  /// Repeats after a refusal by the backend server.
  double after_refusal = 0.11;
  /// Repeats of both kinds that are allowed besides.
  double slack = 1;
  /// The bound holds for each span of this length.
  duration window = seconds(10);
};

enum class repeat_cause : std::uint8_t { run, refusal };

class repeat_budget {
 public:
  explicit repeat_budget(const repeat_options& options) : options_{options} {}

  void count_request(time_point now);
  /// True when one more repeat is allowed; it then counts.
  auto take(repeat_cause cause, time_point now) -> bool;

 private:
  static constexpr std::size_t slices = 40;

  struct slice {
    std::int64_t number = -1;
    double requests = 0;
    std::array<double, 2> repeats{};
  };

  auto slice_at(time_point now) -> slice&;
  [[nodiscard]] auto number_of(time_point now) const -> std::int64_t;

  repeat_options options_;
  std::array<slice, slices> slices_{};
};

}  // namespace figwind
