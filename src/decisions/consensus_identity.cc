// Decides which disks may vote: forms a cluster, checks the disk after a
// restart and admits new disks.

#include <algorithm>
#include <utility>

#include "figwind/consensus.h"

namespace figwind {
namespace {

// Limits the memory for messages with arbitrary member ids.
constexpr std::size_t max_reported_disks = 64;

}  // namespace

void consensus::assign_new_generation() {
  do {
    state_.generation.value = random_.bits();
  } while (state_.generation.value == 0);
  state_.initial_members = {};
  state_changed_ = true;
}

auto consensus::own_identity_request() const -> identity_request {
  return {header(),
          settings_.address,
          !snapshot_ && !state_.joins_only,
          state_.initial_members,
          last_index(),
          false};
}

void consensus::send_identity_requests() {
  agree_initial_members();
  if (snapshot_ && is_active_voter()) return;
  auto request = own_identity_request();
  auto contacted = std::set<member_id>{settings_.self};
  auto send_once = [&](const member& m) {
    if (contacted.insert(m.id).second) send_after_persist(m.id, request);
  };
  for (const auto& m : members().members) send_once(m);
  for (const auto& m : settings_.initial_members) send_once(m);
}

void consensus::agree_initial_members() {
  if (snapshot_ || state_.joins_only) return;
  auto initial = membership{};
  auto self_listed = false;
  for (auto m : settings_.initial_members) {
    auto is_self = m.id == settings_.self;
    auto other = new_member_requests_.find(m.id);
    if (!is_self && other == new_member_requests_.end()) return;
    self_listed |= is_self;
    m.generation =
        is_self ? state_.generation : other->second.header.generation;
    m.voter = true;
    m.replaces = {};
    initial.members.push_back(std::move(m));
  }
  if (!self_listed) return;
  auto& agreed = state_.initial_members;
  if (agreed.members.empty()) {
    agreed = initial;
    state_changed_ = true;
  }
  // All members must name the same disks, and each disk agrees only once. So a
  // lost disk cannot lead to a second cluster.
  for (const auto& m : agreed.members) {
    if (m.id == settings_.self) continue;
    if (new_member_requests_.at(m.id).initial_members != agreed) return;
  }
  form_cluster(agreed);
}

void consensus::form_cluster(const membership& initial) {
  auto snapshot = log_snapshot{0, 0, initial, {}};
  state_.initial_members = {};
  state_changed_ = true;
  reset_to_snapshot(std::move(snapshot));
  new_member_requests_.clear();
  reset_election_timer();
}

void consensus::forbid_forming() {
  if (state_.joins_only) return;
  state_.joins_only = true;
  state_changed_ = true;
}

void consensus::confirm_disk() {
  checking_disk_ = false;
  max_prior_vote_term_ = std::max(max_prior_vote_term_, state_.term);
  confirmed_by_.clear();
  lost_disks_.clear();
  // After a restart of all members no leader is known. The pre-vote protects a
  // leader that this member has not had contact with yet.
  if (leader_.value == 0) {
    set_election_timer(settings_.restart_election_timeout_min,
                       settings_.restart_election_timeout_max);
  }
}

void consensus::finish_disk_check_if_complete() {
  auto answers = confirmed_by_.size() + 1;
  // A voter with a lost disk cannot confirm anything.
  auto all_answered = answers + lost_disks_.size() >= voter_count(members());
  auto timed_out = now_ - disk_check_started_ >= settings_.disk_check_timeout;
  // An election needs a majority anyway. A short wait for the other members
  // detects a rolled-back disk that only some of them can recognize.
  if ((all_answered || timed_out) && answers >= majority(members()))
    confirm_disk();
}

void consensus::record_progress(member_id id, disk_generation g,
                                log_index index) {
  auto& progress = disk_progress_[id];
  if (progress.generation != g) progress = {g, 0};
  progress.acknowledged = std::max(progress.acknowledged, index);
}

auto consensus::acknowledged_by(member_id id, disk_generation g) const
    -> log_index {
  auto index = log_index{0};
  auto progress = disk_progress_.find(id);
  if (progress != disk_progress_.end() && progress->second.generation == g) {
    index = progress->second.acknowledged;
  }
  const auto* m = find_member(members(), id);
  auto follower = followers_.find(id);
  auto same_disk = m != nullptr && m->generation == g;
  if (same_disk && follower != followers_.end()) {
    index = std::max(index, follower->second.acknowledged);
  }
  // A later leader may still remove entries that are not committed.
  return std::min(index, commit_index_);
}

void consensus::request_admission(const identity_request& m) {
  if (role_ == member_role::leader) {
    joining_disks_[m.header.from] = {m.header.generation, m.address};
  } else if (leader_.value != 0 && !m.forwarded) {
    // The settings of the new disk may not list the present leader.
    auto copy = m;
    copy.forwarded = true;
    send(leader_, std::move(copy));
  }
}

void consensus::handle(const identity_request& m) {
  if (reported_disks_.size() > max_reported_disks) reported_disks_.clear();
  reported_disks_[m.header.from] = {m.header.generation, m.address};
  if (!snapshot_) {
    auto initial = membership{settings_.initial_members};
    if (m.is_new && find_member(initial, m.header.from) != nullptr) {
      new_member_requests_[m.header.from] = m;
      agree_initial_members();
    }
    // A member that has lost its disk knows only the members in its settings.
    // It tells the others at their first request, as they wait for it in vain.
    const auto has_log = m.last_index > 0;
    if (state_.joins_only && has_log) {
      next_batch_messages_.push_back(
          {m.header.from, m.address, own_identity_request()});
    }
    return;
  }
  const auto* recorded = find_member(members(), m.header.from);
  auto agreed = recorded != nullptr ? recorded->generation : disk_generation{};
  auto moved = recorded != nullptr && recorded->address != m.address;
  auto other_disk = recorded != nullptr && agreed != m.header.generation;
  if (moved || other_disk) request_admission(m);
  if (checking_disk_ && other_disk && recorded->voter) {
    lost_disks_.insert(m.header.from);
  }
  auto acknowledged = acknowledged_by(m.header.from, m.header.generation);
  auto reply = identity_reply{header(),     m.header.generation, agreed,
                              acknowledged, last_index(),        last_term()};
  next_batch_messages_.push_back({m.header.from, m.address, reply});
}

void consensus::handle(const identity_reply& m) {
  if (m.asked_generation != state_.generation) return;
  auto is_agreed = m.agreed_generation == state_.generation;
  if (is_agreed && m.acknowledged > last_index()) {
    // The disk was rolled back: entries that it acknowledged are missing.
    assign_new_generation();
    checking_disk_ = snapshot_.has_value();
    if (!snapshot_) forbid_forming();
    confirmed_by_.clear();
    lost_disks_.clear();
    become_follower(state_.term, leader_, role_ == member_role::leader);
    return;
  }
  if (!snapshot_) {
    if (is_agreed && !state_.initial_members.members.empty()) {
      form_cluster(membership{state_.initial_members});
    } else {
      forbid_forming();
    }
    return;
  }
  if (!checking_disk_ || !is_agreed || !is_from_agreed_disk(m.header)) return;
  max_prior_vote_term_ = std::max(max_prior_vote_term_, m.header.term);
  if (std::pair{m.last_term, m.last_index} >
      std::pair{longest_log_term_, longest_log_index_}) {
    longest_log_term_ = m.last_term;
    longest_log_index_ = m.last_index;
  }
  const auto* sender = find_member(members(), m.header.from);
  if (sender->voter) {
    confirmed_by_.insert(m.header.from);
    lost_disks_.erase(m.header.from);
  }
  finish_disk_check_if_complete();
}

}  // namespace figwind
