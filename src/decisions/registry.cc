#include "figwind/registry.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace figwind {

namespace {

/// Length prefixes and flags of the changes of one service, in bytes.
constexpr std::size_t changes_overhead_bytes = 32;
/// Sequence number and list overhead of an owned server, in bytes.
constexpr std::size_t owned_server_overhead_bytes = 8;

auto rank(const server_record& server, std::uint64_t sequence) {
  return std::tuple{server.node.start, sequence, server.state};
}

auto is_gone(const server_record& x) -> bool {
  return x.state == server_state::gone;
}

auto contains(const std::vector<failure_domain>& all, const failure_domain& x)
    -> bool {
  return std::find(all.begin(), all.end(), x) != all.end();
}

}  // namespace

registry::registry(member_location self, std::vector<member_location> members,
                   std::uint64_t epoch, registry_options options,
                   time_point now)
    : self_{std::move(self)},
      epoch_{epoch},
      options_{options},
      started_{now},
      next_digest_round_{now},
      list_bytes_left_{options.max_list_bytes_per_second},
      last_refill_{now} {
  for (auto& member : members) {
    if (!contains(silent_domains_, member.domain))
      silent_domains_.push_back(member.domain);
    if (member.address == self_.address) continue;
    auto added = peer{};
    added.member = std::move(member);
    added.last_digest_time = now;
    peers_.push_back(std::move(added));
  }
}

auto registry::on_heartbeat(const heartbeat& message, time_point now)
    -> outgoing<heartbeat_reply> {
  refill_list_budget(now);
  merge({message.self, message.sequence}, self_owner, 0, now);
  auto& e = entries_[message.self.node.address];
  if (e.server.node == message.self.node) e.version = message.version;
  return {message.self.node.address, make_reply(message)};
}

void registry::refill_list_budget(time_point now) {
  const auto added = (now - last_refill_) / seconds(1);
  last_refill_ = now;
  list_bytes_left_ =
      std::min(options_.max_list_bytes_per_second,
               list_bytes_left_ + added * options_.max_list_bytes_per_second);
}

auto registry::make_reply(const heartbeat& message) -> heartbeat_reply {
  auto reply = heartbeat_reply{};
  reply.member = self_.address;
  reply.leader = leader_;
  reply.sequence = message.sequence;
  reply.epoch = epoch_;
  reply.silent_domains = silent_domains_;
  auto bytes_left = options_.max_message_bytes;
  add_configs(message, reply, bytes_left);
  add_groups(message, reply, bytes_left);
  add_services(message, reply, bytes_left);
  return reply;
}

void registry::add_configs(const heartbeat& message, heartbeat_reply& reply,
                           std::size_t& bytes_left) const {
  if (message.received_version >= config_.version) return;
  auto first = std::find_if(config_changes_.begin(), config_changes_.end(),
                            [&](const auto& change) {
                              return change.base == message.received_version;
                            });
  auto size = std::size_t{0};
  for (auto i = first; i != config_changes_.end(); ++i) size += i->text.size();
  if (first != config_changes_.end() &&
      size <= std::min(bytes_left, config_.text.size())) {
    reply.configs.assign(first, config_changes_.end());
  } else {
    reply.configs.push_back(config_);
    size = config_.text.size();
  }
  // A text above the limit is sent alone: the envelope holds up to 1 MiB.
  bytes_left -= std::min(bytes_left, size);
}

void registry::add_groups(const heartbeat& message, heartbeat_reply& reply,
                          std::size_t& bytes_left) const {
  auto next = groups_.upper_bound(message.groups_version);
  for (; next != groups_.end(); ++next) {
    const auto size = next->second.record.size() + owned_server_overhead_bytes;
    if (size > bytes_left) return;
    bytes_left -= size;
    reply.groups.push_back(next->second);
  }
}

void registry::add_services(const heartbeat& message, heartbeat_reply& reply,
                            std::size_t& bytes_left) {
  for (const auto& cursor : message.services) {
    // A node with cursors of another epoch requests full lists itself, at a
    // random time.
    if (cursor.since != 0 && message.epoch != epoch_) continue;
    const auto bytes_before = bytes_left;
    auto changes = changes_since(cursor, bytes_left);
    // A change of a single server, such as a drain, is sent at once.
    if (list_bytes_left_ <= 0 && changes.servers.size() > 1) {
      bytes_left = bytes_before;
      continue;
    }
    list_bytes_left_ -= static_cast<double>(bytes_before - bytes_left);
    if (cursor.since != 0 && changes.servers.empty() &&
        !changes.resync_required && !changes.truncated) {
      continue;
    }
    reply.services.push_back(std::move(changes));
  }
}

auto registry::changes_since(const service_cursor& cursor,
                             std::size_t& bytes_left) const -> service_changes {
  auto out = service_changes{};
  out.service = cursor.service;
  out.since = cursor.since;
  out.cursor = cursor.since == 0 ? last_change_ : cursor.since;
  const auto header_size = cursor.service.value.size() + changes_overhead_bytes;
  if (bytes_left < header_size) {
    out.cursor = cursor.since;
    out.truncated = true;
    return out;
  }
  bytes_left -= header_size;
  const auto found = services_.find(cursor.service);
  if (found == services_.end()) return out;
  const auto& log = found->second;
  out.resync_required =
      cursor.since != 0 && cursor.since < log.compacted_through;
  if (out.resync_required) return out;
  auto last_sent = cursor.since;
  auto next = log.changes.upper_bound(cursor.since);
  for (; next != log.changes.end(); ++next) {
    const auto& [change, server] = *next;
    const auto skip = cursor.since == 0 && is_gone(server);
    const auto size = skip ? 0 : message_size(server);
    if (size > bytes_left) {
      out.cursor = last_sent;
      out.truncated = true;
      return out;
    }
    bytes_left -= size;
    if (!skip) out.servers.push_back(server);
    last_sent = change;
    if (cursor.since != 0) out.cursor = change;
  }
  return out;
}

auto registry::on_tick(time_point now)
    -> std::vector<outgoing<digest_request>> {
  if (now >= next_expiry_) {
    next_expiry_ = now + milliseconds(200);
    expire_leases(now);
  }
  auto out = std::vector<outgoing<digest_request>>{};
  if (now < next_digest_round_) return out;
  next_digest_round_ = now + seconds(1);
  remove_gone(now);
  resync_silent_peers(now);
  update_silent_domains(now);
  mark_unreachable_gone(now);
  for (const auto& x : peers_) {
    out.push_back({x.member.address, {self_.address, x.epoch, x.cursor}});
  }
  return out;
}

void registry::resync_silent_peers(time_point now) {
  for (auto& x : peers_) {
    if (now - x.last_digest_time <= options_.member_timeout || x.cursor == 0)
      continue;
    // Servers of the peer may have been marked gone; only a full digest
    // restores those that did not change.
    x.cursor = 0;
    x.digest_complete = false;
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
  out.warming_up = now - started_ < options_.warm_up;
  auto bytes_left = options_.max_message_bytes;
  auto next = owned_changes_.upper_bound(out.since);
  for (; next != owned_changes_.end() && !out.truncated; ++next) {
    const auto& e = entries_.at(next->second);
    const auto size = message_size(e.server) + owned_server_overhead_bytes;
    out.truncated = size > bytes_left;
    if (out.truncated) continue;
    bytes_left -= size;
    out.servers.push_back({e.server, e.sequence});
    out.cursor = next->first;
  }
  if (!out.truncated) out.cursor = last_change_;
  for (const auto& [domain, counts] : owned_versions()) {
    for (const auto& [version, nodes] : counts) {
      out.versions.push_back(
          {domain, version, static_cast<std::uint32_t>(nodes)});
    }
  }
  return {request.member, std::move(out)};
}

auto registry::on_digest(const domain_digest& digest, time_point now)
    -> std::vector<outgoing<digest_request>> {
  const auto index = find_peer(digest.member);
  if (index == self_owner) return {};
  auto& sender = peers_[index];
  if (sender.epoch != digest.epoch) {
    if (digest.since != 0) return {};
    sender.epoch = digest.epoch;
    sender.cursor = 0;
    sender.digest_complete = false;
    ++sender.generation;
  }
  sender.last_digest_time = now;
  sender.warming_up = digest.warming_up;
  // A digest that starts after the cursor would skip changes.
  if (digest.since > sender.cursor) return {};
  sender.versions = digest.versions;
  for (const auto& x : digest.servers) merge(x, index, sender.generation, now);
  sender.cursor = std::max(sender.cursor, digest.cursor);
  if (digest.truncated) {
    return {{digest.member, {self_.address, sender.epoch, sender.cursor}}};
  }
  sender.digest_complete = true;
  if (!sender.warming_up) mark_unlisted_gone(index, now);
  return {};
}

void registry::merge(const owned_server& update, std::size_t owner,
                     std::uint64_t generation, time_point now) {
  auto [found, added] = entries_.try_emplace(update.server.node.address);
  auto& e = found->second;
  const auto old_rank = rank(e.server, e.sequence);
  const auto new_rank = rank(update.server, update.sequence);
  if (!added && new_rank < old_rank) return;
  if (!added && new_rank == old_rank) {
    if (e.owner == owner) e.generation = generation;
    return;
  }
  const auto changed = added || e.server != update.server;
  const auto moved = e.owner != owner;
  if (!added && e.server.service != update.server.service)
    log_departure(e, now);
  if (added || e.server.node.start != update.server.node.start) e.version = {};
  e.server = update.server;
  e.sequence = update.sequence;
  e.owner = owner;
  e.generation = generation;
  e.last_update_time = now;
  if (changed) log_change(e, now);
  if (changed || moved) log_owned(e);
}

void registry::log_change(entry& e, time_point now) {
  auto& log = services_[e.server.service];
  log.changes.erase(e.service_change);
  e.service_change = ++last_change_;
  log.changes.emplace(e.service_change, e.server);
  if (is_gone(e.server)) e.gone_since = now;
}

void registry::log_owned(entry& e) {
  owned_changes_.erase(e.owned_change);
  e.owned_change = 0;
  if (e.owner != self_owner) return;
  e.owned_change = ++last_change_;
  owned_changes_.emplace(e.owned_change, e.server.node.address);
}

void registry::remove_from_logs(const entry& e) {
  auto& log = services_[e.server.service];
  log.changes.erase(e.service_change);
  log.compacted_through = std::max(log.compacted_through, e.service_change);
  owned_changes_.erase(e.owned_change);
}

void registry::log_departure(const entry& e, time_point now) {
  // Nodes that call only the former service must see that the server left it.
  auto& log = services_[e.server.service];
  log.changes.erase(e.service_change);
  auto departed = e.server;
  departed.state = server_state::gone;
  departed.expired = false;
  log.changes.emplace(++last_change_, departed);
  moved_.push_back({e.server.service, last_change_, now});
}

void registry::mark_gone(entry& e, time_point now) {
  if (is_gone(e.server)) return;
  e.server.state = server_state::gone;
  e.server.expired = true;
  log_change(e, now);
  log_owned(e);
}

void registry::expire_leases(time_point now) {
  for (auto& [address, e] : entries_) {
    if (e.owner != self_owner) continue;
    if (now - e.last_update_time > options_.lease) mark_gone(e, now);
  }
}

void registry::remove_gone(time_point now) {
  for (auto i = entries_.begin(); i != entries_.end();) {
    const auto& e = i->second;
    const auto expired =
        is_gone(e.server) && now - e.gone_since > options_.gone_retention;
    if (expired) remove_from_logs(e);
    i = expired ? entries_.erase(i) : std::next(i);
  }
  while (!moved_.empty() &&
         now - moved_.front().moved_at > options_.gone_retention) {
    auto& log = services_[moved_.front().service];
    log.changes.erase(moved_.front().change);
    log.compacted_through =
        std::max(log.compacted_through, moved_.front().change);
    moved_.pop_front();
  }
}

void registry::mark_unlisted_gone(std::size_t owner, time_point now) {
  auto& sender = peers_[owner];
  if (sender.swept_generation == sender.generation) return;
  sender.swept_generation = sender.generation;
  for (auto& [address, e] : entries_) {
    if (e.owner != owner) continue;
    if (e.generation != sender.generation) mark_gone(e, now);
  }
}

void registry::update_silent_domains(time_point now) {
  const auto covered = covered_domains(now);
  silent_domains_.clear();
  auto add_unless_covered = [&](const failure_domain& x) {
    if (!contains(covered, x) && !contains(silent_domains_, x))
      silent_domains_.push_back(x);
  };
  add_unless_covered(self_.domain);
  for (const auto& x : peers_) add_unless_covered(x.member.domain);
}

auto registry::covered_domains(time_point now) const
    -> std::vector<failure_domain> {
  auto out = std::vector<failure_domain>{};
  if (has_current_list(self_owner, now)) out.push_back(self_.domain);
  auto failed_domains = std::vector<failure_domain>{};
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const auto& x = peers_[i];
    if (has_current_list(i, now)) out.push_back(x.member.domain);
    if (now - x.last_digest_time >= options_.warm_up)
      failed_domains.push_back(x.member.domain);
  }
  if (failed_domains.empty()) return out;
  // Nodes of a domain whose member fails switch to other members. If some have
  // done so, given enough time, the domain itself is not partitioned.
  for (const auto& [address, e] : entries_) {
    if (is_gone(e.server) || !has_current_list(e.owner, now)) continue;
    const auto& domain = e.server.domain;
    if (contains(failed_domains, domain) && !contains(out, domain)) {
      out.push_back(domain);
    }
  }
  return out;
}

void registry::mark_unreachable_gone(time_point now) {
  for (auto& [address, e] : entries_) {
    if (e.owner == self_owner) continue;
    const auto silence = now - peers_[e.owner].last_digest_time;
    if (silence <= options_.warm_up) continue;
    const auto owner_failed = !is_silent(e.server.domain);
    if (owner_failed || silence > options_.silent_retention) mark_gone(e, now);
  }
}

auto registry::find_peer(const vm_address& member) const -> std::size_t {
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (peers_[i].member.address == member) return i;
  }
  return self_owner;
}

auto registry::has_current_list(std::size_t owner, time_point now) const
    -> bool {
  if (owner == self_owner) return now - started_ >= options_.warm_up;
  const auto& x = peers_[owner];
  return x.digest_complete && !x.warming_up &&
         now - x.last_digest_time <= options_.member_timeout;
}

auto registry::is_silent(const failure_domain& domain) const -> bool {
  return contains(silent_domains_, domain);
}

void registry::set_configuration(config_version version, std::string text,
                                 config_version base, std::string change) {
  if (version <= config_.version) return;
  const auto follows = !change.empty() && base == config_.version;
  if (!follows) config_changes_.clear();
  if (follows) {
    config_changes_.push_back({base, version, std::move(change)});
  }
  if (config_changes_.size() > options_.max_config_changes) {
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

auto registry::owned_versions() const -> version_table {
  auto out = version_table{};
  for (const auto& [address, e] : entries_) {
    if (e.owner != self_owner || is_gone(e.server)) continue;
    ++out[e.server.domain][e.version];
  }
  return out;
}

auto registry::versions() const -> version_table {
  auto out = owned_versions();
  for (const auto& sender : peers_) {
    for (const auto& x : sender.versions) out[x.domain][x.version] += x.nodes;
  }
  return out;
}

auto registry::lagging_nodes(std::size_t limit) const
    -> std::vector<lagging_node> {
  auto out = std::vector<lagging_node>{};
  for (const auto& [address, e] : entries_) {
    if (out.size() >= limit) break;
    if (e.owner != self_owner || is_gone(e.server)) continue;
    if (e.version >= config_.version) continue;
    out.push_back({e.server.node, e.server.domain, e.version});
  }
  return out;
}

}  // namespace figwind
