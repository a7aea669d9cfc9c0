#include "figwind/lost_answer_detector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <queue>

#include "figwind/random.h"
#include "section.h"

namespace figwind {
namespace {

using test::section;

const auto lookup = class_name{"lookup"};

/// A backend server that gets a call each `interval` and answers it after
/// `work`; it loses the answer where `work` is negative.
struct server_run {
  duration interval = milliseconds(2);
  std::function<duration(time_point now)> work;
  /// The process checks for lost answers at these times only.
  std::function<bool(time_point now)> checks = [](time_point) { return true; };
  /// Silence of each lost call when it was detected.
  std::vector<duration> lost_after;
  /// Calls that were detected although their answer came later.
  int false_detections = 0;
  int lost_answers = 0;

  void play(duration length) {
    auto detector = lost_answer_detector{};
    auto started = std::vector<time_point>{};
    auto is_lost = std::vector<bool>{};
    using event = std::pair<double, std::uint64_t>;
    auto answers =
        std::priority_queue<event, std::vector<event>, std::greater<>>{};
    for (auto ms = 0.0; ms < length.ms; ms += interval.ms) {
      const auto now = time_point{ms};
      if (!checks(now)) continue;
      while (!answers.empty() && answers.top().first <= ms) {
        detector.on_answered(answers.top().second,
                             time_point{answers.top().first});
        answers.pop();
      }
      for (const auto call : detector.take_lost(now)) {
        lost_after.push_back(now - started[call]);
        if (!is_lost[call]) ++false_detections;
      }
      const auto call = started.size();
      started.push_back(now);
      const auto time = work(now);
      is_lost.push_back(time.ms < 0);
      if (time.ms < 0) ++lost_answers;
      detector.on_started(call, lookup, now);
      if (time.ms >= 0) answers.emplace(ms + time.ms, call);
    }
  }
};

}  // namespace

// The load of a server that loses some answers without a reset, or keeps silent
// while it is full: callers wait for their whole deadline. Guards against that
// wait.
TEST(lost_answer_detector, ends_calls_that_others_have_overtaken) {
  auto random = random_source{1};
  auto run = server_run{};
  run.work = [&](time_point now) {
    if (now > time_point{1000} && random.uniform() < 0.3) {
      return milliseconds(-1);
    }
    return milliseconds(30 + 20 * random.uniform());
  };
  run.play(seconds(6));
  EXPECT_GT(run.lost_answers, 500);
  EXPECT_EQ(run.false_detections, 0);
  // All but the last ones, which are still within the limit.
  EXPECT_GE(static_cast<int>(run.lost_after.size()), run.lost_answers - 50);
  const auto longest =
      *std::max_element(run.lost_after.begin(), run.lost_after.end());
  // Early enough for another server to answer within 250 ms.
  EXPECT_LE(longest, milliseconds(200));
}

// Guards against calls that are ended, and run once more elsewhere, although
// their server is at work on them.
TEST(lost_answer_detector, waits_for_servers_that_are_slow_or_silent) {
  auto random = random_source{1};
  auto run = server_run{};
  const auto usual = [&] { return milliseconds(30 + 20 * random.uniform()); };
  section("a server that turns twelve times slower", [&] {
    run.work = [&](time_point now) {
      return usual() * (now > time_point{1000} ? 12 : 1);
    };
    run.play(seconds(6));
    EXPECT_EQ(run.false_detections, 0);
  });
  section("a server that answers nobody for two seconds", [&] {
    run.work = [&](time_point now) {
      const auto frozen = now > time_point{1000} && now < time_point{3000};
      return frozen ? time_point{3000} - now + usual() : usual();
    };
    run.play(seconds(6));
    EXPECT_EQ(run.false_detections, 0);
  });
  section("a node that was paused for two seconds", [&] {
    run.work = [&](time_point) { return usual(); };
    run.checks = [](time_point now) {
      return now <= time_point{1000} || now >= time_point{3000};
    };
    run.play(seconds(6));
    EXPECT_EQ(run.false_detections, 0);
  });
  section("a server with too few responses to judge", [&] {
    auto few = server_run{};
    few.work = [](time_point now) {
      return now < time_point{100} ? milliseconds(-1) : milliseconds(5);
    };
    few.play(milliseconds(150));
    EXPECT_TRUE(few.lost_after.empty());
  });
}

// Guards against calls that are counted twice, or forgotten, when they end
// without an answer.
TEST(lost_answer_detector, ignores_calls_that_have_ended) {
  auto detector = lost_answer_detector{};
  for (auto call = std::uint64_t{0}; call < 400; ++call) {
    const auto now = time_point{static_cast<double>(call)};
    detector.on_started(call, lookup, now);
    if (call % 4 == 0) {
      detector.on_ended(call);
    } else {
      detector.on_answered(call, now + milliseconds(1));
    }
    EXPECT_TRUE(detector.take_lost(now).empty());
  }
  detector.on_answered(7, time_point{500});
  EXPECT_TRUE(detector.take_lost(time_point{10'000}).empty());
}

}  // namespace figwind
