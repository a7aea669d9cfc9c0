#include "figwind/consensus.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "consensus-cluster.h"
#include "section.h"

using namespace figwind;
using namespace figwind::test;

namespace {

class checked_cluster : public consensus_cluster {
 public:
  using consensus_cluster::consensus_cluster;
  checked_cluster(const checked_cluster&) = delete;
  auto operator=(const checked_cluster&) -> checked_cluster& = delete;
  ~checked_cluster() {
    for (const auto& v : violations) ADD_FAILURE() << v;
  }
};

auto compacting_after(std::size_t entries) -> consensus_settings {
  auto x = consensus_settings{};
  x.compaction_entries = entries;
  return x;
}

auto make_change(std::uint64_t number, std::uint64_t base) -> config_change {
  return {{7, number}, {base}, "op", workload_text(number), {}};
}

// Submits `count` changes one by one and waits for the answer to each.
auto commit_changes(consensus_cluster& c, std::uint64_t first,
                    std::uint64_t count) -> bool {
  for (auto n = first; n < first + count; ++n) {
    auto answered = [&] { return c.answers.count({7, n}) > 0; };
    for (auto tries = 0; tries < 20 && !answered(); ++tries) {
      if (!c.await_leader()) return false;
      c.submit_change(
          *c.leader(),
          make_change(n, c.leader()->state_machine.current().version.value));
      c.run_until(milliseconds(500), answered);
    }
    if (!answered()) return false;
  }
  return true;
}

auto state_of(consensus_cluster& c, std::uint64_t id) -> member_state {
  return c.at(id).replica->state();
}

auto other_than(member_id id) -> std::uint64_t {
  return id.value == 1 ? 2 : 1;
}

}  // namespace

// Guards against an isolated leader that commits changes, and against an
// election caused by its return.
TEST(consensus, isolated_leader_steps_down_and_rejoins_without_election) {
  checked_cluster c{3, 11};
  ASSERT_TRUE(commit_changes(c, 1, 3));
  auto old = c.leader()->id;
  c.isolate(old);
  section("it commits nothing while isolated", [&] {
    c.submit_change(c.processes().at(old), make_change(50, 3));
    c.run_for(seconds(2));
    EXPECT_EQ(c.processes().at(old).replica->role() == member_role::leader,
              false);
    EXPECT_EQ(c.answers.count({7, 50}), 0U);
  });
  section("the others continue, and its return does not change the term", [&] {
    ASSERT_TRUE(commit_changes(c, 4, 3));
    auto term = c.leader()->replica->term();
    c.run_for(seconds(3));
    c.heal();
    ASSERT_TRUE(c.await_agreement());
    EXPECT_EQ(c.leader()->replica->term(), term);
  });
}

// Guards against votes from a lost or rolled-back disk.
TEST(consensus, lost_or_rolled_back_disk_votes_only_after_readmission) {
  for (auto rolled_back : {false, true}) {
    section(rolled_back ? "rolled back" : "lost", [&] {
      checked_cluster c{3, 12};
      ASSERT_TRUE(commit_changes(c, 1, 2));
      ASSERT_TRUE(c.await_agreement());
      auto victim = other_than(c.leader()->id);
      auto old_disk = c.at(victim).disk->copy();
      auto generation = c.at(victim).replica->generation();
      ASSERT_TRUE(commit_changes(c, 3, 5));
      c.run_for(milliseconds(200));
      c.crash({victim});
      c.at(victim).disk =
          std::make_unique<fake_files>(rolled_back ? old_disk : fake_files{});
      c.start({victim});
      auto seen = c.run_until(seconds(1), [&] {
        return state_of(c, victim) == member_state::awaiting_admission;
      });
      EXPECT_TRUE(seen);
      EXPECT_NE(c.at(victim).replica->generation(), generation);
      section("it is admitted and promoted automatically", [&] {
        ASSERT_TRUE(c.await_agreement());
        EXPECT_EQ(state_of(c, victim), member_state::voter);
      });
    });
  }
}

// Guards against a planned stop of the leader after which nobody accepts
// changes until the election timeout has passed.
TEST(consensus, resigned_leader_hands_over_before_an_election_timeout) {
  for (const auto size : {3, 4, 7}) {
    section(std::to_string(size) + " members", [&] {
      checked_cluster c{static_cast<std::size_t>(size), 31};
      ASSERT_TRUE(commit_changes(c, 1, 5));
      for (auto round = 0; round < 5; ++round) {
        ASSERT_TRUE(c.await_agreement());
        auto& old = *c.leader();
        const auto number = static_cast<std::uint64_t>(100 + round);
        c.submit_change(old, make_change(number, number - 95));
        const auto from = c.now();
        const auto others_lead = [&] {
          c.apply_output(old, old.replica->resign());
          return c.leader() != nullptr && c.leader()->id != old.id;
        };
        // The leader commits what it has accepted before it hands over.
        ASSERT_TRUE(c.run_until(seconds(5), others_lead));
        EXPECT_LT(c.now() - from, consensus_settings{}.election_timeout_min);
        EXPECT_EQ(c.answers.count({7, number}), 1U);
        c.run_for(seconds(2));
        EXPECT_NE(c.leader()->id, old.id);
        c.crash(old.id);
        c.start(old.id);
      }
    });
  }
}

// Guards against two leaders of one term and against lost changes when leaders
// hand over while messages are lost, doubled and overtaken, links are cut and
// members are killed.
TEST(consensus, hand_overs_uphold_the_guarantees_under_faults) {
  constexpr auto seeds = std::uint64_t{40};
  constexpr auto rounds = std::uint64_t{15};
  for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
    section("seed " + std::to_string(seed), [&] {
      auto network = simulated_network{};
      network.jitter = milliseconds(30);
      network.loss_rate = 0.03;
      network.duplication_rate = 0.1;
      auto random = random_source{seed};
      checked_cluster c{3 + seed % 3, seed, network};
      ASSERT_TRUE(commit_changes(c, 1, 1));
      for (auto round = std::uint64_t{0}; round < rounds; ++round) {
        ASSERT_TRUE(c.await_leader());
        auto& old = *c.leader();
        const auto base = old.state_machine.current().version.value;
        c.submit_change(old, make_change(100 + round, base));
        if (random.chance(0.3)) {
          auto other = c.processes().begin();
          std::advance(other, random.index(c.processes().size()));
          c.isolate(other->first);
        }
        c.run_until(milliseconds(50 + 400 * random.uniform()), [&] {
          c.apply_output(old, old.replica->resign());
          return old.replica->role() != member_role::leader;
        });
        if (random.chance(0.5)) c.run_for(milliseconds(200 * random.uniform()));
        c.heal();
        c.crash(old.id);
        c.run_for(milliseconds(300 * random.uniform()));
        c.start(old.id);
      }
      ASSERT_TRUE(commit_changes(c, 500, 2)) << c.describe();
    });
  }
}

// Guards against a leader that gives up its role although no other member can
// take over.
TEST(consensus, leader_without_a_successor_does_not_resign) {
  checked_cluster c{3, 32};
  ASSERT_TRUE(commit_changes(c, 1, 2));
  ASSERT_TRUE(c.await_agreement());
  auto& leader = *c.leader();
  for (auto& [id, p] : c.processes()) {
    if (id != leader.id) c.isolate(id);
  }
  c.run_for(milliseconds(200));
  c.apply_output(leader, leader.replica->resign());
  EXPECT_EQ(leader.replica->role(), member_role::leader);
}

// Guards against a leader that continues to lead after its removal.
TEST(consensus, removed_leader_steps_down) {
  checked_cluster c{4, 17};
  ASSERT_TRUE(commit_changes(c, 1, 2));
  auto old = c.leader()->id;
  auto removed = c.leader()->replica->remove_member(old);
  ASSERT_EQ(removed.status, proposal_status::pending);
  c.apply_output(*c.leader(), std::move(removed.output));
  c.run_for(milliseconds(300));
  EXPECT_NE(c.processes().at(old).replica->role(), member_role::leader);
  ASSERT_TRUE(commit_changes(c, 3, 1));
  EXPECT_EQ(find_member(c.leader()->replica->members(), old), nullptr);
}

// Guards against two processes with the same id that alternate as one member,
// and against an unreachable member after its VM got a new address.
TEST(consensus, admits_a_new_address_but_no_second_disk) {
  checked_cluster c{3, 16};
  ASSERT_TRUE(c.await_agreement());
  auto& leader = *c.leader();
  auto victim = other_than(leader.id);
  auto generation = c.at(victim).replica->generation();
  auto ask = [&](disk_generation g, const vm_address& address) {
    auto request = identity_request{};
    request.header = {{victim}, g, 0};
    request.address = address;
    c.apply_output(leader, leader.replica->receive(request, c.now()));
    c.run_for(milliseconds(300));
    return *find_member(leader.replica->members(), {victim});
  };
  section("a second disk is not admitted while the first one answers", [&] {
    auto last = leader.replica->last_index();
    EXPECT_EQ(ask({999}, {"other"}).generation, generation);
    EXPECT_EQ(leader.replica->last_index(), last);
    EXPECT_NE(leader.replica->address_of({victim}).value, "other");
  });
  section("a new address is recorded in the log", [&] {
    auto moved = ask(generation, {"moved"});
    EXPECT_EQ(moved.address.value, "moved");
    EXPECT_TRUE(moved.voter);
    EXPECT_EQ(leader.replica->address_of({victim}).value, "moved");
  });
}

// Guards against a second cluster formed by a member with an empty disk and one
// that starts late.
TEST(consensus, cluster_forms_only_with_all_initial_members) {
  checked_cluster c{3, 13};
  c.crash({3});
  c.run_for(seconds(3));
  section("two of three members do not form it",
          [&] { EXPECT_EQ(state_of(c, 1), member_state::forming); });
  c.start({3});
  ASSERT_TRUE(commit_changes(c, 1, 1));
  section("an empty disk and an isolated member form no cluster", [&] {
    auto leader = c.leader()->id;
    auto victim = other_than(leader);
    c.isolate(leader);
    c.crash({victim});
    c.at(victim).disk = std::make_unique<fake_files>();
    c.start({victim});
    c.run_for(seconds(5));
    EXPECT_EQ(state_of(c, victim), member_state::awaiting_admission);
    EXPECT_EQ(c.leader(), nullptr);
  });
}

// Guards against a second cluster formed by initial members that lost their
// disks one after the other.
TEST(consensus, disk_that_found_a_cluster_forms_no_other) {
  checked_cluster c{3, 19};
  ASSERT_TRUE(commit_changes(c, 1, 1));
  auto lose = [&](std::uint64_t id) {
    c.crash({id});
    c.at(id).disk = std::make_unique<fake_files>();
  };
  c.crash({3});
  lose(1);
  c.start({1});
  c.run_for(seconds(1));
  ASSERT_EQ(state_of(c, 1), member_state::awaiting_admission);
  c.crash({1});
  lose(2);
  lose(3);
  for (std::uint64_t id = 1; id <= 3; ++id) c.start({id});
  c.run_for(seconds(5));
  EXPECT_EQ(state_of(c, 1), member_state::awaiting_admission);
  EXPECT_EQ(c.leader(), nullptr);
}

// Guards against a new member that counts before it holds all committed
// entries, and against snapshot chunks that grow with the size of the state.
TEST(consensus, replaces_a_member_through_a_large_snapshot) {
  checked_cluster c{4, 14, {}, compacting_after(4)};
  ASSERT_TRUE(c.await_leader());
  auto big = record_change{{9, 1}, "group", 0, std::string(400'000, 'x')};
  auto put = c.leader()->replica->propose(encode_change(big));
  c.apply_output(*c.leader(), std::move(put.output));
  ASSERT_TRUE(commit_changes(c, 1, 8));
  auto replaced = member_id{other_than(c.leader()->id)};
  c.crash(replaced);
  c.start({9});
  auto added = c.leader()->replica->add_member({9}, {"9"}, replaced);
  ASSERT_EQ(added.status, proposal_status::pending);
  c.apply_output(*c.leader(), std::move(added.output));
  ASSERT_TRUE(c.run_until(seconds(10), [&] {
    const auto* m = find_member(c.leader()->replica->members(), {9});
    return m != nullptr && m->voter;
  }));
  EXPECT_EQ(c.at(9).state_machine.current().version.value, 8U);
  ASSERT_TRUE(c.await_agreement());
  EXPECT_EQ(find_member(c.leader()->replica->members(), replaced), nullptr);
  EXPECT_EQ(c.at(9).state_machine.snapshot(),
            c.leader()->state_machine.snapshot());
}

// Guards against a disk error that is reported as an accepted change.
TEST(consensus, full_disk_stops_a_member_until_its_restart) {
  checked_cluster c{3, 15};
  ASSERT_TRUE(commit_changes(c, 1, 2));
  auto& full = *c.leader();
  full.disk->fail_after(0, io_status::no_space);
  c.submit_change(full, make_change(3, 2));
  EXPECT_EQ(full.replica->state(), member_state::stopped);
  EXPECT_EQ(c.answers.count({7, 3}), 0U);
  ASSERT_TRUE(commit_changes(c, 4, 1));
  c.crash(full.id);
  c.start(full.id);
  ASSERT_TRUE(c.await_agreement());
}

// Guards against a deadlock after a restart of all members, also if one of them
// stays down.
TEST(consensus, all_members_restart_together) {
  for (std::uint64_t down_count : {0, 1}) {
    section("with " + std::to_string(down_count) + " members down", [&] {
      checked_cluster c{3, 18};
      ASSERT_TRUE(commit_changes(c, 1, 5));
      for (std::uint64_t id = 1; id <= 3; ++id) c.crash({id});
      for (std::uint64_t id = 1 + down_count; id <= 3; ++id) c.start({id});
      // A new leader applies earlier entries only once its own first entry is
      // committed.
      ASSERT_TRUE(c.run_until(seconds(4), [&] {
        return c.leader() &&
               c.leader()->state_machine.current().version.value == 5;
      }));
      ASSERT_TRUE(commit_changes(c, 6, 1));
      EXPECT_EQ(c.leader()->state_machine.current().version.value, 6U);
    });
  }
}

// Guards against a delay of one second before nodes get a configuration after
// all members lost power: nodes accept none without a leader.
TEST(consensus, elects_a_leader_quickly_after_a_restart_of_all_members) {
  for (const std::uint64_t size : {3, 4}) {
    for (const auto lost : {false, true}) {
      section(std::to_string(size) + (lost ? ", one disk lost" : ""), [&] {
        for (std::uint64_t seed = 100; seed < 120; ++seed) {
          checked_cluster c{size, seed};
          ASSERT_TRUE(commit_changes(c, 1, 3));
          for (std::uint64_t id = 1; id <= size; ++id) c.crash({id});
          if (lost) *c.at(1).disk = fake_files{};
          for (std::uint64_t id = 1; id <= size; ++id) c.start({id});
          const auto restarted = c.now();
          ASSERT_TRUE(
              c.run_until(seconds(4), [&] { return c.leader() != nullptr; }));
          // The disk check must not take longer than an election.
          const auto bound = consensus_settings{}.election_timeout_max;
          EXPECT_LT((c.now() - restarted).ms, bound.ms) << "seed " << seed;
        }
      });
    }
  }
}

namespace {

// A random schedule of changes, resends and faults.
class fault_schedule {
 public:
  // Three of ten schedules have higher fault rates; these found faults that the
  // others missed.
  explicit fault_schedule(std::uint64_t seed)
      : random_{seed},
        cluster_{size(seed), seed, {}, compacting_after(40)},
        harsh_{seed % 10 < 3} {}

  void run() {
    cluster_.run_until(seconds(10),
                       [&] { return cluster_.leader() != nullptr; });
    cluster_.network_settings().loss_rate =
        random_.chance(0.5) ? max_message_fault_rate_ * random_.uniform() : 0;
    cluster_.network_settings().duplication_rate =
        max_message_fault_rate_ * random_.uniform();
    cluster_.network_settings().jitter =
        milliseconds(random_.chance(0.3) ? 60 : 2);
    for (auto step = 0; step < step_count_; ++step) {
      cluster_.run_for(milliseconds(60 * random_.uniform()));
      if (random_.chance(0.8)) change();
      if (random_.chance(fault_rate_)) fault();
      if (!cluster_.violations.empty()) return;
    }
    finish();
  }

 private:
  static auto size(std::uint64_t seed) -> std::size_t {
    constexpr std::size_t sizes[] = {3, 4, 7};
    return sizes[seed % 3];
  }

  auto random_process() -> consensus_cluster::process& {
    auto p = cluster_.processes().begin();
    std::advance(p, random_.index(cluster_.processes().size()));
    return p->second;
  }

  void change() {
    auto* leader = random_.chance(0.8) ? cluster_.leader() : nullptr;
    auto& to = leader != nullptr ? *leader : random_process();
    if (!to.is_running) return;
    if (!submitted_.empty() && random_.chance(0.3)) {
      cluster_.submit_change(to, submitted_[random_.index(submitted_.size())]);
      return;
    }
    auto base = to.state_machine.current().version.value;
    auto x = make_change(submitted_.size() + 1,
                         base - (base > 0 && random_.chance(0.1)));
    if (random_.chance(0.1)) x.text = "[class]\nweight = 3\n";
    submitted_.push_back(x);
    cluster_.submit_change(to, x);
  }

  void fault() {
    auto& p = random_process();
    switch (random_.index(8)) {
      case 0:
        if (p.is_running) cluster_.crash(p.id);
        return;
      case 1:
        if (p.is_running)
          p.disk->fail_after(random_.index(12), io_status::failed);
        return;
      case 2:
        if (p.is_running)
          p.disk->fail_after(random_.index(12), io_status::no_space);
        return;
      case 3:
        for (auto& [id, x] : cluster_.processes())
          x.partition = random_.index(2);
        return;
      case 4:
        if (auto* leader = cluster_.leader()) cluster_.isolate(leader->id);
        return;
      case 5:
        replace();
        return;
      case 6:
        lose_disk(p);
        return;
      default:
        repair();
    }
  }

  void repair() {
    cluster_.heal();
    for (auto& [id, p] : cluster_.processes()) {
      if (p.is_running && p.replica->state() != member_state::stopped) continue;
      if (p.is_running) cluster_.crash(id);
      p.disk->repair();
      cluster_.start(id);
    }
  }

  // A disk is lost only while all members hold all committed entries: a
  // majority cannot recover from more lost disks.
  void lose_disk(consensus_cluster::process& p) {
    repair();
    for (auto& [id, x] : cluster_.processes()) x.disk->repair();
    if (!cluster_.await_agreement(seconds(5)) || !p.is_running) return;
    auto old = std::make_unique<fake_files>(p.disk->copy());
    auto* leader = cluster_.leader();
    auto base = leader->state_machine.current().version.value;
    submitted_.push_back(make_change(submitted_.size() + 1, base));
    cluster_.submit_change(*leader, submitted_.back());
    cluster_.run_for(milliseconds(200));
    if (p.is_running) cluster_.crash(p.id);
    p.disk =
        random_.chance(0.5) ? std::move(old) : std::make_unique<fake_files>();
    cluster_.start(p.id);
    cluster_.run_until(seconds(5), [&] {
      return p.is_running && p.replica->state() == member_state::voter;
    });
  }

  void replace() {
    auto* leader = cluster_.leader();
    if (leader == nullptr) return;
    auto id = member_id{next_id_};
    const auto& members = leader->replica->members().members;
    auto replaced = members[random_.index(members.size())].id;
    auto address = vm_address{std::to_string(id.value)};
    auto added = leader->replica->add_member(id, address, replaced);
    cluster_.apply_output(*leader, std::move(added.output));
    if (added.status != proposal_status::pending) return;
    ++next_id_;
    cluster_.start(id);
  }

  void finish() {
    cluster_.network_settings() = {};
    for (auto& [id, p] : cluster_.processes()) p.disk->repair();
    repair();
    ASSERT_TRUE(cluster_.await_agreement())
        << "no agreement after all faults were repaired\n"
        << cluster_.describe();
    auto* leader = cluster_.leader();
    for (const auto& [id, answer] : cluster_.answers) {
      const auto* kept = leader->state_machine.find_answer(id);
      ASSERT_NE(kept, nullptr) << "lost answer to request " << id.low;
      EXPECT_EQ(*kept, answer);
    }
    for (const auto& m : leader->replica->members().members) {
      auto& p = cluster_.processes().at(m.id);
      EXPECT_EQ(p.state_machine.snapshot(), leader->state_machine.snapshot());
    }
  }

  random_source random_;
  checked_cluster cluster_;
  bool harsh_;
  double max_message_fault_rate_ = harsh_ ? 0.3 : 0.1;
  double fault_rate_ = harsh_ ? 0.3 : 0.12;
  int step_count_ = harsh_ ? 200 : 100;
  std::vector<config_change> submitted_;
  std::uint64_t next_id_ = 20;
};

}  // namespace

// Guards against two texts of one version, lost or reverted changes and altered
// answers under any combination of faults.
TEST(consensus, upholds_guarantees_on_seeded_schedules) {
  const auto* only = std::getenv("FIGWIND_SEED");
  auto first = only != nullptr ? std::strtoull(only, nullptr, 10) : 1;
#ifdef __SANITIZE_ADDRESS__
  constexpr std::uint64_t seeds = 400;  // About ten times slower per seed.
#else
  constexpr std::uint64_t seeds = 4000;
#endif
  auto last = only != nullptr ? first : seeds;
  for (auto seed = first; seed <= last; ++seed) {
    fault_schedule{seed}.run();
    if (HasFailure()) {
      FAIL() << "repeat with: FIGWIND_SEED=" << seed
             << " decision-tests --gtest_filter=consensus.upholds_guarantees*";
    }
  }
}
