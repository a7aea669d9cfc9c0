#include "figwind/repeat_budget.h"

#include <gtest/gtest.h>

#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

constexpr auto step = milliseconds(10);

/// Repeats that are allowed when one is asked for after each request.
auto take_all(repeat_budget& budget, repeat_cause cause, time_point from,
              int count) -> int {
  auto taken = 0;
  for (auto i = 0; i < count; ++i) {
    const auto now = from + step * i;
    budget.count_request(0, now);
    taken += budget.take(cause, now) ? 1 : 0;
  }
  return taken;
}

}  // namespace

// Guards against repeats that multiply an overload: servers that refuse part of
// their requests, and callers that come again at once.
TEST(repeat_budget, bounds_repeats_in_each_window) {
  section("refusals may use all of it", [] {
    auto budget = repeat_budget{{0.03, 0.17, 1, seconds(10)}};
    EXPECT_EQ(take_all(budget, repeat_cause::refusal, {0}, 1000), 171);
  });
  section("runs have a small share", [] {
    auto budget = repeat_budget{{0.03, 0.17, 1, seconds(10)}};
    EXPECT_EQ(take_all(budget, repeat_cause::run, {0}, 1000), 31);
  });
  section("calls of repeated runs use it up", [] {
    auto budget = repeat_budget{{0.03, 0.17, 1, seconds(10)}};
    for (auto i = 0; i < 1000; ++i) budget.count_request(0.2, {i * 10.0});
    EXPECT_FALSE(budget.take(repeat_cause::refusal, {9'999}));
  });
  section("a quiet time saves nothing up beyond one window", [&] {
    auto quiet = repeat_budget{{0.03, 0.17, 1, seconds(10)}};
    for (auto i = 0; i < 10'000; ++i) quiet.count_request(0, {i * 10.0});
    EXPECT_LE(take_all(quiet, repeat_cause::refusal, {200'000}, 100), 18);
  });
}

// Guards against a node that may never repeat because it has few requests.
TEST(repeat_budget, has_a_slack) {
  auto budget = repeat_budget{{0.03, 0.17, 1, seconds(10)}};
  budget.count_request(0, {0});
  EXPECT_TRUE(budget.take(repeat_cause::run, {0}));
  EXPECT_FALSE(budget.take(repeat_cause::run, {1}));
  EXPECT_TRUE(budget.take(repeat_cause::run, {11'000}));
}
