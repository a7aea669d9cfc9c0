// Clocks of the VM as `time_point` in ms.

#pragma once

#include <time.h>

#include <chrono>

#include "figwind/units.h"

namespace figwind {

namespace detail {

template <class Clock>
auto read_clock() -> time_point {
  using fractional_ms = std::chrono::duration<double, std::milli>;
  auto since = Clock::now().time_since_epoch();
  return {std::chrono::duration_cast<fractional_ms>(since).count()};
}

}  // namespace detail

/// Monotonic time since an arbitrary start, for deadlines and periods. Counts
/// the time in which the VM is suspended: callers, leases and other processes
/// do not wait for it. `std::chrono::steady_clock` stands still meanwhile.
inline auto steady_now() -> time_point {
  constexpr auto ms_per_second = 1e3;
  constexpr auto ns_per_ms = 1e6;
  auto now = timespec{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return {static_cast<double>(now.tv_sec) * ms_per_second +
          static_cast<double>(now.tv_nsec) / ns_per_ms};
}

/// Unix time, for creation times of keys.
inline auto wall_now() -> time_point {
  return detail::read_clock<std::chrono::system_clock>();
}

}  // namespace figwind
