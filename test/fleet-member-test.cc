#include "figwind/fleet_member.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "figwind/fleet_settings.h"
#include "figwind/fleet_subscriber.h"
#include "figwind/text_patch.h"
#include "fleet-cluster.h"
#include "section.h"

using namespace figwind;
using figwind::test::fleet_cluster;
using figwind::test::section;

namespace {

constexpr std::uint64_t seeds_of_schedules = 20;

/// Four members, three of them seeds, at their first start.
auto formed(std::uint64_t seed) -> fleet_cluster {
  auto out = fleet_cluster{seed};
  for (auto i = 1; i <= 4; ++i) out.start(i, true);
  return out;
}

/// Text of an update for a node that holds none.
auto text_in(const member_update& x) -> std::string {
  if (x.config.empty()) return {};
  const auto text = apply_patch({}, x.config, fleet_settings{}.max_state_bytes);
  return ok(text) ? value(text) : "does not fit";
}

/// A text that no compressor shortens much.
auto random_text(std::size_t size, std::uint64_t seed) -> std::string {
  auto random = random_source{seed};
  auto out = std::string(size, ' ');
  for (auto& c : out) c = static_cast<char>(random.bits() & 0xffU);
  return out;
}

/// Status of a node with this report of its backend server. `sequence` 0 asks
/// for the report of its earlier incarnation.
auto status_with(announced_state state, incarnation start,
                 std::uint64_t sequence, std::int64_t born_ms = 100)
    -> node_status {
  auto out = node_status{};
  out.report.node = {{"10.0.1.1:7000"}, start};
  out.report.sequence = sequence;
  if (sequence == 0) return out;
  out.report.accepts_work = state == announced_state::serving;
  out.report.server.server = {"a"};
  out.report.server.service = {"contracte"};
  out.report.server.state = state;
  out.report.server.born_ms = born_ms;
  return out;
}

/// The reports of the node of `status_with` in the last update.
auto own_reports(const std::vector<member_update>& updates)
    -> std::vector<node_report> {
  auto out = std::vector<node_report>{};
  if (updates.empty()) return out;
  for (const auto& x : updates.back().entries) {
    if (x.report.node.address.value == "10.0.1.1:7000") {
      out.push_back(x.report);
    }
  }
  return out;
}

}  // namespace

// Guards against requests to a server whose departure was acknowledged: all
// processes that knew it ended together, and a late announcement arrived.
TEST(fleet_member, keeps_drains_beyond_a_restart_of_all_processes) {
  for (const auto state : {announced_state::draining, announced_state::left}) {
    section(to_string(state), [&] {
      auto x = formed(9);
      ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
      for (auto i = 1; i <= 4; ++i)
        x.send_status(i, status_with(state, {1}, 1));
      for (auto i = 1; i <= 4; ++i) x.lose_power(i);
      for (auto i = 1; i <= 4; ++i) x.start(i, false);
      for (auto i = 1; i <= 4; ++i) {
        x.take_updates();
        x.send_status(i, status_with(state, {2}, 0));
        const auto known = own_reports(x.take_updates());
        ASSERT_EQ(known.size(), 1U) << "member " << i;
        EXPECT_EQ(known.front().server.state, state);
        EXPECT_FALSE(known.front().accepts_work);
      }
      section("a node that was not told in time is corrected", [&] {
        x.send_status(1, status_with(announced_state::serving, {2}, 1));
        const auto known = own_reports(x.take_updates());
        ASSERT_EQ(known.size(), 1U);
        EXPECT_EQ(known.front().server.state, state);
        EXPECT_FALSE(known.front().accepts_work);
      });
      section("a later incarnation of the server is used", [&] {
        x.send_status(1, status_with(announced_state::serving, {2}, 2, 200));
        EXPECT_TRUE(own_reports(x.take_updates()).empty());
      });
    });
  }
}

// Guards against an acknowledged drain that no disk holds.
TEST(fleet_member, acknowledges_a_drain_once_it_is_durable) {
  const auto sequence_in = [](const member_output& out) {
    for (const auto& x : out.messages) {
      const auto* update = std::get_if<member_update>(&x.message);
      if (update != nullptr) return static_cast<int>(update->report_sequence);
    }
    return -1;
  };
  auto x = fleet_member{fleet_member_options{}, {}, {0}};
  const auto serving = status_with(announced_state::serving, {1}, 1);
  EXPECT_EQ(sequence_in(x.on_message(serving, {10})), 1);
  const auto left = status_with(announced_state::left, {1}, 2);
  auto out = x.on_message(left, {20});
  EXPECT_EQ(sequence_in(out), 0);
  ASSERT_TRUE(out.drains);
  section("the disk fails: it is saved again after a pause", [&] {
    out = x.on_drains_saved(out.drains->number, false, {30});
    EXPECT_EQ(sequence_in(out), -1);
    EXPECT_FALSE(x.tick({40}).drains);
    out = x.tick({1500});
    ASSERT_TRUE(out.drains);
  });
  section("the disk holds it: the node is told at once", [&] {
    out = x.on_drains_saved(out.drains->number, true, {1510});
    EXPECT_EQ(sequence_in(out), 2);
    EXPECT_FALSE(x.tick({1520}).drains);
  });
}

// Guards against a cluster that never forms or forms twice. A process has three
// seeds, but neither the number of members nor their addresses.
TEST(fleet_member, forms_from_seeds_and_adds_the_other_members) {
  auto x = formed(1);
  ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
  section("a seed that lost its disk forms no second cluster", [&] {
    ASSERT_EQ(x.commit_change(0, 3, "a"), desired_status::done);
    const auto lost = x.leader() == 1 ? 2 : 1;
    x.lose_disk(lost);
    x.start(lost, false);
    x.run(seconds(3));
    EXPECT_EQ(x.voters(), 4U);
    EXPECT_EQ(x.read_state().current.text, "a");
  });
}

// Guards against an accepted change that is refused when it is resent, and
// against two changes of one version.
TEST(fleet_member, accepts_one_change_per_version) {
  auto x = formed(2);
  ASSERT_EQ(x.commit_change(0, 3, "a"), desired_status::done);
  section("a resent change",
          [&] { EXPECT_EQ(x.commit_change(0, 3, "a"), desired_status::done); });
  section("two changes with the same label", [&] {
    const auto at = x.leader();
    const auto first = x.change(at, 3, 5, "b");
    const auto second = x.change(at, 3, 5, "c");
    EXPECT_EQ(x.await_reply(at, first).status, desired_status::done);
    EXPECT_EQ(x.await_reply(at, second).status, desired_status::conflict);
    EXPECT_EQ(x.read_state().current.text, "b");
  });
  section("a label that is not above the one in force", [&] {
    EXPECT_EQ(x.commit_change(5, 4, "d"), desired_status::stale_label);
  });
  section("the first change again, after later ones", [&] {
    EXPECT_EQ(x.commit_change(0, 3, "a"), desired_status::done);
    EXPECT_EQ(x.read_state().current.text, "b");
  });
  section("resent changes after a restart of all processes", [&] {
    for (auto i = 1; i <= 4; ++i) x.kill(i);
    for (auto i = 1; i <= 4; ++i) x.start(i, false);
    EXPECT_EQ(x.commit_change(0, 3, "a"), desired_status::done);
    EXPECT_EQ(x.commit_change(3, 5, "b"), desired_status::done);
    EXPECT_EQ(x.read_state().current.text, "b");
  });
}

// Guards against an isolated leader that returns an outdated state or accepts
// changes.
TEST(fleet_member, isolated_leader_completes_no_request) {
  auto x = formed(3);
  ASSERT_EQ(x.commit_change(0, 1, "a"), desired_status::done);
  ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
  const auto old = x.leader();
  for (auto i = 1; i <= 4; ++i) {
    if (i != old) x.disconnect(old, i);
  }
  const auto read = x.read(old);
  const auto change = x.change(old, 1, 2, "lost");
  ASSERT_TRUE(x.run_until([&] { return !x.core(old).is_leader(); }));
  EXPECT_EQ(x.await_reply(old, read).status, desired_status::unknown);
  EXPECT_EQ(x.await_reply(old, change).status, desired_status::unknown);
  ASSERT_EQ(x.commit_change(1, 3, "b"), desired_status::done);
  x.heal();
  x.run(seconds(2));
  EXPECT_EQ(x.read_state().current.text, "b");
}

// Guards against a leader that was paused, at any moment of a change, and acts
// on its leadership when it goes on although it has run out.
TEST(fleet_member, paused_leader_acts_on_no_leadership_that_ran_out) {
  constexpr auto moments = 12;
  constexpr auto tick = milliseconds(10);
  for (auto moment = 0; moment < moments; ++moment) {
    for (const auto pause : {milliseconds(300), seconds(1), seconds(5)}) {
      section(
          "paused for " + std::to_string(pause.ms) + " ms, " +
              std::to_string(moment) + " ticks after a change",
          [&] {
            auto x = formed(static_cast<std::uint64_t>(moment) + 40);
            ASSERT_EQ(x.commit_change(0, 1, "a"), desired_status::done);
            ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
            const auto old = x.leader();
            const auto first = x.change(old, 1, 2, "b");
            x.run(tick * moment);
            x.pause(old);
            x.run(pause);
            const auto replaced = x.leader() != 0;
            ASSERT_TRUE(replaced || pause < seconds(1));
            const auto base = replaced ? x.read_state().current.label.value : 0;
            if (replaced) {
              ASSERT_EQ(x.commit_change(base, 9, "c"), desired_status::done);
            }
            // It has not heard of its successor yet.
            x.resume(old);
            const auto read = x.read(old);
            const auto change = x.change(old, base, 7, "rival");
            const auto seen = x.await_reply(old, read);
            const auto rival = x.await_reply(old, change);
            if (replaced) {
              EXPECT_TRUE(seen.status == desired_status::unknown ||
                          seen.current.label.value == 9);
              EXPECT_NE(rival.status, desired_status::done);
            }
            x.await_reply(old, first);
            const auto end = x.read_state().current.label.value;
            if (replaced) {
              EXPECT_EQ(end, 9U);
            }
            EXPECT_NE(end, 7U);
          });
    }
  }
}

// Guards against changes and reads that were just accepted and are cut off by a
// planned stop, and against two members that both act while one hands over.
TEST(fleet_member, completes_what_it_accepted_before_it_hands_over) {
  for (auto seed = std::uint64_t{1}; seed <= seeds_of_schedules; ++seed) {
    section("seed " + std::to_string(seed), [&] {
      auto x = formed(seed);
      ASSERT_EQ(x.commit_change(0, 1, "a"), desired_status::done);
      ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
      const auto old = x.leader();
      const auto change = x.change(old, 1, 2, "b");
      const auto read = x.read(old);
      x.core(old).resign();
      const auto late = x.change(old, 2, 3, "late");
      const auto from = x.now();
      ASSERT_TRUE(
          x.run_until([&] { return x.leader() != 0 && x.leader() != old; }));
      EXPECT_LT(x.now() - from, consensus_settings{}.election_timeout_min);
      EXPECT_EQ(x.await_reply(old, change).status, desired_status::done);
      EXPECT_EQ(x.await_reply(old, read).status, desired_status::done);
      EXPECT_EQ(x.await_reply(old, late).status, desired_status::unknown);
      x.kill(old);
      ASSERT_EQ(x.commit_change(2, 4, "c"), desired_status::done);
      x.start(old, false);
      EXPECT_EQ(x.read_state().current.text, "c");
    });
  }
}

// Guards against a permanently lost member that still counts, so that the next
// failure stops the cluster.
TEST(fleet_member, replaces_a_member_at_another_address) {
  for (auto seed = std::uint64_t{1}; seed <= seeds_of_schedules; ++seed) {
    section("seed " + std::to_string(seed), [&] {
      auto x = formed(seed);
      ASSERT_EQ(x.commit_change(0, 1, "a"), desired_status::done);
      ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
      const auto removed = static_cast<int>(seed % 4) + 1;
      x.remove(removed);
      x.run(seconds(1));
      x.start(5, false);
      ASSERT_TRUE(x.run_until([&] {
        const auto at = x.leader();
        return at != 0 && x.voters() == 4 &&
               find_member(x.core(at).replicated_log().members(),
                           {static_cast<std::uint64_t>(removed)}) == nullptr;
      }));
      // A second member fails right after the replacement.
      const auto second = removed == 1 ? 2 : 1;
      x.kill(second);
      EXPECT_EQ(x.commit_change(1, 2, "b"), desired_status::done);
      EXPECT_EQ(x.read_state().current.text, "b");
    });
  }
}

// Guards against a cluster that a series of replacements leaves without a
// majority: each one must be complete before the next member is lost.
TEST(fleet_member, replaces_one_member_after_the_other) {
  for (auto seed = std::uint64_t{1}; seed <= seeds_of_schedules; ++seed) {
    section("seed " + std::to_string(seed), [&] {
      auto random = random_source{seed};
      auto x = formed(seed);
      ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
      auto members = std::vector<int>{1, 2, 3, 4};
      for (auto next = 5; next <= 12; ++next) {
        x.set_seeds({members[0], members[1], members[2]});
        auto& lost = members[random.index(members.size())];
        x.remove(lost);
        x.run(milliseconds(1100));
        lost = next;
        x.start(next, false);
        ASSERT_TRUE(x.run_until([&] {
          return x.voters() == 4 && x.all_vote();
        })) << "number "
            << next;
      }
    });
  }
}

// Guards against lost members that still count after a series of planned and
// unplanned replacements, so that the next failure stops the cluster, and
// against a cluster that does not come back from a restart of all members.
TEST(fleet_member, bears_a_failure_after_each_replacement) {
  for (auto seed = std::uint64_t{1}; seed <= seeds_of_schedules; ++seed) {
    section("seed " + std::to_string(seed), [&] {
      auto random = random_source{seed};
      auto x = formed(seed);
      if (seed % 3 == 0) x.set_link_delay(milliseconds(60));
      ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
      auto members = std::vector<int>{1, 2, 3, 4};
      auto label = std::uint64_t{0};
      for (auto next = 5; next <= 12; ++next) {
        x.set_seeds({members[0], members[1], members[2]});
        auto& lost = members[random.index(members.size())];
        const auto pause = milliseconds(200 + 3000 * random.uniform());
        const auto is_planned = random.uniform() < 0.4;
        if (is_planned) {
          x.start(next, false);
          x.run(pause);
          x.core(lost).resign();
          x.run(milliseconds(50 + 500 * random.uniform()));
          x.remove(lost);
        } else {
          x.remove(lost);
          x.run(pause);
          x.start(next, false);
        }
        lost = next;
        x.run(seconds(10));
        const auto failing = members[random.index(members.size())];
        x.kill(failing);
        const auto text = "state " + std::to_string(next);
        ASSERT_EQ(x.commit_change(label, label + 1, text), desired_status::done)
            << "number " << next << ", planned: " << is_planned;
        ++label;
        x.start(failing, false);
        ASSERT_TRUE(x.run_until([&] { return x.all_vote(); }))
            << "number " << next << ", planned: " << is_planned;
      }
      for (const auto i : members) x.lose_power(i);
      for (const auto i : members) x.start(i, false);
      EXPECT_EQ(x.read_state().current.label.value, label);
    });
  }
}

// Guards against a member that is lost while it joins and then blocks all later
// changes of the membership.
TEST(fleet_member, forgets_a_member_that_is_lost_while_it_joins) {
  for (auto seed = std::uint64_t{1}; seed <= seeds_of_schedules; ++seed) {
    section("seed " + std::to_string(seed), [&] {
      auto x = formed(seed);
      ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
      x.start(5, false);
      ASSERT_TRUE(x.run_until([&] {
        const auto& log = x.core(x.leader()).replicated_log();
        return find_member(log.members(), {5}) != nullptr;
      }));
      x.remove(5);
      x.run(seconds(1));
      const auto lost = x.leader() == 1 ? 2 : 1;
      x.remove(lost);
      x.run(seconds(1));
      x.start(6, false);
      ASSERT_TRUE(x.run_until([&] { return x.voters() == 4 && x.all_vote(); }));
      section("and takes it in again if it returns", [&] {
        x.start(5, false);
        EXPECT_TRUE(
            x.run_until([&] { return x.voters() == 5 && x.all_vote(); }));
      });
    });
  }
}

// Guards against a lost change if the member that acknowledged it loses its
// disk while all other members lose power.
TEST(fleet_member, keeps_accepted_changes_when_a_disk_is_lost) {
  for (auto seed = std::uint64_t{1}; seed <= seeds_of_schedules; ++seed) {
    section("seed " + std::to_string(seed), [&] {
      auto x = formed(seed);
      ASSERT_EQ(x.commit_change(0, 1, "a"), desired_status::done);
      ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
      ASSERT_EQ(x.commit_change(1, 2, "b"), desired_status::done);
      const auto lost = x.leader();
      for (auto i = 1; i <= 4; ++i) x.kill(i);
      x.lose_disk(lost);
      for (auto i = 1; i <= 4; ++i) x.start(i, false);
      EXPECT_EQ(x.read_state().current.text, "b");
      EXPECT_TRUE(x.run_until([&] { return x.voters() == 4; }));
    });
  }
}

// Guards against a change that stays without an answer for ever: its entry was
// lost with its leader, which leads again when the change is resent.
TEST(fleet_member, accepts_a_resent_change_whose_entry_was_lost) {
  for (auto seed = std::uint64_t{1}; seed <= seeds_of_schedules; ++seed) {
    section("seed " + std::to_string(seed), [&] {
      auto x = formed(seed);
      ASSERT_EQ(x.commit_change(0, 1, "a"), desired_status::done);
      ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
      const auto first = x.leader();
      const auto before = x.core(first).replicated_log().last_index();
      const auto ticket = x.change(first, 1, 2, "b");
      // The barrier entry is replicated, the entry of the change is not.
      ASSERT_TRUE(x.run_until([&] {
        return x.core(first).replicated_log().last_index() > before + 1;
      }));
      for (auto i = 1; i <= 4; ++i) {
        if (i != first) x.disconnect(first, i);
      }
      ASSERT_TRUE(x.run_until([&] { return !x.core(first).is_leader(); }));
      EXPECT_EQ(x.await_reply(first, ticket).status, desired_status::unknown);
      EXPECT_TRUE(x.has_replied(first, ticket));
      ASSERT_TRUE(x.run_until([&] { return x.leader() != 0; }));
      x.heal();
      x.run(seconds(1));
      ASSERT_TRUE(x.lead(first));
      EXPECT_EQ(x.commit_change(1, 2, "b"), desired_status::done);
    });
  }
}

// Guards against a valid state that no leader ever accepts, since one entry of
// the log cannot hold it, and against parts of it that take effect alone.
TEST(fleet_member, accepts_a_state_of_many_log_entries) {
  const auto many_entries = consensus_settings{}.max_entry_bytes * 12;
  const auto text = [&](char x) { return std::string(many_entries, x); };
  for (auto seed = std::uint64_t{1}; seed <= seeds_of_schedules; ++seed) {
    section("seed " + std::to_string(seed), [&] {
      auto x = formed(seed);
      ASSERT_EQ(x.commit_change(0, 1, text('a')), desired_status::done);
      ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
      EXPECT_TRUE(x.read_state().current.text == text('a'));
      section("the leader is lost while the parts are replicated", [&] {
        const auto old = x.leader();
        x.change(old, 1, 2, text('b'));
        x.run(milliseconds(10.0 * static_cast<double>(seed)));
        x.kill(old);
        ASSERT_TRUE(x.run_until([&] { return x.leader() != 0; }));
        const auto now = x.read_state().current.text;
        EXPECT_TRUE(now == text('a') || now == text('b'));
        EXPECT_EQ(x.commit_change(1, 2, text('b')), desired_status::done);
        x.start(old, false);
      });
      section("a small change after it", [&] {
        EXPECT_EQ(x.commit_change(2, 3, "c"), desired_status::done);
      });
      section("all processes restart", [&] {
        ASSERT_EQ(x.commit_change(3, 4, text('d')), desired_status::done);
        for (auto i = 1; i <= 4; ++i) x.kill(i);
        for (auto i = 1; i <= 4; ++i) x.start(i, false);
        const auto kept = x.read_state();
        EXPECT_EQ(kept.status, desired_status::done);
        EXPECT_EQ(kept.current.label.value, 4U);
        EXPECT_TRUE(kept.current.text == text('d'));
      });
    });
  }
}

// Guards against callers that wait while members wait in vain for a lost disk:
// the member that lost its disk knows the seeds only, and must tell the others
// as well.
TEST(fleet_member, elects_a_leader_soon_after_a_loss_of_power_and_a_disk) {
  for (auto lost = 1; lost <= 4; ++lost) {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
      section("disk " + std::to_string(lost) + " lost, seed " +
                  std::to_string(seed),
              [&] {
                auto x = formed(seed);
                ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
                ASSERT_EQ(x.commit_change(0, 1, "a"), desired_status::done);
                for (auto i = 1; i <= 4; ++i) {
                  i == lost ? x.lose_disk(i) : x.lose_power(i);
                }
                x.set_link_delay(milliseconds(60));
                for (auto i = 1; i <= 4; ++i) x.start(i, false);
                EXPECT_TRUE(x.run_until([&] { return x.leader() != 0; },
                                        milliseconds(500)));
                EXPECT_EQ(x.read_state().current.text, "a");
              });
    }
  }
}

// Guards against a state beyond the limit that is answered as if a resend could
// succeed, and against a limit below that of the operator's interface.
TEST(fleet_member, refuses_only_states_above_the_limit) {
  auto x = formed(5);
  const auto limit = fleet_settings{}.max_state_bytes;
  EXPECT_EQ(x.commit_change(0, 1, std::string(limit, 'a')),
            desired_status::done);
  EXPECT_EQ(x.commit_change(1, 2, std::string(limit + 2048, 'b')),
            desired_status::too_large);
}

// Guards against whole texts for each small change, which exceed a node's share
// of the network at 9,200 changes a day.
TEST(fleet_member, sends_a_node_only_what_has_changed) {
  auto x = formed(7);
  const auto large = random_text(std::size_t{300} << 10U, 1);
  ASSERT_EQ(x.commit_change(0, 1, large), desired_status::done);
  auto status = node_status{};
  status.report.node = {{"10.0.1.1:7000"}, {1}};
  status.version = x.core(x.leader()).version();
  status.wants_config = true;
  const auto base = status.version;
  x.send_status(x.leader(), status);
  x.take_updates();
  ASSERT_EQ(x.commit_change(1, 2, large + "more"), desired_status::done);
  x.run(milliseconds(50));
  const auto updates = x.take_updates();
  const auto sent =
      std::find_if(updates.begin(), updates.end(),
                   [](const auto& u) { return !u.config.empty(); });
  ASSERT_NE(sent, updates.end());
  EXPECT_EQ(sent->config_base, base);
  EXPECT_LT(sent->config.size(), 1024U);
  const auto text =
      apply_patch(large, sent->config, fleet_settings{}.max_state_bytes);
  ASSERT_TRUE(ok(text));
  EXPECT_TRUE(value(text) == large + "more");
}

// Guards against a node that restarts and never hears of the other nodes: the
// members first return its own report, which it took for the whole directory.
TEST(fleet_member, sends_a_restarted_node_the_whole_directory) {
  constexpr auto nodes = 5;
  auto x = formed(8);
  ASSERT_EQ(x.commit_change(0, 1, "state"), desired_status::done);
  const auto address = [](int i) {
    return vm_address{"10.0.1." + std::to_string(i) + ":7000"};
  };
  for (auto member = 1; member <= 3; ++member) {
    for (auto i = 1; i <= nodes; ++i) {
      auto status = node_status{};
      status.report.node = {address(i), {1}};
      status.report.sequence = 1;
      x.send_status(member, status);
    }
  }
  x.take_updates();
  auto options = subscriber_options{};
  options.self = address(1);
  options.start = {2};
  auto members = std::vector<vm_address>{};
  for (auto i = 1; i <= 3; ++i) members.push_back(fleet_cluster::address(i));
  auto restarted = fleet_subscriber{options, members, x.now()};
  auto view = fleet_view{};
  for (auto step = 0; step < 50; ++step) {
    for (const auto& due : restarted.on_tick(x.now())) {
      const auto at = std::find(members.begin(), members.end(), due.to);
      x.send_status(static_cast<int>(at - members.begin()) + 1, due.message);
    }
    x.run(milliseconds(10));
    for (const auto& update : x.take_updates())
      restarted.on_update(update, view, x.now());
  }
  EXPECT_EQ(view.size(), nodes);
}

// Guards against a member that misses its heartbeats because it sends a large
// state to all nodes at once.
TEST(fleet_member, spreads_a_large_state_over_time) {
  constexpr auto nodes = 20;
  auto x = formed(6);
  const auto large = random_text(std::size_t{600} << 10U, 1);
  ASSERT_EQ(x.commit_change(0, 1, "small"), desired_status::done);
  const auto at = x.leader();
  for (auto i = 1; i <= nodes; ++i) {
    auto status = node_status{};
    status.report.node = {{"10.0.1." + std::to_string(i) + ":7000"}, {1}};
    status.wants_config = true;
    x.send_status(at, status);
  }
  ASSERT_EQ(x.commit_change(1, 2, large), desired_status::done);
  x.take_updates();
  auto sent = 0;
  for (auto step = 0; step < 100 && sent < nodes; ++step) {
    x.run(milliseconds(10));
    auto in_step = 0;
    for (const auto& update : x.take_updates()) {
      if (text_in(update) == large) ++in_step;
    }
    EXPECT_LE(in_step, 2);
    sent += in_step;
  }
  EXPECT_GE(sent, nodes - 2);
}

// Guards against a lost change if any one member loses its disk while all
// others lose power, right after the change was acknowledged or while it is in
// progress, also if the members that are left have just been replaced.
TEST(fleet_member, keeps_accepted_changes_when_all_others_lose_power) {
  const auto large = random_text(std::size_t{700} << 10U, 1);
  for (auto seed = std::uint64_t{1}; seed <= seeds_of_schedules; ++seed) {
    for (auto lost = 1; lost <= 4; ++lost) {
      section(
          "seed " + std::to_string(seed) + ", disk of " + std::to_string(lost),
          [&] {
            auto x = formed(seed);
            ASSERT_EQ(x.commit_change(0, 1, "a"), desired_status::done);
            ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
            const auto& last = seed % 2 == 0 ? large : std::string{"b"};
            ASSERT_EQ(x.commit_change(1, 2, last), desired_status::done);
            section("one more change is in progress", [&] {
              x.change(x.leader(), 2, 3, "c");
              x.run(milliseconds(10.0 * static_cast<double>(seed % 4)));
            });
            for (auto i = 1; i <= 4; ++i) x.lose_power(i);
            x.lose_disk(lost);
            for (auto i = 1; i <= 4; ++i) x.start(i, false);
            const auto kept = x.read_state();
            ASSERT_EQ(kept.status, desired_status::done);
            EXPECT_GE(kept.current.label.value, 2U);
            EXPECT_TRUE(kept.current.text == last || kept.current.text == "c");
            ASSERT_TRUE(x.run_until([&] { return x.all_vote(); }));
            section("the same happens to another disk", [&] {
              const auto label = kept.current.label.value;
              ASSERT_EQ(x.commit_change(label, 9, "d"), desired_status::done);
              for (auto i = 1; i <= 4; ++i) x.lose_power(i);
              x.lose_disk(lost % 4 + 1);
              for (auto i = 1; i <= 4; ++i) x.start(i, false);
              EXPECT_EQ(x.read_state().current.text, "d");
            });
          });
    }
  }
}

// Guards against a restarted node that accepts an old configuration from an
// isolated member.
TEST(fleet_member, reports_whether_its_version_is_current) {
  auto x = formed(4);
  ASSERT_EQ(x.commit_change(0, 1, "a"), desired_status::done);
  ASSERT_TRUE(x.run_until([&] { return x.voters() == 4; }));
  const auto behind = x.leader() == 4 ? 3 : 4;
  for (auto i = 1; i <= 4; ++i) {
    if (i != behind) x.disconnect(behind, i);
  }
  x.run(seconds(1));
  ASSERT_EQ(x.commit_change(1, 2, "b"), desired_status::done);
  auto status = node_status{};
  status.report.node = {{"10.0.1.1:7000"}, {1}};
  status.wants_config = true;
  x.take_updates();
  x.send_status(behind, status);
  x.send_status(x.leader(), status);
  const auto updates = x.take_updates();
  ASSERT_EQ(updates.size(), 2U);
  EXPECT_FALSE(updates[0].has_leader);
  EXPECT_EQ(text_in(updates[0]), "a");
  EXPECT_TRUE(updates[1].has_leader);
  EXPECT_EQ(text_in(updates[1]), "b");
}
