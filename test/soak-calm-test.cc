#include "soak-calm.h"

#include <gtest/gtest.h>

#include "section.h"

namespace figwind::soak {
namespace {

using test::section;

constexpr auto turn = milliseconds(50);

// Guards against requests that count as lost in calm although their node was
// killed: the soak stood still for 20 s after the kill and saw the end of their
// connections only then.
TEST(soak_calm, counts_a_standstill_of_the_soak_as_a_fault) {
  auto now = time_point{1000};
  auto x = calm{now};
  const auto run_for = [&](duration span) {
    for (const auto end = now + span; now < end; now = now + turn) {
      x.on_turn(now);
    }
  };
  section("after a fault, calm begins with its end", [&] {
    x.on_fault(now + milliseconds(300));
    run_for(seconds(6));
    EXPECT_FALSE(x.has_lasted(seconds(6), now));
    run_for(seconds(1));
    EXPECT_TRUE(x.has_lasted(seconds(6), now));
    EXPECT_EQ(x.standstill().ms, 0);
  });
  section("what is seen right after a standstill is not judged", [&] {
    x.on_fault(now);
    now = now + seconds(20);
    EXPECT_FALSE(x.has_lasted(seconds(6), now));
    run_for(seconds(5));
    EXPECT_FALSE(x.has_lasted(seconds(6), now));
    run_for(seconds(2));
    EXPECT_TRUE(x.has_lasted(seconds(6), now));
  });
  section("and the standstill is reported",
          [&] { EXPECT_GE(x.standstill().ms, seconds(20).ms); });
}

}  // namespace
}  // namespace figwind::soak
