// The times at which a soak judges what only unplanned faults may cause.

#pragma once

#include <algorithm>

#include "figwind/units.h"

namespace figwind::soak {

/// Whether an unplanned fault was in force lately. A soak that stands still is
/// such a fault, since all links pass through its proxies; what happened
/// meanwhile is seen only afterwards.
class calm {
 public:
  /// Longest time between two calls of `on_turn` of a soak that runs.
  static constexpr auto max_turn = milliseconds(500);

  explicit calm(time_point now) : last_turn_{now}, last_fault_{now} {}

  /// Call about every 50 ms.
  void on_turn(time_point now) {
    if (stood_still(now)) {
      standstill_ = std::max(standstill_, now - last_turn_);
      last_fault_ = std::max(last_fault_, now);
    }
    last_turn_ = now;
  }

  /// A fault that nobody planned is in force until `end`.
  void on_fault(time_point end) { last_fault_ = std::max(last_fault_, end); }

  [[nodiscard]] auto has_lasted(duration span, time_point now) const -> bool {
    return !stood_still(now) && now - last_fault_ > span;
  }

  /// The longest time in which the soak stood still; 0 if it never did.
  [[nodiscard]] auto standstill() const -> duration { return standstill_; }

 private:
  [[nodiscard]] auto stood_still(time_point now) const -> bool {
    return now - last_turn_ > max_turn;
  }

  time_point last_turn_;
  time_point last_fault_;
  duration standstill_;
};

}  // namespace figwind::soak
