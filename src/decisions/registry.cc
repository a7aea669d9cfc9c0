#include "figwind/registry.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace figwind {

namespace {

/// Length fields of strings and the numbers of a record.
constexpr std::size_t record_overhead = 32;
/// Length fields and flags of the changes of one service.
constexpr std::size_t changes_overhead = 32;
/// Beat of a held server and its part of the list.
constexpr std::size_t held_overhead = 8;

auto rank(const server_record& server, std::uint64_t beat) {
  return std::tuple{server.node.start, beat, server.state};
}

auto is_gone(const server_record& x) -> bool {
  return x.state == server_state::gone;
}

auto contains(const std::vector<failure_domain>& all, const failure_domain& x)
    -> bool {
  return std::find(all.begin(), all.end(), x) != all.end();
}

}  // namespace

auto to_string(server_state x) -> std::string {
  switch (x) {
    case server_state::starting:
      return "starting";
    case server_state::serving:
      return "serving";
    case server_state::draining:
      return "draining";
    case server_state::gone:
      return "gone";
  }
  return "invalid";
}

auto message_size(const server_record& x) -> std::size_t {
  return x.node.address.value.size() + x.service.value.size() +
         x.domain.value.size() + x.call_address.value.size() + record_overhead;
}

registry::registry(member_place self, std::vector<member_place> members,
                   std::uint64_t epoch, registry_options options,
                   time_point now)
    : self_{std::move(self)},
      epoch_{epoch},
      options_{options},
      started_{now},
      next_second_{now} {
  for (auto& place : members) {
    if (!contains(silent_, place.domain)) silent_.push_back(place.domain);
    if (place.address == self_.address) continue;
    auto added = peer{};
    added.place = std::move(place);
    added.heard = now;
    peers_.push_back(std::move(added));
  }
}

auto registry::on_heartbeat(const heartbeat& beat, time_point now)
    -> outgoing<heartbeat_reply> {
  store({beat.self, beat.beat}, self_.address, 0, now);
  auto& e = entries_[beat.self.node.address];
  if (e.server.node == beat.self.node) e.version = beat.version;
  return {beat.self.node.address, make_reply(beat)};
}

auto registry::make_reply(const heartbeat& beat) const -> heartbeat_reply {
  auto reply = heartbeat_reply{};
  reply.member = self_.address;
  reply.leader = leader_;
  reply.beat = beat.beat;
  reply.epoch = epoch_;
  reply.silent_domains = silent_;
  auto room = options_.message_bytes;
  add_configs(beat, reply, room);
  add_groups(beat, reply, room);
  add_services(beat, reply, room);
  return reply;
}

void registry::add_configs(const heartbeat& beat, heartbeat_reply& reply,
                           std::size_t& room) const {
  if (beat.received >= config_.version) return;
  auto first = std::find_if(
      config_changes_.begin(), config_changes_.end(),
      [&](const auto& change) { return change.base == beat.received; });
  auto size = std::size_t{0};
  for (auto i = first; i != config_changes_.end(); ++i) size += i->text.size();
  if (first != config_changes_.end() &&
      size <= std::min(room, config_.text.size())) {
    reply.configs.assign(first, config_changes_.end());
  } else {
    reply.configs.push_back(config_);
    size = config_.text.size();
  }
  // A text beyond the limit travels alone: the envelope holds up to 1 MiB.
  room -= std::min(room, size);
}

void registry::add_groups(const heartbeat& beat, heartbeat_reply& reply,
                          std::size_t& room) const {
  auto next = groups_.upper_bound(beat.groups_version);
  for (; next != groups_.end(); ++next) {
    const auto size = next->second.record.size() + held_overhead;
    if (size > room) return;
    room -= size;
    reply.groups.push_back(next->second);
  }
}

void registry::add_services(const heartbeat& beat, heartbeat_reply& reply,
                            std::size_t& room) const {
  for (const auto& asked : beat.services) {
    // A node with cursors of another epoch asks for full lists by itself,
    // spread over time.
    if (asked.since != 0 && beat.epoch != epoch_) continue;
    auto changes = changes_of(asked, room);
    if (asked.since != 0 && changes.servers.empty() && !changes.restart &&
        !changes.more) {
      continue;
    }
    reply.services.push_back(std::move(changes));
  }
}

auto registry::changes_of(const service_cursor& asked, std::size_t& room) const
    -> service_changes {
  auto out = service_changes{};
  out.service = asked.service;
  out.since = asked.since;
  out.cursor = asked.since == 0 ? last_change_ : asked.since;
  const auto head = asked.service.value.size() + changes_overhead;
  if (room < head) {
    out.cursor = asked.since;
    out.more = true;
    return out;
  }
  room -= head;
  const auto found = services_.find(asked.service);
  if (found == services_.end()) return out;
  const auto& log = found->second;
  out.restart = asked.since != 0 && asked.since < log.floor;
  if (out.restart) return out;
  auto sent = asked.since;
  auto next = log.changes.upper_bound(asked.since);
  for (; next != log.changes.end(); ++next) {
    const auto& [change, server] = *next;
    const auto skip = asked.since == 0 && is_gone(server);
    const auto size = skip ? 0 : message_size(server);
    if (size > room) {
      out.cursor = sent;
      out.more = true;
      return out;
    }
    room -= size;
    if (!skip) out.servers.push_back(server);
    sent = change;
    if (asked.since != 0) out.cursor = change;
  }
  return out;
}

auto registry::on_tick(time_point now)
    -> std::vector<outgoing<digest_request>> {
  expire_leases(now);
  auto out = std::vector<outgoing<digest_request>>{};
  if (now < next_second_) return out;
  next_second_ = now + seconds(1);
  drop_ended(now);
  restart_silent_peers(now);
  find_silent(now);
  for (const auto& x : peers_) {
    out.push_back({x.place.address, {self_.address, x.epoch, x.cursor}});
  }
  return out;
}

void registry::restart_silent_peers(time_point now) {
  for (auto& x : peers_) {
    if (now - x.heard <= options_.member_silence || x.cursor == 0) continue;
    // Its servers may have been taken to be gone; only a full digest brings
    // back those that did not change.
    x.cursor = 0;
    x.complete = false;
    ++x.generation;
  }
}

auto registry::on_digest_request(const digest_request& request, time_point now)
    -> outgoing<domain_digest> {
  auto out = domain_digest{};
  out.member = self_.address;
  out.epoch = epoch_;
  out.since = request.epoch == epoch_ ? request.since : 0;
  out.cursor = out.since;
  out.warming = now - started_ < options_.warm_up;
  auto room = options_.message_bytes;
  auto next = held_.upper_bound(out.since);
  for (; next != held_.end() && !out.more; ++next) {
    const auto& e = entries_.at(next->second);
    const auto size = message_size(e.server) + held_overhead;
    out.more = size > room;
    if (out.more) continue;
    room -= size;
    out.servers.push_back({e.server, e.beat});
    out.cursor = next->first;
  }
  if (!out.more) out.cursor = last_change_;
  for (const auto& [domain, counts] : held_versions()) {
    for (const auto& [version, nodes] : counts) {
      out.versions.push_back(
          {domain, version, static_cast<std::uint32_t>(nodes)});
    }
  }
  return {request.member, std::move(out)};
}

auto registry::on_digest(const domain_digest& digest, time_point now)
    -> std::vector<outgoing<digest_request>> {
  auto* from = find_peer(digest.member);
  if (from == nullptr) return {};
  if (from->epoch != digest.epoch) {
    if (digest.since != 0) return {};
    from->epoch = digest.epoch;
    from->cursor = 0;
    from->complete = false;
    ++from->generation;
  }
  from->heard = now;
  from->warming = digest.warming;
  // A digest that begins after the cursor would leave out changes.
  if (digest.since > from->cursor) return {};
  from->versions = digest.versions;
  for (const auto& x : digest.servers) {
    store(x, digest.member, from->generation, now);
  }
  from->cursor = std::max(from->cursor, digest.cursor);
  if (digest.more) {
    return {{digest.member, {self_.address, from->epoch, from->cursor}}};
  }
  from->complete = true;
  if (!from->warming) end_unlisted(*from, now);
  return {};
}

void registry::store(const held_server& news, const vm_address& holder,
                     std::uint64_t generation, time_point now) {
  auto [found, added] = entries_.try_emplace(news.server.node.address);
  auto& e = found->second;
  const auto old_rank = rank(e.server, e.beat);
  const auto new_rank = rank(news.server, news.beat);
  if (!added && new_rank < old_rank) return;
  if (!added && new_rank == old_rank) {
    if (e.holder == holder) e.generation = generation;
    return;
  }
  const auto changed = added || e.server != news.server;
  const auto moved = e.holder != holder;
  if (!added && e.server.service != news.server.service) leave_service(e, now);
  if (added || e.server.node.start != news.server.node.start) e.version = {};
  e.server = news.server;
  e.beat = news.beat;
  e.holder = holder;
  e.generation = generation;
  e.heard = now;
  if (changed) log_change(e, now);
  if (changed || moved) log_held(e);
}

void registry::log_change(entry& e, time_point now) {
  auto& log = services_[e.server.service];
  log.changes.erase(e.change);
  e.change = ++last_change_;
  log.changes.emplace(e.change, e.server);
  if (is_gone(e.server)) e.ended = now;
}

void registry::log_held(entry& e) {
  held_.erase(e.held_change);
  e.held_change = 0;
  if (e.holder != self_.address) return;
  e.held_change = ++last_change_;
  held_.emplace(e.held_change, e.server.node.address);
}

void registry::unlog(const entry& e) {
  auto& log = services_[e.server.service];
  log.changes.erase(e.change);
  log.floor = std::max(log.floor, e.change);
  held_.erase(e.held_change);
}

void registry::leave_service(const entry& e, time_point now) {
  // Nodes that call only the old service must learn that it left.
  auto& log = services_[e.server.service];
  log.changes.erase(e.change);
  auto last = e.server;
  last.state = server_state::gone;
  last.expired = false;
  log.changes.emplace(++last_change_, last);
  moved_.push_back({e.server.service, last_change_, now});
}

void registry::end(entry& e, time_point now) {
  if (is_gone(e.server)) return;
  e.server.state = server_state::gone;
  e.server.expired = true;
  log_change(e, now);
  log_held(e);
}

void registry::expire_leases(time_point now) {
  for (auto& [address, e] : entries_) {
    if (e.holder != self_.address) continue;
    if (now - e.heard > options_.lease) end(e, now);
  }
}

void registry::drop_ended(time_point now) {
  for (auto i = entries_.begin(); i != entries_.end();) {
    const auto& e = i->second;
    const auto old = is_gone(e.server) && now - e.ended > options_.keep_gone;
    if (old) unlog(e);
    i = old ? entries_.erase(i) : std::next(i);
  }
  while (!moved_.empty() && now - moved_.front().since > options_.keep_gone) {
    auto& log = services_[moved_.front().service];
    log.changes.erase(moved_.front().change);
    log.floor = std::max(log.floor, moved_.front().change);
    moved_.pop_front();
  }
}

void registry::end_unlisted(const peer& from, time_point now) {
  for (auto& [address, e] : entries_) {
    if (e.holder != from.place.address) continue;
    if (e.generation != from.generation) end(e, now);
  }
}

void registry::find_silent(time_point now) {
  auto covered = std::vector<failure_domain>{};
  auto cover = [&](const failure_domain& x) {
    if (!contains(covered, x)) covered.push_back(x);
  };
  if (now - started_ >= options_.warm_up) cover(self_.domain);
  for (const auto& x : peers_) {
    if (is_live(x.place.address, now)) cover(x.place.domain);
  }
  // Nodes of a domain whose member fails turn to other members; when some
  // have, and had time for it, the domain itself is not cut off.
  auto longest = std::map<failure_domain, duration>{};
  for (const auto& x : peers_) {
    longest[x.place.domain] = now - x.heard;
  }
  auto taken_in = std::vector<failure_domain>{};
  for (const auto& [address, e] : entries_) {
    if (is_gone(e.server) || !is_live(e.holder, now)) continue;
    if (longest[e.server.domain] < options_.warm_up) continue;
    if (!contains(taken_in, e.server.domain)) {
      taken_in.push_back(e.server.domain);
    }
  }
  for (const auto& x : taken_in) cover(x);
  silent_.clear();
  auto check = [&](const failure_domain& x) {
    if (!contains(covered, x) && !contains(silent_, x)) silent_.push_back(x);
  };
  check(self_.domain);
  for (const auto& x : peers_) check(x.place.domain);
  for (auto& [address, e] : entries_) {
    const auto silence = silence_of(e.holder, now);
    const auto failed =
        silence > options_.warm_up && !is_silent(e.server.domain);
    if (failed || silence > options_.keep_silent) end(e, now);
  }
}

auto registry::find_peer(const vm_address& member) -> peer* {
  for (auto& x : peers_) {
    if (x.place.address == member) return &x;
  }
  return nullptr;
}

auto registry::is_live(const vm_address& member, time_point now) const -> bool {
  if (member == self_.address) return now - started_ >= options_.warm_up;
  for (const auto& x : peers_) {
    if (x.place.address != member) continue;
    return x.complete && !x.warming && now - x.heard <= options_.member_silence;
  }
  return false;
}

auto registry::silence_of(const vm_address& member, time_point now) const
    -> duration {
  for (const auto& x : peers_) {
    if (x.place.address == member) return now - x.heard;
  }
  return {};
}

auto registry::is_silent(const failure_domain& domain) const -> bool {
  return contains(silent_, domain);
}

void registry::set_configuration(config_version version, std::string text,
                                 config_version base, std::string change) {
  if (version <= config_.version) return;
  const auto follows = !change.empty() && base == config_.version;
  if (!follows) config_changes_.clear();
  if (follows) {
    config_changes_.push_back({base, version, std::move(change)});
  }
  if (config_changes_.size() > options_.kept_changes) {
    config_changes_.pop_front();
  }
  config_ = {{}, version, std::move(text)};
}

void registry::set_group(const std::string& name, group_update update) {
  auto& version = group_versions_[name];
  if (update.version <= version) return;
  groups_.erase(version);
  version = update.version;
  groups_.insert_or_assign(version, std::move(update));
}

auto registry::servers() const -> std::vector<server_record> {
  auto out = std::vector<server_record>{};
  for (const auto& [address, e] : entries_) {
    if (!is_gone(e.server)) out.push_back(e.server);
  }
  return out;
}

auto registry::servers_in(const failure_domain& domain) const
    -> std::vector<server_record> {
  auto out = std::vector<server_record>{};
  for (const auto& [address, e] : entries_) {
    if (e.server.domain == domain) out.push_back(e.server);
  }
  return out;
}

auto registry::held_versions() const -> version_table {
  auto out = version_table{};
  for (const auto& [address, e] : entries_) {
    if (e.holder != self_.address || is_gone(e.server)) continue;
    ++out[e.server.domain][e.version];
  }
  return out;
}

auto registry::versions() const -> version_table {
  auto out = held_versions();
  for (const auto& from : peers_) {
    for (const auto& x : from.versions) out[x.domain][x.version] += x.nodes;
  }
  return out;
}

auto registry::lagging(std::size_t limit) const -> std::vector<lagging_node> {
  auto out = std::vector<lagging_node>{};
  for (const auto& [address, e] : entries_) {
    if (out.size() >= limit) break;
    if (e.holder != self_.address || is_gone(e.server)) continue;
    if (e.version >= config_.version) continue;
    out.push_back({e.server.node, e.server.domain, e.version});
  }
  return out;
}

}  // namespace figwind
