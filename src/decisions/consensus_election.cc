// Elections: a pre-vote first, then votes that are durable before they are
// sent. A leader whose process ends hands over before.
//
// Source of the hand-over: Ongaro's thesis (2014), section 3.10.

#include <utility>

#include "figwind/consensus.h"

namespace figwind {

auto consensus::is_voter_in(const membership& all) const -> bool {
  const auto* self = find_member(all, settings_.self);
  return self != nullptr && self->voter &&
         self->generation == state_.generation;
}

// The candidate's log decides whether this vote counts: the log of this member
// may lack its own promotion, or hold a removal that is never committed.
auto consensus::may_grant_vote() const -> bool {
  return snapshot_.has_value() && !checking_disk_ && !stopped_;
}

auto consensus::may_campaign() const -> bool {
  if (!may_grant_vote() || resigned_) return false;
  if (is_voter_in(members())) return true;
  if (membership_entries_.empty()) return false;
  auto last = membership_entries_.back().index;
  // The removal may be held by this member only.
  return last > commit_index_ && is_voter_in(members_at(last - 1));
}

void consensus::start_pre_vote() {
  set_leader({}, false);
  if (!is_up_to_date(last_term(), last_index())) return;
  role_ = member_role::pre_candidate;
  votes_.clear();
  request_votes(true, state_.term + 1);
  count_votes();
}

void consensus::start_election() {
  ++state_.term;
  state_.voted_for = settings_.self;
  state_changed_ = true;
  role_ = member_role::candidate;
  votes_.clear();
  request_votes(false, state_.term);
  set_election_timer(settings_.split_vote_timeout_min,
                     settings_.split_vote_timeout_max);
}

void consensus::request_votes(bool pre_vote, log_term election_term) {
  auto request = vote_request{header(),    election_term, last_index(),
                              last_term(), pre_vote,      resigned_leader_};
  for (const auto& m : members().members) {
    if (m.voter && m.id != settings_.self) send_after_persist(m.id, request);
  }
}

void consensus::count_votes() {
  auto votes = votes_.size();
  auto own_vote = role_ == member_role::pre_candidate ||
                  durable_self_vote_term_ == state_.term;
  if (own_vote && is_voter_in(members())) ++votes;
  if (votes < majority(members())) return;
  if (role_ == member_role::pre_candidate) {
    start_election();
  } else if (role_ == member_role::candidate) {
    become_leader();
  }
}

void consensus::become_leader() {
  role_ = member_role::leader;
  resigned_leader_ = {};
  set_leader(settings_.self, false);
  followers_.clear();
  for (const auto& m : members().members) {
    if (m.id == settings_.self) continue;
    followers_[m.id].next_index = last_index() + 1;
    followers_[m.id].last_reply = now_;
  }
  heartbeat_due_ = now_ + settings_.heartbeat_interval;
  append_as_leader(entry_kind::term_start, {});
}

auto consensus::find_successor() const -> member_id {
  for (const auto& m : members().members) {
    const auto found = followers_.find(m.id);
    if (!m.voter || found == followers_.end()) continue;
    const auto& f = found->second;
    const auto is_recent =
        now_ - f.last_reply < settings_.heartbeat_interval * 2;
    if (is_recent && f.acknowledged == last_index()) return m.id;
  }
  return {};
}

auto consensus::resign() -> consensus_output {
  resigned_ = true;
  const auto is_committed = commit_index_ == last_index();
  if (role_ != member_role::leader || !is_committed) return take_output();
  const auto successor = find_successor();
  if (successor.value == 0) return take_output();
  for (const auto& m : members().members) {
    if (m.id == settings_.self) continue;
    // With the last commit, which the successor need not find out first.
    send_entries(m.id, true);
    send(m.id, leader_resignation{header(), successor});
  }
  become_follower(state_.term, {}, false);
  reset_election_timer();
  return take_output();
}

void consensus::handle(const leader_resignation& m) {
  if (role_ != member_role::follower || leader_ != m.header.from) return;
  forget_leader();
  reset_election_timer();
  if (m.successor != settings_.self || !may_campaign()) return;
  resigned_leader_ = m.header.from;
  start_pre_vote();
}

// A leader that has resigned is no reason to refuse a vote. A request of an
// earlier election must not count against a leader that returned since.
void consensus::note_resignation(const vote_request& m) {
  const auto is_next = m.election_term == state_.term + 1;
  if (role_ != member_role::follower || leader_.value == 0 || !is_next) return;
  if (m.resigned_leader == leader_) forget_leader();
}

void consensus::forget_leader() {
  resigned_term_ = state_.term;
  set_leader({}, false);
}

auto consensus::is_from_resigned_leader(const consensus_message& m) const
    -> bool {
  const auto is_leaders = std::holds_alternative<append_request>(m) ||
                          std::holds_alternative<snapshot_chunk>(m);
  return is_leaders && header_of(m).term == resigned_term_;
}

auto consensus::is_up_to_date(log_term term, log_index index) const -> bool {
  auto candidate = std::pair{term, index};
  auto longest_reported = std::pair{longest_log_term_, longest_log_index_};
  auto expired = now_ - disk_check_started_ >= settings_.reported_log_timeout;
  if (candidate < longest_reported && !expired) return false;
  return candidate >= std::pair{last_term(), last_index()};
}

void consensus::handle(const vote_request& m) {
  if (!may_grant_vote() || has_live_leader()) return;
  auto granted = is_up_to_date(m.last_term, m.last_index) &&
                 m.election_term > max_prior_vote_term_;
  if (m.pre_vote) {
    granted = granted && m.election_term > state_.term;
  } else {
    auto vote_available =
        state_.voted_for.value == 0 || state_.voted_for == m.header.from;
    granted = granted && m.election_term == state_.term && vote_available;
  }
  if (granted && !m.pre_vote && state_.voted_for != m.header.from) {
    state_.voted_for = m.header.from;
    state_changed_ = true;
  }
  if (granted && !m.pre_vote) reset_election_timer();
  if (granted && m.pre_vote) {
    // Gives the first candidate time to win.
    auto due = now_ + settings_.split_vote_timeout_min;
    election_due_ = election_due_ < due ? due : election_due_;
  }
  send_after_persist(m.header.from, vote_reply{header(), m.election_term,
                                               granted, m.pre_vote});
}

void consensus::handle(const vote_reply& m) {
  auto expected =
      m.pre_vote ? member_role::pre_candidate : member_role::candidate;
  auto election = m.pre_vote ? state_.term + 1 : state_.term;
  if (role_ != expected || m.election_term != election || !m.granted) return;
  const auto* voter = find_member(members(), m.header.from);
  if (!is_from_agreed_disk(m.header) || !voter->voter) return;
  votes_.insert(m.header.from);
  count_votes();
}

}  // namespace figwind
