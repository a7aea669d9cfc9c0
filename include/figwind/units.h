// Value types for time and fractions, used by all decision modules.

#pragma once

#include <compare>

namespace figwind {

/// A time span in milliseconds. Fractions of a millisecond are allowed because
/// the latency target of one node is 0.31 ms.
struct duration {
  double ms = 0;

  friend auto operator<=>(const duration& a, const duration& b) {
    return a.ms <=> b.ms;
  }
  friend auto operator==(const duration&, const duration&) -> bool = default;
};

/// A point in time in milliseconds since an epoch that its source documents:
/// the start of the monotonic clock for decisions, the Unix epoch for creation
/// times of keys.
struct time_point {
  double ms = 0;

  friend auto operator<=>(const time_point& a, const time_point& b) {
    return a.ms <=> b.ms;
  }
  friend auto operator==(const time_point&, const time_point&)
      -> bool = default;
};

constexpr auto milliseconds(double count) -> duration {
  return {count};
}
constexpr auto seconds(double count) -> duration {
  return {count * 1000};
}
constexpr auto minutes(double count) -> duration {
  return {count * 60'000};
}

constexpr auto operator+(duration a, duration b) -> duration {
  return {a.ms + b.ms};
}
constexpr auto operator-(duration a, duration b) -> duration {
  return {a.ms - b.ms};
}
constexpr auto operator*(duration a, double factor) -> duration {
  return {a.ms * factor};
}
constexpr auto operator/(duration a, duration b) -> double {
  return a.ms / b.ms;
}
constexpr auto operator+(time_point t, duration d) -> time_point {
  return {t.ms + d.ms};
}
constexpr auto operator-(time_point t, duration d) -> time_point {
  return {t.ms - d.ms};
}
constexpr auto operator-(time_point a, time_point b) -> duration {
  return {a.ms - b.ms};
}

/// A fraction between 0 and 1.
struct fraction {
  double value = 0;

  friend auto operator<=>(const fraction&, const fraction&) = default;
};

template <class Inspector>
auto inspect(Inspector& f, duration& x) {
  return f(x.ms);
}

template <class Inspector>
auto inspect(Inspector& f, time_point& x) {
  return f(x.ms);
}

template <class Inspector>
auto inspect(Inspector& f, fraction& x) {
  return f(x.value);
}

}  // namespace figwind
