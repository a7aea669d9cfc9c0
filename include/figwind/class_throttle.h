// Admission of classes at an entry node by how their runs end.
//
// A run that fails because a service far down its call chain is overloaded has
// wasted the work of every service above. Each server node therefore reports
// what share of the recent runs of a class were of use, and entry nodes admit
// fewer requests of the classes whose runs fail, the least important first.
//
// Method: additive increase, multiplicative decrease (Chiu and Jain, "Analysis
// of the increase and decrease algorithms for congestion avoidance in computer
// networks", 1989), ordered by rank.

#pragma once

#include <map>
#include <optional>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

struct throttle_options {
  /// Share of useful runs below which a class counts as failing, and from which
  /// on it counts as well.
  double failing_below = 0.6;
  double well_from = 0.75;
  /// Time between two changes.
  duration period = milliseconds(100);
  /// Factor of one decrease and step of one increase.
  double decrease = 0.9;
  double increase = 0.05;
  /// The admitted share never falls below it: some requests have to show
  /// whether runs succeed again.
  double least = 0.05;
  /// The same for the most important of the classes.
  double least_of_first = 0.5;
  /// A report counts for this time.
  duration memory = seconds(1);
  /// Time constant with which reports of several servers are averaged.
  duration smoothing = milliseconds(300);
};

/// Admitted share of each class at one entry node.
class class_throttle {
 public:
  explicit class_throttle(throttle_options options = {}) : options_{options} {}

  /// Takes what a server node reports: the share of useful runs of the class
  /// there. `priority` is the rank of the class; 0 is the most important.
  void observe(const class_name& name, int priority, double useful,
               time_point now);

  /// True when a request of the class is admitted; `unit` is a random number in
  /// [0, 1).
  [[nodiscard]] auto admits(const class_name& name, double unit) const -> bool;

  /// Share of the requests of the class that is admitted.
  [[nodiscard]] auto admitted(const class_name& name) const -> double;

  /// Adapts the admitted shares; call it every 10 ms or so.
  void update(time_point now);

 private:
  struct state {
    int priority = 0;
    double useful = 1;
    double admitted = 1;
    time_point seen;
  };

  [[nodiscard]] auto is_recent(const state& x, time_point now) const -> bool;
  [[nodiscard]] auto is_failing(const state& x, time_point now) const -> bool;
  [[nodiscard]] auto least_of(const state& x) const -> double;
  /// Rank of the failing classes that are to be reduced next.
  [[nodiscard]] auto reduced_rank(time_point now) const -> std::optional<int>;

  throttle_options options_;
  std::map<class_name, state> classes_;
  time_point updated_;
};

/// Share of useful runs of each class at one server node, over a short time.
class run_record {
 public:
  explicit run_record(duration memory = milliseconds(700)) : memory_{memory} {}

  void add(const class_name& name, bool useful, time_point now);
  /// 1 while nothing is known.
  [[nodiscard]] auto useful_share(const class_name& name) const -> double;

 private:
  struct counts {
    double useful = 0;
    double all = 0;
    time_point last;
  };

  duration memory_;
  std::map<class_name, counts> classes_;
};

}  // namespace figwind
