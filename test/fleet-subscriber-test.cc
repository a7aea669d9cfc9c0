#include "figwind/fleet_subscriber.h"

#include <gtest/gtest.h>

#include "figwind/text_patch.h"
#include "section.h"

namespace figwind {
namespace {

using test::section;

const auto home = vm_address{"10.1.0.9:7420"};
const auto other = vm_address{"10.2.0.9:7420"};

auto at(double ms) -> time_point {
  return time_point{ms};
}

auto make_subscriber() -> fleet_subscriber {
  auto options = subscriber_options{};
  options.self = {"10.1.0.1:7420"};
  options.domain = {"a"};
  options.start = {5};
  return fleet_subscriber{options, {home, other}, at(0)};
}

auto make_update(const vm_address& member, std::uint64_t version,
                 bool has_leader) -> member_update {
  auto x = member_update{};
  x.member = member;
  x.domain = {"a"};
  x.version = {version};
  x.has_leader = has_leader;
  x.config = make_patch("", "text");
  x.members = {home, other};
  return x;
}

// Guards against a node without configuration for 1 s after its links open: a
// status that was due earlier is lost.
TEST(fleet_subscriber, sends_a_status_to_a_reachable_member_at_once) {
  auto x = make_subscriber();
  EXPECT_EQ(x.on_tick(at(0)).size(), 2U);
  EXPECT_TRUE(x.on_tick(at(100)).empty());
  x.on_reachable(other);
  const auto due = x.on_tick(at(110));
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due.front().to, other);
  EXPECT_TRUE(due.front().message.wants_config);
  section("a peer that is not a member gets no status", [&] {
    x.on_reachable({"10.1.0.2:7420"});
    EXPECT_TRUE(x.on_tick(at(120)).empty());
  });
}

// Guards against a node that starts with an old configuration from a member
// that was cut off.
TEST(fleet_subscriber, starts_with_a_current_configuration) {
  auto x = make_subscriber();
  auto view = fleet_view{};
  EXPECT_FALSE(x.on_update(make_update(home, 3, false), view, at(50)).config);
  EXPECT_EQ(x.version().value, 0U);
  EXPECT_TRUE(x.on_update(make_update(other, 4, true), view, at(60)).config);
  section("the configuration is never rolled back", [&] {
    EXPECT_FALSE(x.on_update(make_update(home, 3, true), view, at(70)).config);
    EXPECT_EQ(x.version().value, 4U);
  });
  section("after 3 s any configuration is accepted", [] {
    auto y = make_subscriber();
    auto v = fleet_view{};
    EXPECT_TRUE(y.on_update(make_update(home, 3, false), v, at(3100)).config);
  });
}

// Guards against a node that keeps an old configuration because it does not
// hold the text from which a patch was made.
TEST(fleet_subscriber, requests_the_whole_text_if_a_patch_does_not_fit) {
  auto x = make_subscriber();
  auto view = fleet_view{};
  EXPECT_EQ(x.on_update(make_update(home, 3, true), view, at(50)).config,
            "text");
  section("a patch of the text held", [&] {
    auto next = make_update(home, 4, true);
    next.config_base = {3};
    next.config = make_patch("text", "next text");
    EXPECT_EQ(x.on_update(next, view, at(60)).config, "next text");
  });
  section("a patch of another text", [&] {
    auto update = make_update(home, 6, true);
    update.config_base = {5};
    update.config = make_patch("unknown", "newest");
    const auto effect = x.on_update(update, view, at(70));
    EXPECT_FALSE(effect.config);
    EXPECT_TRUE(effect.config_refused);
    const auto due = x.on_tick(at(71));
    ASSERT_FALSE(due.empty());
    EXPECT_EQ(due.front().to, home);
    EXPECT_EQ(due.front().message.version.value, 0U);
  });
  section("the whole text", [&] {
    EXPECT_EQ(x.on_update(make_update(home, 6, true), view, at(80)).config,
              "text");
    EXPECT_EQ(x.version().value, 6U);
  });
}

}  // namespace
}  // namespace figwind
