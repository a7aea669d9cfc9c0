#include "figwind/consensus.h"

#include <algorithm>
#include <utility>

namespace figwind {

auto to_string(member_role x) -> std::string {
  switch (x) {
    case member_role::follower:
      return "follower";
    case member_role::pre_candidate:
      return "trial candidate";
    case member_role::candidate:
      return "candidate";
    case member_role::leader:
      break;
  }
  return "leader";
}

auto to_string(member_state x) -> std::string {
  switch (x) {
    case member_state::forming:
      return "waits for all first members";
    case member_state::checking_disk:
      return "asks the other members about its disk";
    case member_state::awaiting_admission:
      return "waits to be admitted with a new disk";
    case member_state::learner:
      return "learner";
    case member_state::voter:
      return "voter";
    case member_state::stopped:
      break;
  }
  return "stopped by its disk";
}

consensus::consensus(consensus_settings settings, durable_state from_disk,
                     random_source random, time_point now)
    : settings_{std::move(settings)},
      random_{random},
      now_{now},
      state_{std::move(from_disk.state)},
      snapshot_{std::move(from_disk.snapshot)},
      last_leader_contact_{now - settings_.election_timeout_max},
      heartbeat_due_{now},
      identity_due_{now} {
  std::sort(settings_.initial_members.begin(), settings_.initial_members.end(),
            [](const member& a, const member& b) { return a.id < b.id; });
  if (snapshot_) {
    encoded_snapshot_ = encode(*snapshot_);
    commit_index_ = snapshot_->index;
    applied_index_ = snapshot_->index;
  }
  for (auto& entry : from_disk.entries) append_entry(std::move(entry));
  first_unpersisted_.reset();
  durable_index_ = last_index();
  if (state_.generation.value == 0) assign_new_generation();
  max_prior_vote_term_ = state_.term;
  disk_check_started_ = now;
  checking_disk_ = snapshot_.has_value() && majority(members()) > 1;
  reset_election_timer();
}

auto consensus::tick(time_point now) -> consensus_output {
  now_ = now;
  if (stopped_) return take_output();
  if (now_ >= identity_due_ && (checking_disk_ || !is_active_voter())) {
    identity_due_ =
        now_ + settings_.heartbeat_interval * (checking_disk_ ? 1 : 4);
    send_identity_requests();
  }
  if (checking_disk_ && snapshot_) finish_disk_check_if_complete();
  if (role_ == member_role::leader) {
    tick_leader();
  } else if (now_ >= election_due_) {
    reset_election_timer();
    if (may_campaign()) start_pre_vote();
  }
  return take_output();
}

auto consensus::receive(const consensus_message& message, time_point now)
    -> consensus_output {
  now_ = now;
  const auto& h = header_of(message);
  const auto is_ignored =
      h.from == settings_.self || is_from_resigned_leader(message);
  if (!stopped_ && !is_ignored) dispatch(message);
  return take_output();
}

void consensus::dispatch(const consensus_message& message) {
  const auto& h = header_of(message);
  auto identity = std::holds_alternative<identity_request>(message) ||
                  std::holds_alternative<identity_reply>(message);
  const auto* vote = std::get_if<vote_request>(&message);
  if (vote != nullptr) note_resignation(*vote);
  // As long as the leader is alive, requests of a member without contact to it
  // must not raise the term.
  auto keeps_term = vote != nullptr && (vote->pre_vote || has_live_leader());
  // A pre-vote reply carries the term of its sender, which may be older.
  const auto* reply = std::get_if<vote_reply>(&message);
  auto any_term = reply != nullptr && reply->pre_vote;
  if (!identity && !keeps_term) {
    if (h.term > state_.term) become_follower(h.term, {}, false);
    if (h.term < state_.term && !any_term) {
      reject_stale_term(message);
      return;
    }
  }
  std::visit([this](const auto& m) { handle(m); }, message);
}

void consensus::reject_stale_term(const consensus_message& message) {
  if (!std::holds_alternative<append_request>(message) &&
      !std::holds_alternative<snapshot_chunk>(message)) {
    return;
  }
  auto reply = append_reply{header(), false, 0, last_index(), false};
  send_after_persist(header_of(message).from, reply);
}

auto consensus::on_persisted(std::uint64_t batch) -> consensus_output {
  if (stopped_) return take_output();
  last_persisted_batch_ = std::max(last_persisted_batch_, batch);
  while (!issued_batches_.empty() &&
         issued_batches_.front().batch <= last_persisted_batch_) {
    durable_index_ = issued_batches_.front().last_index;
    durable_self_vote_term_ = issued_batches_.front().self_vote_term;
    issued_batches_.pop_front();
  }
  release_deferred();
  if (role_ == member_role::candidate) count_votes();
  if (role_ == member_role::leader) advance_commit();
  return take_output();
}

auto consensus::on_storage_failed() -> consensus_output {
  stopped_ = true;
  become_follower(state_.term, {}, role_ == member_role::leader);
  deferred_messages_.clear();
  next_batch_messages_.clear();
  return take_output();
}

auto consensus::propose(std::string bytes) -> proposal {
  if (bytes.size() > settings_.max_proposal_bytes) {
    return {proposal_status::too_large, 0, {}};
  }
  if (role_ != member_role::leader) {
    return {proposal_status::not_leader, 0, {}};
  }
  auto split = std::size_t{0};
  while (bytes.size() - split > settings_.max_entry_bytes) {
    append_entry({last_index() + 1, state_.term, entry_kind::command_part,
                  bytes.substr(split, settings_.max_entry_bytes)});
    split += settings_.max_entry_bytes;
  }
  bytes.erase(0, split);
  auto index = append_as_leader(entry_kind::command, std::move(bytes));
  pending_proposals_.insert(index);
  return {proposal_status::pending, index, take_output()};
}

auto consensus::add_member(member_id id, const vm_address& address,
                           member_id replaces) -> proposal {
  if (role_ != member_role::leader) {
    return {proposal_status::not_leader, 0, {}};
  }
  if (!may_change_members()) return {proposal_status::busy, 0, {}};
  auto is_member = find_member(members(), id) != nullptr;
  auto replaced_missing =
      replaces.value != 0 && find_member(members(), replaces) == nullptr;
  if (id.value == 0 || is_member || replaced_missing) {
    return {proposal_status::invalid_member, 0, {}};
  }
  auto next = members();
  next.members.push_back({id, address, {}, false, replaces});
  auto index = propose_membership(std::move(next));
  pending_proposals_.insert(index);
  return {proposal_status::pending, index, take_output()};
}

auto consensus::remove_member(member_id id) -> proposal {
  if (role_ != member_role::leader) {
    return {proposal_status::not_leader, 0, {}};
  }
  if (!may_change_members()) return {proposal_status::busy, 0, {}};
  auto next = members();
  std::erase_if(next.members, [id](const member& m) { return m.id == id; });
  if (next == members() || voter_count(next) == 0) {
    return {proposal_status::invalid_member, 0, {}};
  }
  auto index = propose_membership(std::move(next));
  pending_proposals_.insert(index);
  return {proposal_status::pending, index, take_output()};
}

auto consensus::compact(std::string state) -> consensus_output {
  if (stopped_ || !snapshot_ || applied_index_ <= snapshot_->index)
    return take_output();
  auto next = log_snapshot{applied_index_, term_at(applied_index_),
                           members_at(applied_index_), std::move(state)};
  auto covered = static_cast<std::ptrdiff_t>(applied_index_ - snapshot_->index);
  log_.erase(log_.begin(), log_.begin() + covered);
  log_bytes_ = 0;
  for (const auto& e : log_) log_bytes_ += e.bytes.size();
  std::erase_if(membership_entries_, [&next](const membership_entry& e) {
    return e.index <= next.index;
  });
  snapshot_ = std::move(next);
  encoded_snapshot_ = encode(*snapshot_);
  snapshot_changed_ = true;
  return take_output();
}

auto consensus::state() const -> member_state {
  if (stopped_) return member_state::stopped;
  if (!snapshot_) {
    return state_.joins_only ? member_state::awaiting_admission
                             : member_state::forming;
  }
  const auto* self = find_member(members(), settings_.self);
  if (self == nullptr || self->generation != state_.generation) {
    return member_state::awaiting_admission;
  }
  if (checking_disk_) return member_state::checking_disk;
  return self->voter ? member_state::voter : member_state::learner;
}

auto consensus::is_active_voter() const -> bool {
  return state() == member_state::voter;
}

auto consensus::has_live_leader() const -> bool {
  if (role_ == member_role::leader) return true;
  return leader_.value != 0 &&
         now_ - last_leader_contact_ < settings_.election_timeout_min;
}

auto consensus::compaction_due() const -> bool {
  if (!snapshot_ || stopped_ || applied_index_ <= snapshot_->index)
    return false;
  return log_.size() >= settings_.compaction_entries ||
         log_bytes_ >= settings_.compaction_bytes;
}

auto consensus::last_index() const -> log_index {
  return snapshot_index() + log_.size();
}

auto consensus::snapshot_index() const -> log_index {
  return snapshot_ ? snapshot_->index : 0;
}

auto consensus::members() const -> const membership& {
  return members_at(last_index());
}

auto consensus::members_at(log_index index) const -> const membership& {
  static const auto none = membership{};
  for (auto e = membership_entries_.rbegin(); e != membership_entries_.rend();
       ++e) {
    if (e->index <= index) return e->members;
  }
  return snapshot_ ? snapshot_->members : none;
}

auto consensus::last_reply(member_id id) const -> time_point {
  auto found = followers_.find(id);
  return found == followers_.end() ? time_point{-1e18}
                                   : found->second.last_reply;
}

auto consensus::address_of(member_id id) const -> vm_address {
  const auto* recorded = find_member(members(), id);
  auto reported = reported_disks_.find(id);
  // A member with a new address reports it before the log records it. Another
  // disk with the same id must not redirect its messages.
  auto same_disk = recorded == nullptr ||
                   (reported != reported_disks_.end() &&
                    reported->second.generation == recorded->generation);
  if (same_disk && reported != reported_disks_.end())
    return reported->second.address;
  if (recorded != nullptr) return recorded->address;
  for (const auto& m : settings_.initial_members) {
    if (m.id == id) return m.address;
  }
  return {};
}

auto consensus::header() const -> message_header {
  return {settings_.self, state_.generation, state_.term};
}

auto consensus::take_output() -> consensus_output {
  if (state_changed_ || first_unpersisted_ || snapshot_changed_) {
    auto batch =
        persist_batch{++last_issued_batch_, std::nullopt, std::nullopt, {}};
    auto first = first_unpersisted_.value_or(last_index() + 1);
    if (snapshot_changed_) {
      batch.snapshot = snapshot_;
      first = snapshot_index() + 1;
    }
    if (state_changed_ || snapshot_changed_) batch.state = state_;
    for (auto i = first; i <= last_index(); ++i) {
      batch.entries.push_back(entry_at(i));
    }
    auto self_vote = state_.voted_for == settings_.self ? state_.term : 0;
    issued_batches_.push_back({last_issued_batch_, last_index(), self_vote});
    output_.persist = std::move(batch);
    state_changed_ = false;
    snapshot_changed_ = false;
    first_unpersisted_.reset();
  }
  for (auto& out : next_batch_messages_)
    deferred_messages_.push_back({last_issued_batch_, std::move(out)});
  next_batch_messages_.clear();
  release_deferred();
  return std::exchange(output_, {});
}

void consensus::release_deferred() {
  while (!deferred_messages_.empty() &&
         deferred_messages_.front().batch <= last_persisted_batch_) {
    output_.send.push_back(std::move(deferred_messages_.front().out));
    deferred_messages_.pop_front();
  }
}

void consensus::send(member_id to, consensus_message message) {
  output_.send.push_back({to, address_of(to), std::move(message)});
}

void consensus::send_after_persist(member_id to, consensus_message message) {
  next_batch_messages_.push_back({to, address_of(to), std::move(message)});
}

auto consensus::entry_at(log_index index) const -> const log_entry& {
  return log_[index - snapshot_index() - 1];
}

auto consensus::term_at(log_index index) const -> log_term {
  if (index == snapshot_index()) return snapshot_ ? snapshot_->term : 0;
  return entry_at(index).term;
}

void consensus::append_entry(log_entry entry) {
  if (!first_unpersisted_) first_unpersisted_ = entry.index;
  log_bytes_ += entry.bytes.size();
  if (entry.kind == entry_kind::members) {
    auto decoded = decode_membership(entry.bytes);
    if (ok(decoded)) {
      membership_entries_.push_back({entry.index, value(std::move(decoded))});
    }
  }
  log_.push_back(std::move(entry));
}

void consensus::truncate_from(log_index index) {
  while (last_index() >= index) {
    log_bytes_ -= log_.back().bytes.size();
    log_.pop_back();
  }
  while (!membership_entries_.empty() &&
         membership_entries_.back().index >= index) {
    membership_entries_.pop_back();
  }
  first_unpersisted_ = std::min(first_unpersisted_.value_or(index), index);
  // Batches in progress no longer make the removed entries durable.
  durable_index_ = std::min(durable_index_, index - 1);
  for (auto& mark : issued_batches_) {
    mark.last_index = std::min(mark.last_index, index - 1);
  }
}

// First index from `first` on that is not a part of the command that begins
// there.
auto consensus::end_of_command(log_index first) const -> log_index {
  auto index = first;
  while (index <= last_index() &&
         entry_at(index).kind == entry_kind::command_part &&
         term_at(index) == term_at(first)) {
    ++index;
  }
  return index;
}

auto consensus::joined_command(log_index first, log_index last) const
    -> log_entry {
  auto out = entry_at(last);
  auto bytes = std::string{};
  for (auto i = first; i <= last; ++i) bytes += entry_at(i).bytes;
  out.bytes = std::move(bytes);
  return out;
}

void consensus::apply_committed() {
  while (applied_index_ < commit_index_) {
    const auto first = applied_index_ + 1;
    const auto last = end_of_command(first);
    // Until the entry after the parts is committed, they may still become a
    // command. A snapshot must not end between them.
    if (last > commit_index_) return;
    const auto complete = entry_at(last).kind == entry_kind::command &&
                          term_at(last) == term_at(first);
    if (first != last && !complete) {
      applied_index_ = last - 1;
      continue;
    }
    applied_index_ = last;
    output_.apply.push_back(joined_command(first, last));
    if (pending_proposals_.erase(applied_index_) > 0) {
      output_.outcomes.push_back({applied_index_, true});
    }
  }
}

void consensus::reset_to_snapshot(log_snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  encoded_snapshot_ = encode(*snapshot_);
  log_.clear();
  log_bytes_ = 0;
  membership_entries_.clear();
  commit_index_ = snapshot_->index;
  applied_index_ = snapshot_->index;
  first_unpersisted_.reset();
  snapshot_changed_ = true;
}

void consensus::become_follower(log_term term, member_id leader,
                                bool isolated) {
  if (term > state_.term) {
    state_.term = term;
    state_.voted_for = {};
    state_changed_ = true;
  }
  if (role_ == member_role::leader) fail_pending_proposals();
  role_ = member_role::follower;
  resigned_leader_ = {};
  votes_.clear();
  followers_.clear();
  joining_disks_.clear();
  set_leader(leader, isolated);
}

void consensus::set_leader(member_id leader, bool isolated) {
  if (leader == leader_ && !isolated) return;
  leader_ = leader;
  leader_since_ = now_;
  output_.leadership_changes.push_back({state_.term, leader, isolated});
}

void consensus::fail_pending_proposals() {
  for (auto index : pending_proposals_)
    output_.outcomes.push_back({index, false});
  pending_proposals_.clear();
}

auto consensus::is_from_agreed_disk(const message_header& h) const -> bool {
  const auto* recorded = find_member(members(), h.from);
  return recorded != nullptr && recorded->generation == h.generation &&
         h.generation.value != 0;
}

void consensus::reset_election_timer() {
  set_election_timer(settings_.election_timeout_min,
                     settings_.election_timeout_max);
}

void consensus::set_election_timer(duration min_wait, duration max_wait) {
  election_due_ = now_ + min_wait + (max_wait - min_wait) * random_.uniform();
}

}  // namespace figwind
