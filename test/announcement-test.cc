#include "figwind/announcement.h"

#include <gtest/gtest.h>

#include <limits>

#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

using effect = announcement_effect;

const auto address = vm_address{"10.0.0.1:8080"};

auto make_announcement(const std::string& name, std::int64_t born_ms,
                       std::uint64_t sequence,
                       announced_state state = announced_state::serving)
    -> announcement {
  auto out = announcement{};
  out.server = {name};
  out.service = {"contracte"};
  out.address = address;
  out.slots = 10;
  out.state = state;
  out.born_ms = born_ms;
  out.sequence = sequence;
  return out;
}

}  // namespace

// Guards against new work for a draining server: an earlier announcement may
// arrive after the one that announces the drain.
TEST(announcement_tracker, ignores_older_announcements) {
  auto x = announcement_tracker{address};
  EXPECT_EQ(x.apply(make_announcement("a", 100, 1), {0}), effect::changed);
  EXPECT_EQ(x.apply(make_announcement("a", 100, 2), {1}), effect::refreshed);
  EXPECT_EQ(
      x.apply(make_announcement("a", 100, 4, announced_state::draining), {2}),
      effect::changed);
  section("late and duplicate announcements are stale", [&] {
    EXPECT_EQ(x.apply(make_announcement("a", 100, 3), {3}), effect::stale);
    EXPECT_EQ(x.apply(make_announcement("a", 100, 4), {3}), effect::stale);
    EXPECT_EQ(x.current()->state, announced_state::draining);
  });
  section("sequence numbers restart with the next incarnation of a name", [&] {
    EXPECT_EQ(x.apply(make_announcement("a", 200, 1), {4}), effect::changed);
    EXPECT_EQ(x.current()->state, announced_state::serving);
  });
  section("a late announcement of the earlier incarnation is stale", [&] {
    EXPECT_EQ(x.apply(make_announcement("a", 100, 9), {5}), effect::stale);
    EXPECT_EQ(x.current()->born_ms, 200);
  });
}

// Guards against a drain that a restarted node has forgotten and that a late
// announcement undoes.
TEST(announcement_tracker, takes_over_a_drain_of_its_server) {
  const auto left = make_announcement("a", 100, 3, announced_state::left);
  auto x = announcement_tracker{address};
  EXPECT_EQ(x.learn_drain(left, {1}), effect::stale);
  x.apply(make_announcement("a", 100, 4), {2});
  EXPECT_EQ(x.learn_drain(left, {3}), effect::changed);
  EXPECT_EQ(x.current()->state, announced_state::left);
  section("a second time it is no news",
          [&] { EXPECT_EQ(x.learn_drain(left, {4}), effect::stale); });
  section("an announcement does not undo it", [&] {
    EXPECT_EQ(x.apply(make_announcement("a", 100, 9), {5}), effect::stale);
  });
  section("a later incarnation of the server is another one", [&] {
    x.apply(make_announcement("a", 200, 1), {6});
    EXPECT_EQ(x.learn_drain(left, {7}), effect::stale);
    EXPECT_EQ(x.current()->state, announced_state::serving);
  });
}

// Guards against requests to a server that has gone and whose address is used
// by another server.
TEST(announcement_tracker, keeps_the_newest_server_of_the_address) {
  auto x = announcement_tracker{address};
  x.apply(make_announcement("a", 100, 7), {0});
  EXPECT_EQ(x.apply(make_announcement("b", 300, 1), {1}), effect::changed);
  section("an announcement of the previous server delayed by a partition", [&] {
    EXPECT_EQ(x.apply(make_announcement("a", 100, 8), {2}), effect::stale);
  });
  section("a late departure of the previous server", [&] {
    EXPECT_EQ(x.leave({"a"}, 0, {3}), effect::stale);
    EXPECT_EQ(x.current()->server.value, "b");
    EXPECT_EQ(x.current()->state, announced_state::serving);
  });
  section("a server at another address", [&] {
    auto other = make_announcement("c", 400, 1);
    other.address = {"10.0.0.2:8080"};
    EXPECT_EQ(x.apply(other, {4}), effect::foreign);
  });
}

// Guards against a late announcement that revives a server that has left.
TEST(announcement_tracker, does_not_revive_departed_servers) {
  auto x = announcement_tracker{address};
  x.apply(make_announcement("a", 100, 3), {0});
  EXPECT_EQ(x.leave({"a"}, 0, {1}), effect::changed);
  EXPECT_EQ(x.leave({"a"}, 0, {2}), effect::refreshed);
  EXPECT_EQ(x.apply(make_announcement("a", 100, 9), {3}), effect::stale);
  EXPECT_EQ(x.current()->state, announced_state::left);
  EXPECT_EQ(x.apply(make_announcement("a", 101, 1), {4}), effect::changed);
  section("the earlier incarnation leaves again", [&] {
    EXPECT_EQ(x.leave({"a"}, 100, {5}), effect::stale);
    EXPECT_EQ(x.current()->state, announced_state::serving);
  });
}

// Guards against new work for a server that has said in an answer that it
// leaves: what its node holds of it, after a restart too, is older than some
// announcements that arrive later.
TEST(announcement_tracker, keeps_a_leaving_server_draining) {
  const auto draining = announced_state::draining;
  section("said in an answer, before an announcement", [&] {
    auto x = announcement_tracker{address};
    x.apply(make_announcement("a", 100, 1), {0});
    EXPECT_EQ(x.observe_leaving({"a"}, 100, {1}), effect::changed);
    EXPECT_EQ(x.observe_leaving({"a"}, 100, {2}), effect::refreshed);
    EXPECT_EQ(x.apply(make_announcement("a", 100, 5), {3}), effect::stale);
    EXPECT_EQ(x.current()->state, draining);
  });
  section("an announcement is overtaken by a later one", [&] {
    auto x = announcement_tracker{address};
    x.apply(make_announcement("a", 100, 5), {0});
    EXPECT_EQ(x.apply(make_announcement("a", 100, 4, draining), {1}),
              effect::changed);
    EXPECT_EQ(x.apply(make_announcement("a", 100, 6), {2}), effect::stale);
    EXPECT_EQ(x.current()->state, draining);
  });
  section("not said by this server", [&] {
    auto x = announcement_tracker{address};
    EXPECT_EQ(x.observe_leaving({"a"}, 100, {0}), effect::stale);
    x.apply(make_announcement("b", 200, 1), {1});
    EXPECT_EQ(x.observe_leaving({"a"}, 100, {2}), effect::stale);
    EXPECT_EQ(x.current()->state, announced_state::serving);
  });
}

// Guards against an odd entry with a start beyond all others, which would keep
// the announcements of the real server out for good.
TEST(announcement_tracker, tells_starts_that_cannot_be_right) {
  const auto now = time_point{1.7e12};
  const auto plausible = [&](std::int64_t born_ms) {
    return has_plausible_start(make_announcement("a", born_ms, 1), now);
  };
  EXPECT_TRUE(plausible(0));
  EXPECT_TRUE(plausible(1'700'000'000'000));
  EXPECT_TRUE(plausible(1'700'000'060'000));
  EXPECT_FALSE(plausible(1'800'000'000'000));
  EXPECT_FALSE(plausible(std::numeric_limits<std::int64_t>::max()));
}
