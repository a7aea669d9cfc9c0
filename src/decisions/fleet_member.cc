#include "figwind/fleet_member.h"

#include <algorithm>
#include <set>
#include <utility>

#include "figwind/bytes.h"
#include "figwind/text_patch.h"

namespace figwind {
namespace {

constexpr auto desired_state_record = "desired-state";
constexpr auto push_period = milliseconds(20);
// Bytes of configurations sent in one push period, beyond which no further one
// is begun: the member must not miss heartbeats while it encodes them.
constexpr std::size_t max_push_bytes = std::size_t{1} << 20U;
constexpr std::size_t min_voters = 3;
constexpr std::size_t max_voters = 7;
// Limits the memory for messages with arbitrary member ids.
constexpr std::size_t max_hello_senders = 64;
// Pause after an error of the disk before drains are saved again.
constexpr auto drain_save_pause = seconds(1);

auto encode_desired(const desired_state& x) -> std::string {
  auto to = byte_writer{};
  to.put_u64(x.label.value);
  to.put_string(x.text);
  return to.take();
}

auto decode_desired(const std::string& bytes) -> desired_state {
  auto from = byte_reader{bytes};
  auto label = from.get_u64();
  auto text = from.get_string();
  return {{label}, std::move(text)};
}

}  // namespace

auto to_string(desired_status x) -> std::string {
  switch (x) {
    case desired_status::done:
      return "done";
    case desired_status::conflict:
      return "conflict";
    case desired_status::stale_label:
      return "stale_label";
    case desired_status::too_large:
      return "too_large";
    case desired_status::unknown:
      break;
  }
  return "unknown";
}

fleet_member::fleet_member(fleet_member_options options,
                           const durable_state& from_disk, time_point now)
    : options_{std::move(options)},
      random_{options_.seed},
      consensus_{options_.consensus, from_disk, random_source{random_.bits()},
                 now},
      directory_{random_.bits() | 1U, options_.directory} {
  if (from_disk.snapshot) {
    store_.restore(from_disk.snapshot->state);
    load_desired_state();
  }
}

auto fleet_member::tick(time_point now) -> member_output {
  auto out = member_output{};
  append_output(out, consensus_.tick(now));
  send_hellos(now, out);
  const auto is_idle = pending_requests_.empty() && proposed_changes_.empty();
  if (resigning_ && is_idle) append_output(out, consensus_.resign());
  if (is_leader()) {
    if (!resigning_) adjust_membership(now, out);
  } else {
    fail_pending_requests(out);
  }
  if (consensus_.compaction_due()) {
    append_output(out, consensus_.compact(store_.snapshot()));
  }
  save_drains(now, out);
  push_updates(now, out);
  return out;
}

auto fleet_member::on_message(const fleet_message& message, time_point now)
    -> member_output {
  auto out = member_output{};
  if (const auto* status = std::get_if<node_status>(&message)) {
    handle(*status, now, out);
  } else if (const auto* hello = std::get_if<member_hello>(&message)) {
    handle(*hello, now, out);
  } else if (const auto* m = std::get_if<consensus_message>(&message)) {
    handle(*m, now, out);
  }
  return out;
}

auto fleet_member::on_persisted(std::uint64_t batch) -> member_output {
  auto out = member_output{};
  append_output(out, consensus_.on_persisted(batch));
  return out;
}

void fleet_member::restore_drains(const std::vector<node_report>& reports,
                                  time_point now) {
  for (const auto& x : reports) directory_.restore(x, now);
  saved_drain_ = directory_.last_drain();
}

void fleet_member::save_drains(time_point now, member_output& out) {
  const auto is_due = directory_.last_drain() != saved_drain_;
  if (is_saving_drains_ || !is_due || now < next_drain_save_) return;
  is_saving_drains_ = true;
  out.drains = drain_batch{directory_.last_drain(), directory_.drains()};
}

auto fleet_member::on_drains_saved(std::uint64_t batch, bool is_durable,
                                   time_point now) -> member_output {
  auto out = member_output{};
  is_saving_drains_ = false;
  if (!is_durable) {
    next_drain_save_ = now + drain_save_pause;
    return out;
  }
  const auto before = std::exchange(saved_drain_, batch);
  for (auto& [address, node] : nodes_) {
    const auto drain = directory_.drain_of(address);
    if (drain > before && drain <= batch) {
      out.messages.push_back({address, make_update(node, now)});
    }
  }
  save_drains(now, out);
  return out;
}

auto fleet_member::on_storage_failed() -> member_output {
  auto out = member_output{};
  append_output(out, consensus_.on_storage_failed());
  fail_pending_requests(out);
  return out;
}

void fleet_member::append_output(member_output& out, consensus_output from) {
  if (from.persist) out.persist.push_back(std::move(*from.persist));
  for (auto& x : from.send) {
    auto to = x.address.value.empty() ? address_of(x.to) : x.address;
    if (!to.value.empty()) out.messages.push_back({to, std::move(x.message)});
  }
  if (from.restore) {
    store_.restore(from.restore->state);
    load_desired_state();
  }
  for (const auto& entry : from.apply) apply(entry, out);
  for (const auto& x : from.outcomes) complete_request(x, out);
  for (const auto& leadership : from.leadership_changes)
    out.leadership_changes.push_back(leadership);
}

auto fleet_member::address_of(member_id id) const -> vm_address {
  auto recorded = consensus_.address_of(id);
  if (!recorded.value.empty()) return recorded;
  // A new member has no membership until it has replied to its leader.
  const auto found = hello_senders_.find(id);
  return found == hello_senders_.end() ? vm_address{} : found->second.address;
}

void fleet_member::apply(const log_entry& entry, member_output& out) {
  // An empty command is the barrier of a read or a change.
  if (entry.kind != entry_kind::command || entry.bytes.empty()) return;
  auto applied = store_.apply(entry.bytes);
  if (!ok(applied)) return;
  load_desired_state();
  const auto& change = value(applied);
  auto found = proposed_changes_.find(change.id);
  if (found == proposed_changes_.end()) return;
  auto ticket = found->second;
  proposed_changes_.erase(found);
  auto accepted = change.answer.status == change_status::accepted;
  reply(ticket, accepted ? desired_status::done : desired_status::conflict,
        out);
}

void fleet_member::load_desired_state() {
  const auto* record = store_.find_record(desired_state_record);
  if (record == nullptr || record->version == version_.value) return;
  auto next = decode_desired(record->bytes);
  const auto follows = record->version == version_.value + 1;
  previous_text_ = follows ? std::move(current_.text) : std::string{};
  current_ = std::move(next);
  version_ = {record->version};
  patch_of_previous_.clear();
  patch_of_nothing_.clear();
  for (auto& [address, node] : nodes_) node.update_due = true;
}

void fleet_member::complete_request(const proposal_outcome& x,
                                    member_output& out) {
  auto found = pending_requests_.find(x.index);
  if (found == pending_requests_.end()) return;
  auto request = std::move(found->second);
  pending_requests_.erase(found);
  if (!x.committed) {
    reply(request.ticket, desired_status::unknown, out);
  } else if (!request.change) {
    reply(request.ticket, desired_status::done, out);
  } else {
    propose_change(request, out);
  }
}

void fleet_member::propose_change(const pending_request& x,
                                  member_output& out) {
  const auto& change = *x.change;
  if (has_accepted(change.id)) {
    reply(x.ticket, desired_status::done, out);
    return;
  }
  if (change.base_label != current_.label) {
    reply(x.ticket, desired_status::conflict, out);
    return;
  }
  if (change.new_state.label <= current_.label) {
    reply(x.ticket, desired_status::stale_label, out);
    return;
  }
  if (proposed_changes_.count(change.id) != 0) {
    // The same change is in progress; its sender asks again for the outcome.
    reply(x.ticket, desired_status::unknown, out);
    return;
  }
  auto bytes = encode_change(record_change{change.id, desired_state_record,
                                           version_.value,
                                           encode_desired(change.new_state)});
  proposed_changes_[change.id] = x.ticket;
  auto proposed = consensus_.propose(std::move(bytes));
  const auto status = proposed.status;
  append_output(out, std::move(proposed.output));
  if (status == proposal_status::pending) return;
  proposed_changes_.erase(change.id);
  auto too_large = status == proposal_status::too_large;
  reply(x.ticket,
        too_large ? desired_status::too_large : desired_status::unknown, out);
}

void fleet_member::reply(member_ticket ticket, desired_status status,
                         member_output& out) {
  out.replies.push_back({ticket, status, current_});
}

void fleet_member::fail_pending_requests(member_output& out) {
  for (const auto& [index, x] : std::exchange(pending_requests_, {})) {
    reply(x.ticket, desired_status::unknown, out);
  }
  for (const auto& [id, ticket] : std::exchange(proposed_changes_, {})) {
    reply(ticket, desired_status::unknown, out);
  }
}

auto fleet_member::start_request(std::optional<desired_change> change,
                                 member_output& out) -> member_ticket {
  const auto ticket = ++last_ticket_;
  if (resigning_) {
    reply(ticket, desired_status::unknown, out);
    return ticket;
  }
  auto barrier = consensus_.propose({});
  if (barrier.status != proposal_status::pending) {
    reply(ticket, desired_status::unknown, out);
    return ticket;
  }
  pending_requests_[barrier.index] = {ticket, std::move(change)};
  append_output(out, std::move(barrier.output));
  return ticket;
}

auto fleet_member::change(const desired_change& change, member_output& out)
    -> member_ticket {
  return start_request(change, out);
}

auto fleet_member::read(member_output& out) -> member_ticket {
  return start_request(std::nullopt, out);
}

auto fleet_member::has_accepted(const request_id& id) const -> bool {
  const auto* answer = store_.find_answer(id);
  return answer != nullptr && answer->status == change_status::accepted;
}

auto fleet_member::leader_address() const -> vm_address {
  auto leader = consensus_.leader();
  return leader.value == 0 ? vm_address{} : address_of(leader);
}

auto fleet_member::peers() const -> std::vector<vm_address> {
  auto all = std::set<vm_address>{seeds_.begin(), seeds_.end()};
  for (const auto& m : consensus_.members().members) all.insert(m.address);
  for (const auto& [id, x] : hello_senders_) all.insert(x.address);
  all.erase(options_.consensus.address);
  all.erase(vm_address{});
  return {all.begin(), all.end()};
}

auto fleet_member::on_reachable(const vm_address& peer) -> member_output {
  // Lets a peer that does not know this member yet open a link to it at once.
  auto out = member_output{};
  out.messages.push_back(
      {peer, member_hello{options_.consensus.self, options_.consensus.address,
                          false}});
  return out;
}

void fleet_member::send_hellos(time_point now, member_output& out) {
  if (now < next_hello_) return;
  next_hello_ = now + options_.hello_period;
  auto hello =
      member_hello{options_.consensus.self, options_.consensus.address, false};
  for (auto& to : peers()) out.messages.push_back({to, hello});
}

auto fleet_member::silent_member(bool is_voter, time_point now,
                                 duration limit) const -> member_id {
  for (const auto& m : consensus_.members().members) {
    if (m.voter != is_voter || m.id == options_.consensus.self) continue;
    if (now - consensus_.last_reply(m.id) > limit) return m.id;
  }
  return {};
}

void fleet_member::remove_silent(member_id id, member_output& out) {
  hello_senders_.erase(id);
  const auto address = consensus_.address_of(id);
  auto removed = consensus_.remove_member(id);
  if (removed.status == proposal_status::pending) {
    out.membership_changes.push_back("removed " + address.value);
  }
  append_output(out, std::move(removed.output));
}

void fleet_member::adjust_membership(time_point now, member_output& out) {
  std::erase_if(hello_senders_, [&](const auto& x) {
    return now - x.second.last_hello > options_.hello_period * 4;
  });
  const auto& all = consensus_.members();
  const auto voters = voter_count(all);
  // One membership change at a time: a learner must become a voter first.
  if (all.members.size() != voters) {
    const auto lost = silent_member(false, now, options_.replace_silent_after);
    if (lost.value != 0) remove_silent(lost, out);
    return;
  }
  const auto silent = silent_member(true, now, options_.replace_silent_after);
  // What the silent voter sent before it was lost is no request to join.
  hello_senders_.erase(silent);
  for (const auto& [id, x] : hello_senders_) {
    if (find_member(all, id) != nullptr) continue;
    const auto suspect = silent_member(true, now, options_.suspect_after);
    if (silent.value == 0 && suspect.value != 0) return;
    if (silent.value == 0 && voters >= max_voters) continue;
    auto added = consensus_.add_member(id, x.address, silent);
    if (added.status == proposal_status::pending) {
      out.membership_changes.push_back(
          "added " + x.address.value +
          (silent.value == 0 ? std::string{}
                             : " for " + consensus_.address_of(silent).value));
    }
    append_output(out, std::move(added.output));
    return;
  }
  const auto lost = silent_member(true, now, options_.remove_silent_after);
  if (lost.value != 0 && voters > min_voters) remove_silent(lost, out);
}

auto fleet_member::is_current(time_point now) const -> bool {
  auto state = consensus_.state();
  if (state != member_state::voter && state != member_state::learner) {
    return false;
  }
  if (is_leader()) return true;
  return consensus_.leader().value != 0 &&
         now - consensus_.leader_since() > options_.min_leader_age &&
         now - consensus_.last_leader_contact() < options_.leader_timeout;
}

auto fleet_member::make_update(node_entry& node, time_point now)
    -> member_update {
  auto out = member_update{};
  auto& status = node.status;
  out.member = options_.consensus.address;
  out.domain = options_.domain;
  out.has_leader = is_current(now);
  out.version = version_;
  const auto is_behind = status.wants_config && status.version < version_;
  if (is_behind && pushed_bytes_ >= max_push_bytes) {
    node.update_due = true;
  } else if (is_behind) {
    add_config(status.version, out);
    pushed_bytes_ += out.config.size();
    // Text accepted by the link counts as delivered; the next status corrects
    // it.
    status.version = version_;
  }
  out.members = peers();
  const auto* report = directory_.find(status.report.node.address);
  if (report != nullptr) {
    const auto address = status.report.node.address;
    const auto is_held = directory_.drain_of(address) <= saved_drain_;
    out.report_sequence = is_held ? report->sequence : 0;
    out.known_start = report->node.start;
  }
  out.epoch = directory_.epoch();
  if (status.wants_directory) {
    out.has_directory = true;
    out.entries = directory_.changes(status.epoch, status.cursor);
    status.epoch = directory_.epoch();
    status.cursor = directory_.cursor();
  }
  out.cursor = directory_.cursor();
  // The node has restarted, or does not know of the drain of its server.
  const auto is_news =
      report != nullptr && (status.report.sequence == 0 ||
                            report->server.state > status.report.server.state);
  if (is_news) out.entries.push_back({*report, false});
  return out;
}

void fleet_member::add_config(config_version held, member_update& out) {
  const auto has_previous = !previous_text_.empty() && held.value != 0 &&
                            held.value + 1 == version_.value;
  auto& patch = has_previous ? patch_of_previous_ : patch_of_nothing_;
  if (patch.empty()) {
    patch = make_patch(has_previous ? previous_text_ : std::string{},
                       current_.text);
  }
  out.config_base = has_previous ? held : config_version{};
  out.config = patch;
}

void fleet_member::push_updates(time_point now, member_output& out) {
  if (now < next_push_) return;
  next_push_ = now + push_period;
  pushed_bytes_ = 0;
  directory_.expire(now);
  auto current = is_current(now);
  auto all_due = current != was_current_;
  was_current_ = current;
  for (auto at = nodes_.begin(); at != nodes_.end();) {
    auto& node = at->second;
    if (now - node.last_status > directory_.lease_of(node.status)) {
      at = nodes_.erase(at);
      continue;
    }
    auto has_changes = node.status.wants_directory &&
                       (node.status.epoch != directory_.epoch() ||
                        node.status.cursor < directory_.cursor());
    const auto must_wait = node.update_due && pushed_bytes_ >= max_push_bytes;
    if (all_due || has_changes || (node.update_due && !must_wait)) {
      node.update_due = false;
      out.messages.push_back({at->first, make_update(node, now)});
    }
    ++at;
  }
}

void fleet_member::handle(const node_status& m, time_point now,
                          member_output& out) {
  directory_.apply(m, now);
  auto& node = nodes_[m.report.node.address];
  node.status = m;
  node.last_status = now;
  node.update_due = false;
  save_drains(now, out);
  out.messages.push_back({m.report.node.address, make_update(node, now)});
}

void fleet_member::handle(const member_hello& m, time_point now,
                          member_output& out) {
  if (m.id == options_.consensus.self) return;
  if (hello_senders_.count(m.id) == 0 &&
      hello_senders_.size() >= max_hello_senders) {
    return;
  }
  hello_senders_[m.id] = {m.address, now};
  // The seeds of a new process may not include the present leader.
  const auto leader = leader_address();
  const auto is_member = find_member(consensus_.members(), m.id) != nullptr;
  if (m.forwarded || is_member || is_leader() || leader.value.empty()) return;
  out.messages.push_back({leader, member_hello{m.id, m.address, true}});
}

void fleet_member::handle(const consensus_message& m, time_point now,
                          member_output& out) {
  append_output(out, consensus_.receive(m, now));
}

}  // namespace figwind
