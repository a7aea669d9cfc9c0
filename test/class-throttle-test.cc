#include "figwind/class_throttle.h"

#include <gtest/gtest.h>

#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

const auto swap_log = class_name{"swap-log"};
const auto history = class_name{"history"};
const auto photos = class_name{"photos"};

constexpr auto step = milliseconds(50);

}  // namespace

// Guards against goodput that collapses when a service deep in the call chain
// has room for a part of the runs only: each run needs five calls there, and
// runs that fail have wasted the work above.
TEST(class_throttle, reduces_the_least_important_of_the_failing_classes) {
  auto x = class_throttle{};
  auto now = time_point{0};
  const auto run = [&](double useful, int steps) {
    for (auto i = 0; i < steps; ++i) {
      now = now + step;
      x.observe(swap_log, 0, useful, now);
      x.observe(history, 2, useful, now);
      x.observe(photos, 1, 1, now);
      x.update(now);
    }
  };
  section("the less important class is reduced first", [&] {
    run(0.3, 20);
    EXPECT_LT(x.admitted(history), 0.8);
    EXPECT_EQ(x.admitted(swap_log), 1);
  });
  section("a class whose runs succeed is left alone",
          [&] { EXPECT_EQ(x.admitted(photos), 1); });
  section("then the more important one, and never below a half", [&] {
    run(0.3, 400);
    EXPECT_LE(x.admitted(history), 0.051);
    EXPECT_LT(x.admitted(swap_log), 1);
    EXPECT_GE(x.admitted(swap_log), 0.5);
  });
  section("both return when runs succeed again", [&] {
    run(1, 60);
    EXPECT_EQ(x.admitted(swap_log), 1);
    EXPECT_EQ(x.admitted(history), 1);
  });
}

// Guards against a class that stays refused because nothing is known of it.
TEST(class_throttle, admits_again_without_reports) {
  auto x = class_throttle{};
  for (auto i = 0; i < 100; ++i) {
    x.observe(history, 2, 0, {i * 50.0});
    x.update({i * 50.0});
  }
  EXPECT_LT(x.admitted(history), 0.6);
  for (auto i = 0; i < 100; ++i) x.update({5000 + i * 100.0});
  EXPECT_EQ(x.admitted(history), 1);
}

// Guards against a report that hangs on to what has passed.
TEST(run_record, forgets) {
  auto x = run_record{};
  EXPECT_EQ(x.useful_share(history), 1);
  for (auto i = 0; i < 50; ++i) x.add(history, false, {i * 20.0});
  EXPECT_LT(x.useful_share(history), 0.2);
  for (auto i = 0; i < 50; ++i) x.add(history, true, {1000 + i * 20.0});
  EXPECT_GT(x.useful_share(history), 0.75);
}
