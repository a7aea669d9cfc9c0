// Division of the slots of one backend server between kinds of work, so that
// long calls do not delay short ones. It is computed from the arrivals and the
// slot times of each kind.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "figwind/call.h"
#include "figwind/ids.h"
#include "figwind/service_time.h"
#include "figwind/units.h"

namespace figwind {

/// Kinds of work that must not slow each other down.
enum class work_kind : std::uint8_t {
  /// Short calls from callers.
  caller_facing,
  /// Short calls between services.
  internal,
  /// Calls whose observed slot time is many times that of short work.
  long_running,
};

constexpr std::size_t work_kind_count = 3;

/// Options of `slot_split`.
struct slot_split_options {
  /// A class is long-running if its mean slot time is at least this many times
  /// that of the next shorter class.
  double long_ratio = 8;
  /// Slots reserved for short work beyond its mean demand, in square roots of
  /// that demand (square-root staffing, Halfin and Whitt 1981).
  double headroom = 3.5;
  /// Free slots that internal work must leave to callers, in square roots of
  /// the callers' demand (trunk reservation). It is smaller than `headroom`
  /// because internal calls release their slots sooner than long ones.
  double internal_headroom = 1;
  /// Pause after a long call that ran in the guaranteed slot, in mean slot
  /// times of long calls. Short work may use the guaranteed slot only if the
  /// headroom leaves no slot to long work.
  double long_pause = 1;
  /// Time constants with which demand estimates rise and fall.
  duration rise_time = milliseconds(200);
  duration fall_time = seconds(5);
};

/// Number of calls of each kind.
using kind_counts = std::array<int, work_kind_count>;

/// Decides which kind of work may use the next slot.
class slot_split {
 public:
  explicit slot_split(const slot_split_options& options, time_point now = {});

  /// Returns the kind of a call. A class without a completion counts as short
  /// until its first call has run `long_ratio` times as long as short calls
  /// usually do.
  [[nodiscard]] auto kind_of(const call_context& call, time_point now) const
      -> work_kind;

  /// Records that a call of the class has started.
  void on_started(const class_name& name, time_point now);

  /// Counts an admitted arrival. Demand is the arrival rate times the slot
  /// time.
  void count_arrival(const call_context& call, work_kind kind, time_point now);

  /// Records the time for which a finished call held its slot.
  void observe(const class_name& name, work_kind kind, duration slot_time,
               time_point now);

  /// True if work of `kind` may use one more of `limit` slots. Long and
  /// internal work eventually gets one slot, however high the demand of callers
  /// is.
  [[nodiscard]] auto may_start(work_kind kind, int limit,
                               const kind_counts& running,
                               const kind_counts& waiting, time_point now) const
      -> bool;

  /// Returns how many of `limit` slots long work may use, at least 1.
  [[nodiscard]] auto max_long_slots(int limit) const -> int;

  /// Returns the mean slot time of the kind; 0 before the first completion.
  [[nodiscard]] auto mean_slot_time(work_kind kind) const -> duration;

 private:
  struct class_state {
    time_estimate slot_time;
    time_point first_start;
    bool is_long = false;
  };

  struct kind_demand {
    int arrivals = 0;
    double arrivals_per_ms = 0;
    time_estimate slot_time;
  };

  [[nodiscard]] auto is_long(const class_state& x, time_point now) const
      -> bool;
  void classify();
  void update(time_point now);
  [[nodiscard]] auto slots_left_for_long(int limit) const -> int;
  [[nodiscard]] auto is_long_slot_due(int limit, const kind_counts& running,
                                      time_point now) const -> bool;
  [[nodiscard]] auto demand(work_kind kind) const -> double;

  slot_split_options options_;
  std::unordered_map<class_name, class_state> classes_;
  std::array<kind_demand, work_kind_count> demand_;
  time_point updated_at_;
  time_point last_long_end_{-1e18};
  int completions_since_classify_ = 0;
};

}  // namespace figwind
