// Detects calls whose answer most likely does not come although the backend
// server goes on answering others: the answer was lost, or the server was full
// and keeps silent instead of refusing. It is no proof: the server may be at
// work on a call that takes far longer than others of its class.
//
// The limit follows the server: a call counts as lost once it has been silent
// for a multiple of the slowest recent response of its class, and many calls
// that started after it were answered. A server that is slow, frozen or cut off
// answers nobody sooner and is not taken for one that loses answers.

#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

struct lost_answer_options {
  /// Least number of calls of the class that started after a lost call and were
  /// answered.
  int min_later_answers = 32;
  /// Silence of a lost call, as a multiple of the slowest recent response.
  double slowest_multiple = 2;
  duration min_silence = milliseconds(50);
  /// The slowest response is taken from the last one to two times as many.
  int responses_per_period = 64;
  /// A longer time between two checks, such as a pause of the process, does not
  /// count as silence.
  duration max_check_interval = milliseconds(100);
};

class lost_answer_detector {
 public:
  lost_answer_detector() = default;
  explicit lost_answer_detector(lost_answer_options options)
      : options_{options} {}

  /// The backend server was sent `call`. Numbers ascend.
  void on_started(std::uint64_t call, const class_name& name, time_point now);

  /// The server answered `call`; unknown calls are ignored.
  void on_answered(std::uint64_t call, time_point now);

  /// `call` has ended without an answer, or was refused; unknown calls are
  /// ignored.
  void on_ended(std::uint64_t call);

  /// Removes and returns the calls whose answer is lost. To be called about
  /// every 10 ms.
  auto take_lost(time_point now) -> std::vector<std::uint64_t>;

 private:
  struct class_state {
    struct running {
      time_point started;
      /// Calls of the class that started before.
      std::uint64_t started_before = 0;
      /// Calls that started after it and ended without an answer.
      std::uint64_t later_unanswered = 0;
    };
    /// Calls in progress by number.
    std::map<std::uint64_t, running> calls;
    std::uint64_t started = 0;
    /// Slowest response of this period and of the one before; the latter is 0
    /// during the first period.
    duration slowest;
    duration slowest_before;
    int responses = 0;
  };

  void remove(std::uint64_t call, bool answered);
  void skip_pause(time_point now);
  void take_lost(class_state& x, time_point now,
                 std::vector<std::uint64_t>& out);

  lost_answer_options options_;
  std::unordered_map<class_name, class_state> classes_;
  std::unordered_map<std::uint64_t, class_name> names_;
  time_point last_check_;
};

}  // namespace figwind
