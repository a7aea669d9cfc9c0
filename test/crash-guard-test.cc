#include "figwind/crash_guard.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "../bench/crash_fake.h"
#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

const auto poison = fingerprint_of({"scan"}, {}, "poison");
const auto harmless = fingerprint_of({"scan"}, {}, "innocent");

auto guard_at(int i) -> crash_guard {
  return crash_guard{{{std::to_string(i)}, {1}}};
}

}  // namespace

// Guards against one request that crashes one server after the other.
TEST(crash_guard, refuses_a_request_after_two_crashes) {
  auto first = guard_at(1);
  auto second = guard_at(2);
  auto entry = guard_at(3);
  auto now = time_point{0};
  section("given two requests that run at a first crash", [&] {
    first.on_started(poison, now);
    first.on_started(harmless, now);
    second.merge(first.on_crashed(now), now);
    EXPECT_FALSE(second.is_refused(poison, now));
  });
  section("two suspects do not run at the same time", [&] {
    EXPECT_EQ(second.decide_run(harmless, now), run_decision::run);
    second.on_started(harmless, now);
    EXPECT_EQ(second.decide_run(poison, now), run_decision::wait);
    const auto later = now + milliseconds(100);
    EXPECT_EQ(second.decide_run(poison, later), run_decision::run);
  });
  section("the request that completes is cleared", [&] {
    second.on_finished(harmless, true, now);
    EXPECT_EQ(second.decide_run(poison, now), run_decision::run);
  });
  section("the other one is refused everywhere after its second crash", [&] {
    second.on_started(poison, now);
    second.on_started(harmless, now);
    entry.merge(second.on_crashed(now), now);
    EXPECT_TRUE(entry.is_refused(poison, now));
    EXPECT_FALSE(entry.is_refused(harmless, now));
  });
  section("other requests of the class run", [&] {
    const auto other = fingerprint_of({"scan"}, {}, "other");
    EXPECT_NE(fingerprint_of({"scan"}, "a", "/b", "c"),
              fingerprint_of({"scan"}, "a", "/b", "d"));
    EXPECT_NE(fingerprint_of({"scan"}, "a", "/b", "c"),
              fingerprint_of({"scan"}, "x", "/b", "c"));
    EXPECT_EQ(second.decide_run(other, now), run_decision::run);
  });
  section("the crashes are forgotten after the retention", [&] {
    now = now + minutes(10);
    EXPECT_FALSE(entry.is_refused(poison, now));
  });
}

// Guards against a result that depends on the order or number of messages.
TEST(crash_guard, merges_in_any_order) {
  const auto now = time_point{0};
  auto source = guard_at(1);
  source.on_started(poison, now);
  const auto marked = source.on_crashed(now);
  source.on_started(poison, now);
  source.on_finished(poison, true, now);
  const auto cleared = source.full_report(now);
  section("an older report does not undo a clearing", [&] {
    auto other = guard_at(2);
    for (const auto& report : {cleared, marked, marked}) {
      other.merge(report, now);
    }
    EXPECT_EQ(other.full_report(now), cleared);
  });
  section("known crashes are not relayed again", [&] {
    auto other = guard_at(2);
    other.merge(marked, now);
    EXPECT_EQ(other.take_changes(10, now).requests.size(), 1U);
    other.merge(marked, now);
    EXPECT_TRUE(other.take_changes(10, now).requests.empty());
  });
}

// Guards against memory use that grows with crashes, and against dropping a
// refused request before harmless ones.
TEST(crash_guard, is_bounded_and_drops_the_least_suspected) {
  const auto now = time_point{0};
  auto settings = crash_guard_settings{};
  settings.max_requests = 10;
  auto guard = crash_guard{{{"1"}, {1}}, settings};
  for (auto i = 0; i < 2; ++i) {
    guard.on_started(poison, now);
    guard.on_crashed(now);
  }
  for (auto i = 0; i < 100; ++i) {
    guard.on_started(fingerprint_of({"scan"}, {}, std::to_string(i)), now);
    guard.on_crashed(now);
  }
  EXPECT_LE(guard.size(), 10U);
  EXPECT_TRUE(guard.is_refused(poison, now));
}

// Guards against refusing harmless requests that once ran beside a poison
// request, and against servers that keep crashing.
TEST(crash_guard, does_not_refuse_requests_that_ran_beside_a_poison_request) {
  for (auto seed = 1U; seed <= 20; ++seed) {
    section("given one poison request among 300", [&] {
      const auto result = bench::run_crashes({}, seed);
      EXPECT_EQ(result.crashes, 2);
      EXPECT_EQ(result.poisoned_refused, 1);
      EXPECT_EQ(result.innocents_complete, 300);
    });
    section("given three poison requests that arrive together", [&] {
      const auto result = bench::run_crashes({.poisoned = 3}, seed);
      EXPECT_LE(result.crashes, 6);
      EXPECT_EQ(result.poisoned_refused, 3);
      EXPECT_EQ(result.refused_early, 0);
      EXPECT_EQ(result.innocents_complete + result.innocents_refused, 300);
    });
  }
}

// Guards against refusing a lookup for minutes because many callers send it and
// some copies ran at two crashes (soak, seed 204: 60% of all requests failed).
TEST(crash_guard, does_not_blame_a_request_that_completes) {
  const auto now = time_point{0};
  auto first = crash_guard{{{"10.0.0.1:7000"}, {1}}};
  auto second = crash_guard{{{"10.0.0.2:7000"}, {1}}};
  for (auto* guard : {&first, &second}) {
    for (auto i = 0; i < 4; ++i) {
      guard->on_started(harmless, now);
      guard->on_finished(harmless, true, now);
    }
    guard->on_started(harmless, now);
    guard->on_started(poison, now);
    const auto report = guard->on_crashed(now);
    first.merge(report, now);
    second.merge(report, now);
  }
  EXPECT_TRUE(first.is_refused(poison, now));
  EXPECT_FALSE(first.is_refused(harmless, now));
  section("reports of other nodes do not change this", [&] {
    auto third = crash_guard{{{"10.0.0.3:7000"}, {1}}};
    auto fourth = crash_guard{{{"10.0.0.4:7000"}, {1}}};
    third.on_started(harmless, now);
    first.merge(third.on_crashed(now), now);
    fourth.on_started(harmless, now);
    first.merge(fourth.on_crashed(now), now);
    EXPECT_FALSE(first.is_refused(harmless, now));
  });
  section("it is refused after two crashes without a completion in between",
          [&] {
            first.on_started(harmless, now);
            first.merge(first.on_crashed(now), now);
            EXPECT_TRUE(first.is_refused(harmless, now));
          });
}

// Guards against a request that crashes one server after the other because
// nodes without a link to the reporter never hear of the crashes, and against
// reports that circulate for ever.
TEST(crash_guard, returns_only_news_to_be_relayed) {
  auto now = time_point{0};
  auto reporter = guard_at(0);
  reporter.on_started(poison, now);
  const auto report = reporter.on_crashed(now);
  section("known crashes are not relayed again", [&] {
    auto other = guard_at(1);
    EXPECT_EQ(other.merge(report, now), report);
    EXPECT_TRUE(other.merge(report, now).requests.empty());
  });
  section("relays to two of 70 linked nodes reach nearly all of 300", [&] {
    constexpr auto nodes = std::size_t{300};
    constexpr auto links = std::size_t{70};
    constexpr auto relays = std::size_t{2};
    auto random = random_source{1};
    auto guards = std::vector<crash_guard>{};
    for (auto i = 0; i < static_cast<int>(nodes); ++i)
      guards.push_back(guard_at(i));
    const auto linked_node = [&](std::size_t from) {
      return (from + 1 + random.index(links)) % nodes;
    };
    auto queue = std::vector<std::size_t>{};
    for (auto i = std::size_t{0}; i < links; ++i) queue.push_back(i);
    auto messages = queue.size();
    while (!queue.empty()) {
      const auto to = queue.back();
      queue.pop_back();
      if (guards[to].merge(report, now).requests.empty()) continue;
      for (auto i = std::size_t{0}; i < relays; ++i)
        queue.push_back(linked_node(to));
      messages += relays;
    }
    const auto informed =
        std::count_if(guards.begin(), guards.end(),
                      [](const crash_guard& x) { return x.size() != 0; });
    EXPECT_GE(informed, 240);
    EXPECT_LE(messages, links + relays * nodes);
  });
}
