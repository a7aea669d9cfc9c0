#include "figwind/node_view.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace figwind {

namespace {

auto rendezvous_hash(const vm_address& node, const vm_address& member)
    -> std::uint64_t {
  const auto seed = XXH64(node.value.data(), node.value.size(), 0);
  return XXH64(member.value.data(), member.value.size(), seed);
}

/// Keeps heartbeats of different nodes from staying synchronized.
constexpr double heartbeat_jitter = 0.05;

}  // namespace

node_view::node_view(server_record self, std::vector<member_location> members,
                     node_view_options options, random_source random)
    : self_{std::move(self)},
      members_{std::move(members)},
      options_{options},
      random_{random} {
  std::sort(members_.begin(), members_.end(), [&](auto& a, auto& b) {
    const auto a_is_home = a.domain == self_.domain;
    const auto b_is_home = b.domain == self_.domain;
    if (a_is_home != b_is_home) return a_is_home;
    return rendezvous_hash(self_.node.address, a.address) >
           rendezvous_hash(self_.node.address, b.address);
  });
  for (const auto& x : members_) {
    if (x.domain == self_.domain) ++home_count_;
  }
}

auto node_view::servers(const service_name& service, time_point now)
    -> std::vector<usable_server> {
  auto [found, added] = services_.try_emplace(service);
  auto& known = found->second;
  if (added) {
    known.request_at = now;
    heartbeat_due_ = true;
  }
  auto out = std::vector<usable_server>{};
  for (const auto& [address, x] : known.servers) {
    if (!usable(x, now)) continue;
    const auto confirmed = has_evidence(x, now) || !is_silent(x.server.domain);
    out.push_back({x.server, confirmed});
  }
  return out;
}

auto node_view::has_list(const service_name& service) const -> bool {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.has_list;
}

void node_view::on_server_answer(const node_id& server, time_point now,
                                 bool draining) {
  const auto service = service_by_address_.find(server.address);
  if (service == service_by_address_.end()) return;
  auto& servers = services_[service->second].servers;
  const auto found = servers.find(server.address);
  if (found == servers.end()) return;
  auto& x = found->second;
  if (server.start < x.server.node.start) return;
  if (draining || server.start > x.server.node.start) {
    x.retired = true;
    return;
  }
  x.has_answered = true;
  x.last_answer = now;
}

void node_view::announce(server_state state, std::uint32_t slots,
                         std::uint32_t connections) {
  if (drain_announced_ && state != server_state::gone) return;
  drain_announced_ = drain_announced_ || state == server_state::draining;
  heartbeat_due_ = heartbeat_due_ || self_.state != state ||
                   self_.slots != slots || self_.connections != connections;
  self_.state = state;
  self_.slots = slots;
  self_.connections = connections;
}

auto node_view::on_tick(time_point now) -> std::vector<outgoing<heartbeat>> {
  if (members_.empty()) return {};
  if (!started_) {
    started_ = true;
    last_reply_ = now;
    last_member_reply_ = now;
    next_heartbeat_ = now;
  }
  check_member(now);
  if (!heartbeat_due_ && now < next_heartbeat_) return {};
  const auto jitter = 1 + heartbeat_jitter * (2 * random_.uniform() - 1);
  next_heartbeat_ = now + options_.heartbeat_interval * jitter;
  heartbeat_due_ = false;
  auto out = std::vector<outgoing<heartbeat>>{};
  out.push_back({members_[member_index_].address, make_heartbeat(now)});
  if (member_index_ >= home_count_ && home_count_ > 0 &&
      now >= next_home_probe_) {
    next_home_probe_ = now + options_.home_retry_interval * jitter;
    auto probe = make_heartbeat(now);
    probe.services.clear();
    out.push_back({members_[0].address, std::move(probe)});
  }
  return out;
}

auto node_view::make_heartbeat(time_point now) -> heartbeat {
  auto out = heartbeat{};
  out.self = self_;
  out.sequence = ++last_sequence_;
  out.version = version_;
  out.received_version = received_version_;
  out.groups_version = groups_version_;
  out.epoch = epoch_;
  for (const auto& [name, service] : services_) {
    const auto due = service.cursor != 0 || service.request_at <= now;
    if (due) out.services.push_back({name, service.cursor});
  }
  return out;
}

void node_view::check_member(time_point now) {
  if (members_.size() < 2) return;
  if (now - last_member_reply_ <= options_.member_timeout) return;
  use_member((member_index_ + 1) % members_.size(), now);
  next_home_probe_ = now + options_.home_retry_interval;
}

void node_view::use_member(std::size_t index, time_point now) {
  member_index_ = index;
  last_member_reply_ = now;
  heartbeat_due_ = true;
  enter_epoch(0, now);
}

void node_view::enter_epoch(std::uint64_t epoch, time_point now) {
  epoch_ = epoch;
  for (auto& [name, service] : services_) {
    service.cursor = 0;
    service.complete = false;
    ++service.generation;
    if (!service.has_list) continue;
    // Many nodes may have lost the same member at the same time.
    service.request_at = now + options_.list_request_jitter * random_.uniform();
  }
}

auto node_view::on_reply(const heartbeat_reply& reply, time_point now)
    -> reply_effect {
  auto out = reply_effect{};
  // Ignores replies to an earlier incarnation at this address.
  if (reply.sequence > last_sequence_) return out;
  has_reply_ = true;
  last_reply_ = std::max(last_reply_, now);
  if (!reply.leader.value.empty()) leader_ = reply.leader;
  collect_updates(reply, out);
  if (reply.member != members_[member_index_].address) {
    if (member_index_ >= home_count_ && is_home(reply.member)) return_home(now);
    if (reply.member != members_[member_index_].address) return out;
  }
  last_member_reply_ = std::max(last_member_reply_, now);
  if (reply.epoch != epoch_) {
    // Only the newest reply may start an epoch: a late one may predate a
    // restart of the member.
    if (reply.sequence < newest_reply_sequence_) return out;
    enter_epoch(reply.epoch, now);
  }
  newest_reply_sequence_ = std::max(newest_reply_sequence_, reply.sequence);
  if (newest_reply_sequence_ == reply.sequence)
    silent_domains_ = reply.silent_domains;
  for (const auto& x : reply.services) apply_changes(x, now);
  purge(now);
  if (heartbeat_due_) out.heartbeats = on_tick(now);
  return out;
}

auto node_view::is_home(const vm_address& member) const -> bool {
  for (std::size_t i = 0; i < home_count_; ++i) {
    if (members_[i].address == member) return true;
  }
  return false;
}

void node_view::return_home(time_point now) {
  use_member(0, now);
  heartbeat_due_ = false;
}

void node_view::collect_updates(const heartbeat_reply& reply,
                                reply_effect& out) {
  for (const auto& x : reply.configs) {
    if (x.version <= received_version_) continue;
    if (x.base.value != 0 && x.base != received_version_) continue;
    received_version_ = x.version;
    out.configs.push_back(x);
  }
  for (const auto& x : reply.groups) {
    if (x.version <= groups_version_) continue;
    groups_version_ = x.version;
    out.groups.push_back(x);
  }
}

void node_view::apply_changes(const service_changes& changes, time_point now) {
  const auto found = services_.find(changes.service);
  if (found == services_.end()) return;
  auto& service = found->second;
  // Replies to other cursors are late or duplicated.
  if (changes.since != service.cursor) return;
  if (changes.resync_required) {
    service.cursor = 0;
    service.complete = false;
    ++service.generation;
    service.request_at = now;
    heartbeat_due_ = true;
    return;
  }
  for (const auto& x : changes.servers) merge(service, x);
  service.cursor = changes.cursor;
  service.complete = !changes.truncated;
  service.has_list = service.has_list || service.complete;
  heartbeat_due_ = heartbeat_due_ || changes.truncated;
}

void node_view::merge(known_service& service, const server_record& update) {
  auto& x = service.servers[update.node.address];
  const auto old = x.server.node.start;
  if (update.node.start < old) return;
  const auto was_draining =
      update.node.start == old && x.server.state == server_state::draining;
  x.generation = service.generation;
  x.listed = true;
  if (update.node.start > old) {
    x.retired = false;
    x.has_answered = false;
  }
  x.server = update;
  // Another member may not have received the drain yet.
  if (was_draining && update.state != server_state::gone) {
    x.server.state = server_state::draining;
  }
  service_by_address_[update.node.address] = update.service;
}

void node_view::purge(time_point now) {
  for (auto& [name, service] : services_) {
    if (!service.complete) continue;
    for (auto i = service.servers.begin(); i != service.servers.end();) {
      auto& x = i->second;
      const auto absent =
          x.generation != service.generation && !is_silent(x.server.domain);
      if (absent) x.listed = false;
      const auto drop = !x.listed && !has_evidence(x, now);
      i = drop ? service.servers.erase(i) : std::next(i);
    }
  }
}

auto node_view::usable(const known_server& x, time_point now) const -> bool {
  if (x.retired) return false;
  switch (x.server.state) {
    case server_state::serving:
      return x.listed || has_evidence(x, now);
    case server_state::starting:
      return has_evidence(x, now);
    case server_state::draining:
      return false;
    case server_state::gone:
      return x.server.expired && has_evidence(x, now);
  }
  return false;
}

auto node_view::has_evidence(const known_server& x, time_point now) const
    -> bool {
  return x.has_answered && now - x.last_answer <= options_.evidence_lifetime;
}

auto node_view::is_silent(const failure_domain& domain) const -> bool {
  return std::find(silent_domains_.begin(), silent_domains_.end(), domain) !=
         silent_domains_.end();
}

void node_view::note_in_force(config_version version) {
  version_ = std::max(version_, version);
  received_version_ = std::max(received_version_, version);
}

auto node_view::isolated(time_point now) const -> bool {
  return started_ && now - last_reply_ > options_.isolation_timeout;
}

auto node_view::current_member() const -> vm_address {
  return members_.empty() ? vm_address{} : members_[member_index_].address;
}

}  // namespace figwind
