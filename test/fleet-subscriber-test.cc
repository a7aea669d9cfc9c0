#include "figwind/fleet_subscriber.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <set>

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

/// A node and six members that answer each status unless they are silent.
class subscribed_node {
 public:
  subscribed_node() {
    for (auto i = 0; i < 6; ++i) {
      members_.push_back({"10." + std::to_string(i) + ".0.9:7420"});
    }
    auto options = subscriber_options{};
    options.self = {"10.0.0.1:7420"};
    options.domain = domain_of(0);
    options.start = {5};
    subscriber.emplace(options, members_, now);
    run_for(seconds(20));
  }

  static auto domain_of(std::size_t member) -> failure_domain {
    return {std::string(1, "abcdef"[member])};
  }

  /// Number of statuses that each member gets in this time.
  auto run_for(duration time) -> std::vector<int> {
    auto counts = std::vector<int>(members_.size());
    for (const auto end = now + time; now < end; now = now + milliseconds(10)) {
      for (const auto& x : subscriber->on_tick(now)) {
        const auto i = index_of(x.to);
        ++counts[i];
        directory_requests[i] += x.message.wants_directory ? 1 : 0;
        if (silent.count(i) != 0) continue;
        const auto is_isolated = isolated.count(i) != 0;
        auto update =
            make_update(x.to, is_isolated ? 1 : version, !is_isolated);
        if (!x.message.wants_config) update.config.clear();
        update.domain = domain_of(i);
        update.members = members_;
        subscriber->on_update(update, view, now);
      }
    }
    return counts;
  }

  /// Members that got a status each second.
  auto frequent() -> std::set<std::size_t> {
    constexpr auto least = 8;
    auto out = std::set<std::size_t>{};
    const auto counts = run_for(seconds(10));
    for (auto i = std::size_t{0}; i < counts.size(); ++i) {
      if (counts[i] >= least) out.insert(i);
    }
    return out;
  }

  time_point now;
  fleet_view view;
  std::vector<int> directory_requests = std::vector<int>(6);
  std::uint64_t version = 1;
  std::set<std::size_t> silent;
  /// Members without contact to a leader.
  std::set<std::size_t> isolated;
  std::optional<fleet_subscriber> subscriber;

 private:
  auto index_of(const vm_address& member) const -> std::size_t {
    const auto at = std::find(members_.begin(), members_.end(), member);
    return static_cast<std::size_t>(at - members_.begin());
  }

  std::vector<vm_address> members_;
};

// Guards against control members whose statuses grow with the fleet times the
// number of members.
TEST(fleet_subscriber, sends_few_statuses_to_members_that_are_not_needed) {
  auto x = subscribed_node{};
  const auto before = x.frequent();
  section("each second to the member of its domain and to one more", [&] {
    EXPECT_EQ(before.size(), 2U);
    EXPECT_EQ(before.count(0), 1U);
    const auto counts = x.run_for(seconds(10));
    EXPECT_EQ(std::accumulate(counts.begin(), counts.end(), 0), 24);
  });
  section("a change goes to all at once", [&] {
    x.subscriber->report(announcement{}, false);
    EXPECT_EQ(x.subscriber->on_tick(x.now).size(), 6U);
  });
  section("a lost member is replaced", [&] {
    x.silent = {0};
    x.run_for(seconds(2));
    const auto after = x.frequent();
    EXPECT_EQ(after.size(), 2U);
    EXPECT_EQ(after.count(0), 0U);
    section("by the one that it heard each second", [&] {
      for (const auto i : before) EXPECT_EQ(after.count(i), i == 0 ? 0U : 1U);
    });
  });
}

// Guards against a start at which each node gets the directory of the fleet
// from each member, which grows with the square of the fleet.
TEST(fleet_subscriber, takes_the_directory_from_one_member) {
  auto x = subscribed_node{};
  EXPECT_EQ(
      std::count(x.directory_requests.begin(), x.directory_requests.end(), 0),
      5);
  EXPECT_GT(x.directory_requests[0], 0);
  section("and from the next one while that is silent", [&] {
    x.silent = {0};
    x.run_for(seconds(2));
    x.directory_requests = std::vector<int>(6);
    x.run_for(seconds(2));
    EXPECT_EQ(
        std::count(x.directory_requests.begin(), x.directory_requests.end(), 0),
        5);
    EXPECT_EQ(x.directory_requests[0], 0);
  });
}

// Guards against a node that keeps an old configuration because the members
// that it hears each second are cut off from the others.
TEST(fleet_subscriber, asks_all_members_if_its_own_are_isolated) {
  auto x = subscribed_node{};
  x.isolated = x.frequent();
  x.run_for(seconds(2));
  EXPECT_EQ(x.frequent().size(), 6U);
  section("a change reaches it within two seconds", [&] {
    x.version = 2;
    x.run_for(seconds(2));
    EXPECT_EQ(x.subscriber->version().value, 2U);
  });
}

// Guards against all nodes of a domain turning to the same member when that of
// their domain is lost.
TEST(fleet_subscriber, spreads_nodes_over_the_other_members) {
  auto uses = std::map<vm_address, int>{};
  for (auto i = 0; i < 100; ++i) {
    auto options = subscriber_options{};
    options.self = {"10.0.0." + std::to_string(i) + ":7420"};
    options.domain = {"a"};
    const auto members = std::vector<vm_address>{
        {"10.1.0.9:1"}, {"10.2.0.9:1"}, {"10.3.0.9:1"}, {"10.4.0.9:1"}};
    auto x = fleet_subscriber{options, members, at(0)};
    auto view = fleet_view{};
    x.on_tick(at(0));
    for (const auto& member : members) {
      auto update = make_update(member, 1, true);
      update.domain = {"b"};
      update.members = members;
      x.on_update(update, view, at(10));
    }
    for (const auto& due : x.on_tick(at(1100))) {
      if (due.message.wants_directory) ++uses[due.to];
    }
  }
  ASSERT_EQ(uses.size(), 4U);
  for (const auto& [member, count] : uses) EXPECT_GT(count, 10);
}

}  // namespace
}  // namespace figwind
