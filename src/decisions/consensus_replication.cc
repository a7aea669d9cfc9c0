// Replication: the log at the leader, and the replies of the followers.

#include <algorithm>
#include <functional>
#include <utility>

#include "figwind/consensus.h"

namespace figwind {
namespace {

// After a commit, this many heartbeats carry the progress of all members, since
// one may be lost. Without commits, such a series is sent once per period.
constexpr int progress_heartbeats = 3;
constexpr int progress_period_heartbeats = 20;

// Larger snapshots are rejected; kept answers are limited to 16 MiB.
constexpr std::uint64_t max_snapshot_bytes = 64U << 20U;

auto is_well_formed(const append_request& m) -> bool {
  auto index = m.previous_index;
  return std::all_of(m.entries.begin(), m.entries.end(),
                     [&index](const log_entry& e) {
                       ++index;
                       return e.index == index;
                     });
}

}  // namespace

void consensus::tick_leader() {
  if (!has_quorum()) {
    become_follower(state_.term, {}, true);
    return;
  }
  advance_membership_change();
  if (now_ < heartbeat_due_) return;
  heartbeat_due_ = now_ + settings_.heartbeat_interval;
  if (progress_countdown_ == 0)
    progress_countdown_ = progress_period_heartbeats;
  --progress_countdown_;
  for (const auto& m : members().members) {
    if (m.id != settings_.self) send_entries(m.id, true);
  }
}

auto consensus::has_quorum() const -> bool {
  auto in_contact = std::size_t{0};
  for (const auto& m : members().members) {
    if (!m.voter) continue;
    auto f = followers_.find(m.id);
    auto is_self = m.id == settings_.self;
    auto recent = f != followers_.end() &&
                  now_ - f->second.last_reply < settings_.election_timeout_max;
    if (is_self || recent) ++in_contact;
  }
  return in_contact >= majority(members());
}

auto consensus::append_as_leader(entry_kind kind, std::string bytes)
    -> log_index {
  auto index = last_index() + 1;
  append_entry({index, state_.term, kind, std::move(bytes)});
  for (const auto& m : members().members) {
    if (m.id != settings_.self) send_entries(m.id, false);
  }
  return index;
}

void consensus::send_entries(member_id to, bool heartbeat) {
  auto& f = followers_[to];
  if (f.sending_snapshot || f.next_index <= snapshot_index()) {
    if (!f.sending_snapshot) {
      start_snapshot_transfer(to);
    } else if (now_ - f.last_chunk >= settings_.heartbeat_interval * 2) {
      send_snapshot_chunk(to);
    }
    return;
  }
  if (f.next_index > last_index() && !heartbeat) return;
  auto request = append_request{
      header(), f.next_index - 1, term_at(f.next_index - 1), commit_index_, {},
      {}};
  auto bytes = std::size_t{0};
  while (f.next_index <= last_index() && bytes < settings_.max_append_bytes) {
    const auto& entry = entry_at(f.next_index);
    auto fits = bytes + entry.bytes.size() <= settings_.max_append_bytes;
    if (!fits && !request.entries.empty()) break;
    bytes += entry.bytes.size();
    request.entries.push_back(entry);
    ++f.next_index;
  }
  if (heartbeat &&
      progress_countdown_ >= progress_period_heartbeats - progress_heartbeats) {
    request.progress.push_back(
        {settings_.self, state_.generation, durable_index_});
    for (const auto& m : members().members) {
      auto other = followers_.find(m.id);
      if (other == followers_.end()) continue;
      request.progress.push_back(
          {m.id, m.generation, other->second.acknowledged});
    }
  }
  send(to, std::move(request));
}

void consensus::start_snapshot_transfer(member_id to) {
  auto& f = followers_[to];
  f.sending_snapshot = true;
  f.snapshot_offset = 0;
  send_snapshot_chunk(to);
}

void consensus::send_snapshot_chunk(member_id to) {
  auto& f = followers_[to];
  f.last_chunk = now_;
  auto total = encoded_snapshot_.size();
  auto chunk =
      snapshot_chunk{header(), snapshot_index(), f.snapshot_offset, total, {}};
  if (f.snapshot_offset < total) {
    chunk.bytes =
        encoded_snapshot_.substr(f.snapshot_offset, settings_.max_chunk_bytes);
  }
  send(to, std::move(chunk));
}

void consensus::advance_commit() {
  auto durable = std::vector<log_index>{};
  for (const auto& m : members().members) {
    if (!m.voter) continue;
    auto self = m.id == settings_.self;
    durable.push_back(self ? durable_index_ : followers_[m.id].acknowledged);
  }
  auto needed = majority(members());
  if (durable.size() < needed) return;
  std::sort(durable.begin(), durable.end(), std::greater<>{});
  auto index = std::min(durable[needed - 1], last_index());
  // Entries of earlier terms are committed only through an entry of this term.
  if (index <= commit_index_ || term_at(index) != state_.term) return;
  commit_index_ = index;
  progress_countdown_ = progress_period_heartbeats;
  apply_committed();
  const auto* self = find_member(members_at(commit_index_), settings_.self);
  if (self == nullptr || !self->voter) become_follower(state_.term, {}, false);
}

auto consensus::may_change_members() const -> bool {
  if (term_at(commit_index_) != state_.term) return false;
  return membership_entries_.empty() ||
         membership_entries_.back().index <= commit_index_;
}

auto consensus::propose_membership(membership next) -> log_index {
  std::erase_if(followers_, [&next](const auto& f) {
    return find_member(next, f.first) == nullptr;
  });
  // Before the entry is sent to them: a new member has been silent since now.
  for (const auto& m : next.members) {
    if (m.id == settings_.self || followers_.count(m.id) > 0) continue;
    followers_[m.id].next_index = last_index() + 1;
    followers_[m.id].last_reply = now_;
  }
  return append_as_leader(entry_kind::members, encode(next));
}

void consensus::advance_membership_change() {
  if (!may_change_members()) return;
  if (finish_replacement()) return;
  if (admit_new_disk()) return;
  promote_learner();
}

auto consensus::finish_replacement() -> bool {
  auto next = members();
  for (auto& m : next.members) {
    if (!m.voter || m.replaces.value == 0) continue;
    auto replaced = std::exchange(m.replaces, member_id{});
    std::erase_if(next.members,
                  [replaced](const member& x) { return x.id == replaced; });
    propose_membership(std::move(next));
    return true;
  }
  return false;
}

auto consensus::admit_new_disk() -> bool {
  for (const auto& [id, disk] : std::exchange(joining_disks_, {})) {
    auto next = members();
    auto m = std::find_if(next.members.begin(), next.members.end(),
                          [id = id](const member& x) { return x.id == id; });
    if (m == next.members.end() || !admit(*m, disk)) continue;
    if (next == members() || voter_count(next) == 0) continue;
    followers_.erase(id);
    propose_membership(std::move(next));
    return true;
  }
  return false;
}

auto consensus::admit(member& recorded, const reported_disk& disk) const
    -> bool {
  if (recorded.generation == disk.generation) {
    recorded.address = disk.address;
    return true;
  }
  // Two processes with the same id must not alternate: the older disk stays as
  // long as it replies.
  auto f = followers_.find(recorded.id);
  auto alive = f != followers_.end() && recorded.generation.value != 0 &&
               now_ - f->second.last_reply < settings_.election_timeout_max;
  recorded.generation = disk.generation;
  recorded.address = disk.address;
  recorded.voter = false;
  return !alive;
}

auto consensus::promote_learner() -> bool {
  auto next = members();
  for (auto& m : next.members) {
    const auto& f = followers_[m.id];
    auto recent = now_ - f.last_reply < settings_.election_timeout_min;
    if (m.voter || m.generation.value == 0 || !recent) continue;
    if (f.acknowledged < commit_index_ || f.acknowledged == 0) continue;
    m.voter = true;
    propose_membership(std::move(next));
    return true;
  }
  return false;
}

void consensus::follow_leader(const message_header& h) {
  if (role_ != member_role::follower || leader_ != h.from) {
    become_follower(h.term, h.from, false);
  }
  last_leader_contact_ = now_;
  reset_election_timer();
}

auto consensus::matches_log(const append_request& m) const -> bool {
  if (m.previous_index <= snapshot_index()) return true;
  return m.previous_index <= last_index() &&
         term_at(m.previous_index) == m.previous_term;
}

auto consensus::last_possible_match(const append_request& m) const
    -> log_index {
  if (m.previous_index > last_index()) return last_index();
  // Skips all entries of the conflicting term.
  auto index = m.previous_index;
  auto conflicting_term = term_at(index);
  while (index > commit_index_ && term_at(index) == conflicting_term) --index;
  return index;
}

void consensus::store_entries(const append_request& m) {
  for (const auto& entry : m.entries) {
    if (entry.index <= std::max(commit_index_, snapshot_index())) continue;
    if (entry.index <= last_index()) {
      if (term_at(entry.index) == entry.term) continue;
      truncate_from(entry.index);
    }
    append_entry(entry);
  }
}

void consensus::handle(const append_request& m) {
  if (!is_well_formed(m)) return;
  follow_leader(m.header);
  for (const auto& p : m.progress) {
    record_progress(p.id, p.generation, p.acknowledged);
  }
  auto reply = append_reply{header(), false, 0, last_index(), !snapshot_};
  if (!snapshot_) forbid_forming();
  if (!snapshot_ || !matches_log(m)) {
    if (snapshot_) reply.index = last_possible_match(m);
    send_after_persist(m.header.from, reply);
    return;
  }
  store_entries(m);
  auto matched = m.previous_index + m.entries.size();
  auto committed = std::min(m.commit_index, matched);
  if (committed > commit_index_) {
    commit_index_ = committed;
    apply_committed();
  }
  if (checking_disk_ && matched >= m.commit_index) confirm_disk();
  longest_log_index_ = 0;
  longest_log_term_ = 0;
  reply.success = true;
  reply.index = matched;
  reply.last_index = last_index();
  send_after_persist(m.header.from, reply);
}

void consensus::resend_from(member_id to, log_index index) {
  auto& f = followers_[to];
  auto resent_recently = f.last_retry_index == index &&
                         now_ - f.last_retry < settings_.heartbeat_interval;
  // After a lost request, all later requests are rejected too; resend only
  // once.
  if (index >= f.next_index || resent_recently) return;
  f.next_index = std::max<log_index>(index, 1);
  f.last_retry_index = index;
  f.last_retry = now_;
  send_entries(to, false);
}

auto consensus::check_sender_disk(const message_header& h) -> bool {
  if (is_from_agreed_disk(h)) return true;
  // The member replies from a disk that is not agreed on yet.
  const auto* recorded = find_member(members(), h.from);
  if (recorded == nullptr || h.generation.value == 0) return false;
  joining_disks_[h.from] = {h.generation, recorded->address};
  return false;
}

void consensus::handle(const append_reply& m) {
  if (role_ != member_role::leader || !check_sender_disk(m.header)) return;
  auto id = m.header.from;
  // No member can hold more entries of this term than its leader.
  if (m.success && m.index > last_index()) return;
  auto& f = followers_[id];
  f.last_reply = now_;
  if (m.last_index < f.acknowledged) {
    auto acknowledged = std::min(f.acknowledged, commit_index_);
    send(id, identity_reply{header(), m.header.generation, m.header.generation,
                            acknowledged, last_index(), last_term()});
  }
  if (m.needs_snapshot) {
    if (!f.sending_snapshot) start_snapshot_transfer(id);
    return;
  }
  if (!m.success) {
    resend_from(id, m.index + 1);
    return;
  }
  f.acknowledged = std::max(f.acknowledged, m.index);
  f.next_index = std::max(f.next_index, f.acknowledged + 1);
  advance_commit();
  if (role_ == member_role::leader) send_entries(id, false);
}

void consensus::handle(const snapshot_chunk& m) {
  follow_leader(m.header);
  auto reply = snapshot_reply{header(), m.index, m.total_bytes};
  if (snapshot_ && m.index <= commit_index_) {
    send_after_persist(m.header.from, reply);
    return;
  }
  auto is_new_transfer = !incoming_snapshot_ ||
                         incoming_snapshot_->index != m.index ||
                         incoming_snapshot_->from != m.header.from ||
                         incoming_snapshot_->term != m.header.term;
  if (is_new_transfer) {
    incoming_snapshot_ =
        incoming_snapshot{m.index, m.header.from, m.header.term, {}};
  }
  auto& bytes = incoming_snapshot_->bytes;
  if (m.offset == bytes.size() && m.total_bytes <= max_snapshot_bytes) {
    bytes += m.bytes;
  }
  reply.offset = bytes.size();
  if (bytes.size() == m.total_bytes) {
    auto decoded = decode_snapshot(bytes);
    incoming_snapshot_.reset();
    if (ok(decoded)) {
      install_snapshot(value(decoded));
    } else {
      reply.offset = 0;
    }
  }
  send_after_persist(m.header.from, reply);
}

void consensus::install_snapshot(const log_snapshot& snapshot) {
  auto log_has_entry = snapshot_ && snapshot.index <= last_index() &&
                       term_at(snapshot.index) == snapshot.term;
  if (log_has_entry) {
    commit_index_ = std::max(commit_index_, snapshot.index);
    apply_committed();
    return;
  }
  auto is_new = !snapshot_;
  reset_to_snapshot(snapshot);
  output_.restore = snapshot;
  if (is_new) confirm_disk();
}

void consensus::handle(const snapshot_reply& m) {
  if (role_ != member_role::leader || !check_sender_disk(m.header)) return;
  auto id = m.header.from;
  auto& f = followers_[id];
  f.last_reply = now_;
  if (!f.sending_snapshot) return;
  if (m.index != snapshot_index()) {
    // A newer snapshot replaced the one in transfer.
    if (f.snapshot_offset != 0) start_snapshot_transfer(id);
    return;
  }
  if (m.offset == encoded_snapshot_.size()) {
    f.sending_snapshot = false;
    f.acknowledged = std::max(f.acknowledged, m.index);
    f.next_index = f.acknowledged + 1;
    advance_commit();
    if (role_ == member_role::leader) send_entries(id, false);
  } else if (m.offset > f.snapshot_offset) {
    f.snapshot_offset = m.offset;
    send_snapshot_chunk(id);
  } else {
    f.snapshot_offset = m.offset;
  }
}

}  // namespace figwind
