#include "figwind/control_core.h"

#include <algorithm>
#include <set>
#include <utility>

#include "figwind/node_core.h"

namespace figwind {
namespace {

constexpr auto recorder_choice_period = seconds(1);

auto record_name(const failure_domain& domain, std::uint32_t index)
    -> std::string {
  return "recorders/" + domain.value + "/" + std::to_string(index);
}

auto domains_of(const std::vector<member_location>& members)
    -> std::set<failure_domain> {
  auto all = std::set<failure_domain>{};
  for (const auto& member : members) all.insert(member.domain);
  return all;
}

}  // namespace

control_core::control_core(control_options options,
                           const durable_state& from_disk, time_point now)
    : options_{std::move(options)},
      random_{options_.seed},
      consensus_{options_.consensus, from_disk, random_source{random_.bits()},
                 now},
      registry_{options_.self, options_.members, random_.bits() | 1U,
                options_.registry, now} {
  if (from_disk.snapshot) restore(*from_disk.snapshot);
}

auto control_core::tick(time_point now, time_point unix_now) -> control_output {
  auto out = control_output{};
  append_output(out, consensus_.tick(now));
  registry_.set_leader(leader_address());
  for (auto& x : registry_.on_tick(now)) {
    out.messages.push_back(
        {x.to, control_member_message{std::move(x.message)}});
  }
  choose_recorders(now, unix_now, out);
  compact_if_due(out);
  return out;
}

auto control_core::on_message(const control_message& message, time_point now)
    -> control_output {
  auto out = control_output{};
  std::visit([&](const auto& m) { handle(m, now, out); }, message);
  return out;
}

auto control_core::on_persisted(std::uint64_t batch) -> control_output {
  auto out = control_output{};
  append_output(out, consensus_.on_persisted(batch));
  return out;
}

auto control_core::on_storage_failed() -> control_output {
  auto out = control_output{};
  append_output(out, consensus_.on_storage_failed());
  return out;
}

void control_core::append_output(control_output& out, consensus_output from) {
  if (from.persist) out.persist.push_back(std::move(*from.persist));
  for (auto& x : from.send) {
    out.messages.push_back({address_of(x.to), std::move(x.message)});
  }
  if (from.restore) restore(*from.restore);
  for (const auto& entry : from.apply) apply(entry, out);
  for (const auto& leadership : from.leadership_changes)
    out.leadership_changes.push_back(leadership);
}

void control_core::restore(const log_snapshot& snapshot) {
  auto found = store_.restore(snapshot.state);
  if (!found.empty()) {
    state_problem_ = "the snapshot cannot be read: " + found.front().message;
    return;
  }
  state_problem_.clear();
  publish_configuration();
  for (const auto& [name, record] : store_.records()) {
    publish_group(name, record);
  }
}

void control_core::apply(const log_entry& entry, control_output& out) {
  if (entry.kind != entry_kind::command) return;
  auto before = store_.current().version;
  auto applied = store_.apply(entry.bytes);
  if (!ok(applied)) return;
  const auto& change = value(applied);
  out.replies.push_back({change.id, change.answer, {}, false});
  if (store_.current().version != before) {
    publish_configuration();
    out.accepted_version = store_.current().version;
  }
  if (!change.name.empty() && !change.is_duplicate) {
    const auto* record = store_.find_record(change.name);
    if (record != nullptr) publish_group(change.name, *record);
  }
}

void control_core::publish_configuration() {
  const auto& current = store_.current();
  registry_.set_configuration(current.version, current.text);
}

void control_core::publish_group(const std::string& name,
                                 const stored_record& record) {
  auto group = decode_group(record.bytes);
  if (!ok(group)) return;
  auto& kept = groups_[name];
  kept = value(std::move(group));
  kept.version = record.sequence;
  registry_.set_group(name, {record.sequence, record.bytes});
}

void control_core::compact_if_due(control_output& out) {
  if (!consensus_.compaction_due()) return;
  append_output(out, consensus_.compact(store_.snapshot()));
}

auto control_core::change(const config_change& change) -> control_output {
  auto out = control_output{};
  const auto* earlier_answer = store_.find_answer(change.id);
  if (earlier_answer != nullptr) {
    out.replies.push_back({change.id, *earlier_answer, {}, false});
    return out;
  }
  auto reason = refusal_reason();
  if (!reason.empty()) {
    out.replies.push_back({change.id, std::nullopt, reason, false});
    return out;
  }
  submit(change.id, encode_change(change), out);
  return out;
}

void control_core::submit(const request_id& id, std::string bytes,
                          control_output& out) {
  if (consensus_.role() != member_role::leader) {
    out.messages.push_back(
        {leader_address(),
         control_member_message{forwarded_change{std::move(bytes)}}});
    return;
  }
  auto proposed = consensus_.propose(std::move(bytes));
  append_output(out, std::move(proposed.output));
  if (proposed.status == proposal_status::too_large) {
    out.replies.push_back({id, std::nullopt, "the change is too large", false});
  } else if (proposed.status != proposal_status::pending) {
    out.replies.push_back({id, std::nullopt, "the leader has changed", false});
  }
}

auto control_core::replace_member(member_id replaces, member_id id,
                                  const vm_address& address,
                                  control_output& output) -> proposal_status {
  auto proposed = consensus_.add_member(id, address, replaces);
  append_output(output, std::move(proposed.output));
  return proposed.status;
}

auto control_core::refusal_reason() const -> std::string {
  if (!state_problem_.empty()) return state_problem_;
  switch (consensus_.state()) {
    case member_state::voter:
    case member_state::learner:
      break;
    case member_state::stopped:
      return "the disk of this member failed";
    default:
      return "this member " + to_string(consensus_.state()) +
             " and cannot accept changes yet";
  }
  if (consensus_.leader().value != 0) return {};
  return "no leader is known: this member is isolated or an election is in "
         "progress";
}

auto control_core::leader_address() const -> vm_address {
  auto leader = consensus_.leader();
  return leader.value == 0 ? vm_address{} : address_of(leader);
}

auto control_core::address_of(member_id id) const -> vm_address {
  const auto* recorded = find_member(consensus_.members(), id);
  if (recorded != nullptr) return recorded->address;
  for (const auto& first : options_.consensus.initial_members) {
    if (first.id == id) return first.address;
  }
  return {};
}

void control_core::choose_recorders(time_point now, time_point unix_now,
                                    control_output& out) {
  if (now < next_recorder_choice_) return;
  next_recorder_choice_ = now + recorder_choice_period;
  if (consensus_.role() != member_role::leader) return;
  auto silent = registry_.silent_domains();
  for (const auto& domain : domains_of(options_.members)) {
    // The recorders of a silent domain may still be serving.
    if (std::find(silent.begin(), silent.end(), domain) != silent.end()) {
      continue;
    }
    auto old = std::vector<recorder_group>{};
    for (const auto& [name, group] : groups_) {
      if (group.domain == domain) old.push_back(group);
    }
    auto changed = plan_group_changes(domain, registry_.servers_in(domain), old,
                                      unix_now, options_.groups);
    for (const auto& group : changed) propose_group(group, out);
  }
}

void control_core::propose_group(const recorder_group& group,
                                 control_output& out) {
  auto name = record_name(group.domain, group.index);
  const auto* record = store_.find_record(name);
  auto base = record == nullptr ? 0 : record->version;
  auto id = request_id{random_.bits(), random_.bits()};
  submit(id, encode_change(record_change{id, name, base, encode(group)}), out);
}

void control_core::handle(const node_message& m, time_point now,
                          control_output& out) {
  if (const auto* beat = std::get_if<heartbeat>(&m)) {
    handle_heartbeat(*beat, now, out);
  } else if (const auto* done = std::get_if<takeover_done>(&m)) {
    handle_takeover(*done, out);
  }
}

void control_core::handle_heartbeat(const heartbeat& m, time_point now,
                                    control_output& out) {
  auto reply = registry_.on_heartbeat(m, now);
  out.messages.push_back({reply.to, node_message{std::move(reply.message)}});
}

void control_core::handle_takeover(const takeover_done& m,
                                   control_output& out) {
  if (consensus_.role() != member_role::leader) return;
  auto found = groups_.find(record_name(m.domain, m.group));
  if (found == groups_.end()) return;
  auto completed = complete_takeover(found->second, m);
  if (completed == found->second) return;
  propose_group(completed, out);
}

void control_core::handle(const control_member_message& m, time_point now,
                          control_output& out) {
  if (const auto* request = std::get_if<digest_request>(&m)) {
    auto reply = registry_.on_digest_request(*request, now);
    out.messages.push_back(
        {reply.to, control_member_message{std::move(reply.message)}});
  } else if (const auto* digest = std::get_if<domain_digest>(&m)) {
    for (auto& x : registry_.on_digest(*digest, now)) {
      out.messages.push_back(
          {x.to, control_member_message{std::move(x.message)}});
    }
  } else if (consensus_.role() == member_role::leader) {
    // Members forward changes only to the leader. A change that reaches a
    // former leader is dropped; the operator resends it.
    auto proposed = consensus_.propose(std::get<forwarded_change>(m).bytes);
    append_output(out, std::move(proposed.output));
  }
}

void control_core::handle(const consensus_message& m, time_point now,
                          control_output& out) {
  append_output(out, consensus_.receive(m, now));
}

}  // namespace figwind
