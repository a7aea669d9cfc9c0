// The leader's side of the log, and the followers' answers.

#include <algorithm>
#include <functional>
#include <utility>

#include "figwind/consensus.h"

namespace figwind {
namespace {

// After an acceptance this many heartbeats tell who acknowledged what, since
// one may be lost; while nothing changes they tell it once in the pause.
constexpr int progress_repeats = 3;
constexpr int progress_pause = 20;

// A snapshot beyond this is refused: answers are bounded at 16 MiB.
constexpr std::uint64_t most_snapshot_bytes = 64U << 20U;

auto is_well_formed(const append_request& m) -> bool {
  auto index = m.previous_index;
  return std::all_of(m.entries.begin(), m.entries.end(),
                     [&index](const log_entry& e) {
                       ++index;
                       return e.index == index;
                     });
}

}  // namespace

void consensus::lead() {
  if (!has_quorum()) {
    become_follower(state_.term, {}, true);
    return;
  }
  advance_members();
  if (now_ < heartbeat_due_) return;
  heartbeat_due_ = now_ + settings_.heartbeat;
  if (progress_rounds_ == 0) progress_rounds_ = progress_pause;
  --progress_rounds_;
  for (const auto& m : members().members) {
    if (m.id != settings_.self) send_entries(m.id, true);
  }
}

auto consensus::has_quorum() const -> bool {
  auto heard = std::size_t{0};
  for (const auto& m : members().members) {
    if (!m.voter) continue;
    auto f = followers_.find(m.id);
    auto self = m.id == settings_.self;
    auto recent = f != followers_.end() &&
                  now_ - f->second.last_reply < settings_.election_max;
    if (self || recent) ++heard;
  }
  return heard >= majority(members());
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
  if (f.sending_snapshot || f.next <= snapshot_index()) {
    if (!f.sending_snapshot) {
      start_snapshot(to);
    } else if (now_ - f.last_chunk >= settings_.heartbeat * 2) {
      send_chunk(to);
    }
    return;
  }
  if (f.next > last_index() && !heartbeat) return;
  auto request = append_request{header(), f.next - 1, term_at(f.next - 1),
                                commit_,  {},         {}};
  auto bytes = std::size_t{0};
  while (f.next <= last_index() && bytes < settings_.append_bytes) {
    const auto& entry = entry_at(f.next);
    auto fits = bytes + entry.bytes.size() <= settings_.append_bytes;
    if (!fits && !request.entries.empty()) break;
    bytes += entry.bytes.size();
    request.entries.push_back(entry);
    ++f.next;
  }
  if (heartbeat && progress_rounds_ >= progress_pause - progress_repeats) {
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

void consensus::start_snapshot(member_id to) {
  auto& f = followers_[to];
  f.sending_snapshot = true;
  f.offset = 0;
  send_chunk(to);
}

void consensus::send_chunk(member_id to) {
  auto& f = followers_[to];
  f.last_chunk = now_;
  auto total = encoded_snapshot_.size();
  auto chunk = snapshot_chunk{header(), snapshot_index(), f.offset, total, {}};
  if (f.offset < total) {
    chunk.bytes = encoded_snapshot_.substr(f.offset, settings_.chunk_bytes);
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
  // Entries of earlier terms are accepted only through one of this term.
  if (index <= commit_ || term_at(index) != state_.term) return;
  commit_ = index;
  progress_rounds_ = progress_pause;
  apply_committed();
  const auto* self = find_member(members_at(commit_), settings_.self);
  if (self == nullptr || !self->voter) become_follower(state_.term, {}, false);
}

auto consensus::members_settled() const -> bool {
  if (term_at(commit_) != state_.term) return false;
  return member_entries_.empty() || member_entries_.back().index <= commit_;
}

auto consensus::propose_members(membership next) -> log_index {
  auto index = append_as_leader(entry_kind::members, encode(next));
  std::erase_if(followers_, [&next](const auto& f) {
    return find_member(next, f.first) == nullptr;
  });
  for (const auto& m : next.members) {
    if (m.id == settings_.self || followers_.count(m.id) > 0) continue;
    followers_[m.id].next = last_index() + 1;
    followers_[m.id].last_reply = now_;
  }
  return index;
}

void consensus::advance_members() {
  if (!members_settled()) return;
  if (finish_replacement()) return;
  if (admit_new_disk()) return;
  promote_learner();
}

auto consensus::finish_replacement() -> bool {
  auto next = members();
  for (auto& m : next.members) {
    if (!m.voter || m.replaces.value == 0) continue;
    auto gone = std::exchange(m.replaces, member_id{});
    std::erase_if(next.members,
                  [gone](const member& x) { return x.id == gone; });
    propose_members(std::move(next));
    return true;
  }
  return false;
}

auto consensus::admit_new_disk() -> bool {
  for (const auto& [id, disk] : std::exchange(joining_, {})) {
    auto next = members();
    auto m = std::find_if(next.members.begin(), next.members.end(),
                          [id = id](const member& x) { return x.id == id; });
    if (m == next.members.end() || !admit(*m, disk)) continue;
    if (next == members() || voter_count(next) == 0) continue;
    followers_.erase(id);
    propose_members(std::move(next));
    return true;
  }
  return false;
}

auto consensus::admit(member& known, const joining_disk& disk) const -> bool {
  if (known.generation == disk.generation) {
    known.address = disk.address;
    return true;
  }
  // Two processes with one id must not take turns: the older disk stays while
  // it answers.
  auto f = followers_.find(known.id);
  auto alive = f != followers_.end() && known.generation.value != 0 &&
               now_ - f->second.last_reply < settings_.election_max;
  known.generation = disk.generation;
  known.address = disk.address;
  known.voter = false;
  return !alive;
}

auto consensus::promote_learner() -> bool {
  auto next = members();
  for (auto& m : next.members) {
    const auto& f = followers_[m.id];
    auto recent = now_ - f.last_reply < settings_.election_min;
    if (m.voter || m.generation.value == 0 || !recent) continue;
    if (f.acknowledged < commit_ || f.acknowledged == 0) continue;
    m.voter = true;
    propose_members(std::move(next));
    return true;
  }
  return false;
}

void consensus::follow(const message_header& h) {
  if (role_ != member_role::follower || leader_ != h.from) {
    become_follower(h.term, h.from, false);
  }
  last_contact_ = now_;
  restart_election_wait();
}

auto consensus::matches(const append_request& m) const -> bool {
  if (m.previous_index <= snapshot_index()) return true;
  return m.previous_index <= last_index() &&
         term_at(m.previous_index) == m.previous_term;
}

auto consensus::last_possible_match(const append_request& m) const
    -> log_index {
  if (m.previous_index > last_index()) return last_index();
  // Skips the whole term that disagrees.
  auto index = m.previous_index;
  auto wrong = term_at(index);
  while (index > commit_ && term_at(index) == wrong) --index;
  return index;
}

void consensus::store_entries(const append_request& m) {
  for (const auto& entry : m.entries) {
    if (entry.index <= std::max(commit_, snapshot_index())) continue;
    if (entry.index <= last_index()) {
      if (term_at(entry.index) == entry.term) continue;
      truncate_from(entry.index);
    }
    append_entry(entry);
  }
}

void consensus::handle(const append_request& m) {
  if (!is_well_formed(m)) return;
  follow(m.header);
  for (const auto& p : m.progress) {
    note_progress(p.id, p.generation, p.acknowledged);
  }
  auto reply = append_reply{header(), false, 0, last_index(), !snapshot_};
  if (!snapshot_) join_only();
  if (!snapshot_ || !matches(m)) {
    if (snapshot_) reply.index = last_possible_match(m);
    send_durable(m.header.from, reply);
    return;
  }
  store_entries(m);
  auto matched = m.previous_index + m.entries.size();
  auto accepted = std::min(m.commit, matched);
  if (accepted > commit_) {
    commit_ = accepted;
    apply_committed();
  }
  if (checking_ && matched >= m.commit) confirm_disk();
  told_index_ = 0;
  told_term_ = 0;
  reply.accepted = true;
  reply.index = matched;
  reply.last_index = last_index();
  send_durable(m.header.from, reply);
}

void consensus::resend_from(member_id to, log_index index) {
  auto& f = followers_[to];
  auto repeated =
      f.retried_from == index && now_ - f.last_retry < settings_.heartbeat;
  // One lost request refuses all that were sent after it.
  if (index >= f.next || repeated) return;
  f.next = std::max<log_index>(index, 1);
  f.retried_from = index;
  f.last_retry = now_;
  send_entries(to, false);
}

auto consensus::counts(const message_header& h) -> bool {
  if (is_current(h)) return true;
  // The member answers with a disk that is not agreed on yet.
  const auto* known = find_member(members(), h.from);
  if (known == nullptr || h.generation.value == 0) return false;
  joining_[h.from] = {h.generation, known->address};
  return false;
}

void consensus::handle(const append_reply& m) {
  if (role_ != member_role::leader || !counts(m.header)) return;
  auto id = m.header.from;
  // No member can hold more of this term than its leader.
  if (m.accepted && m.index > last_index()) return;
  auto& f = followers_[id];
  f.last_reply = now_;
  if (m.last_index < f.acknowledged) {
    auto known = std::min(f.acknowledged, commit_);
    send(id, identity_reply{header(), m.header.generation, m.header.generation,
                            known, last_index(), last_term()});
  }
  if (m.needs_snapshot) {
    if (!f.sending_snapshot) start_snapshot(id);
    return;
  }
  if (!m.accepted) {
    resend_from(id, m.index + 1);
    return;
  }
  f.acknowledged = std::max(f.acknowledged, m.index);
  f.next = std::max(f.next, f.acknowledged + 1);
  advance_commit();
  if (role_ == member_role::leader) send_entries(id, false);
}

void consensus::handle(const snapshot_chunk& m) {
  follow(m.header);
  auto reply = snapshot_reply{header(), m.index, m.total};
  if (snapshot_ && m.index <= commit_) {
    send_durable(m.header.from, reply);
    return;
  }
  auto other = !incoming_ || incoming_->index != m.index ||
               incoming_->from != m.header.from ||
               incoming_->term != m.header.term;
  if (other) {
    incoming_ = incoming_snapshot{m.index, m.header.from, m.header.term, {}};
  }
  auto& bytes = incoming_->bytes;
  if (m.offset == bytes.size() && m.total <= most_snapshot_bytes) {
    bytes += m.bytes;
  }
  reply.offset = bytes.size();
  if (bytes.size() == m.total) {
    auto decoded = decode_snapshot(bytes);
    incoming_.reset();
    if (ok(decoded)) {
      install(value(decoded));
    } else {
      reply.offset = 0;
    }
  }
  send_durable(m.header.from, reply);
}

void consensus::install(const log_snapshot& snapshot) {
  auto holds = snapshot_ && snapshot.index <= last_index() &&
               term_at(snapshot.index) == snapshot.term;
  if (holds) {
    commit_ = std::max(commit_, snapshot.index);
    apply_committed();
    return;
  }
  auto is_new = !snapshot_;
  adopt_snapshot(snapshot);
  output_.restore = snapshot;
  if (is_new) confirm_disk();
}

void consensus::handle(const snapshot_reply& m) {
  if (role_ != member_role::leader || !counts(m.header)) return;
  auto id = m.header.from;
  auto& f = followers_[id];
  f.last_reply = now_;
  if (!f.sending_snapshot) return;
  if (m.index != snapshot_index()) {
    // A newer snapshot took its place during the transfer.
    if (f.offset != 0) start_snapshot(id);
    return;
  }
  if (m.offset == encoded_snapshot_.size()) {
    f.sending_snapshot = false;
    f.acknowledged = std::max(f.acknowledged, m.index);
    f.next = f.acknowledged + 1;
    advance_commit();
    if (role_ == member_role::leader) send_entries(id, false);
  } else if (m.offset > f.offset) {
    f.offset = m.offset;
    send_chunk(id);
  } else {
    f.offset = m.offset;
  }
}

}  // namespace figwind
