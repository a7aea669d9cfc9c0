#include "figwind/connection_pool.h"

#include <algorithm>
#include <cmath>

namespace figwind {

namespace {

/// Maximum number of calls in one probe.
constexpr auto max_calls_per_probe = std::size_t{64};
/// Delay before the next attempt after a connection could not be opened.
constexpr auto open_retry_delay = milliseconds(100);

auto make_close_action(const node_id& server, connection_number number)
    -> pool_action {
  auto out = pool_action{};
  out.kind = pool_action_kind::close;
  out.server = server;
  out.connection = number;
  return out;
}

}  // namespace

connection_pool::connection_pool(connection_pool_settings settings)
    : settings_{settings} {}

void connection_pool::set_server(const node_id& server, int connections,
                                 int entry_nodes) {
  auto& p = pools_[server];
  // One connection of the share stays free for probes, which need a new one.
  p.limit = std::max(connections / std::max(entry_nodes, 1) - 1, 1);
  p.removed = false;
}

auto connection_pool::remove_server(const node_id& server) -> pool_actions {
  auto out = pool_actions{};
  const auto found = pools_.find(server);
  if (found == pools_.end()) return out;
  auto& p = found->second;
  p.removed = true;
  for (const auto number : std::vector(p.idle)) {
    out.push_back(make_close_action(server, number));
    forget(number);
  }
  if (p.busy.empty()) pools_.erase(found);
  return out;
}

auto connection_pool::on_opened(const node_id& server, time_point now)
    -> connection_number {
  const auto found = pools_.find(server);
  if (found == pools_.end()) return 0;
  auto& p = found->second;
  if (p.opening > 0) --p.opening;
  const auto number = next_connection_++;
  auto& c = connections_[number];
  c.server = server;
  c.opened = now;
  c.last_activity = now;
  p.idle.push_back(number);
  return number;
}

void connection_pool::on_open_failed(const node_id& server, time_point now) {
  const auto found = pools_.find(server);
  if (found == pools_.end()) return;
  auto& p = found->second;
  if (p.opening > 0) --p.opening;
  p.retry_open_at = now + open_retry_delay;
}

auto connection_pool::acquire(const node_id& server, const probed_call& call,
                              time_point now) -> connection_number {
  const auto found = pools_.find(server);
  if (found == pools_.end() || found->second.removed) return 0;
  auto& p = found->second;
  if (p.idle.empty()) {
    ++p.unmet_demand;
    return 0;
  }
  // The most recently active connection is the least likely to be silent.
  const auto number = p.idle.back();
  p.idle.pop_back();
  p.busy.push_back(number);
  auto& c = connections_[number];
  c.in_use = true;
  c.probe_pending = false;
  c.answer_sent = false;
  c.call = call;
  c.acquired = now;
  c.last_activity = now;
  c.next_probe = now;
  track_use(p, now);
  return number;
}

void connection_pool::on_progress(connection_number connection,
                                  time_point now) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  found->second.last_activity = now;
  found->second.answer_sent = false;
}

auto connection_pool::release(connection_number connection, time_point now)
    -> pool_actions {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || !found->second.in_use) return {};
  auto& c = found->second;
  auto& p = pools_[c.server];
  const auto latency_ms = (now - c.acquired).ms;
  // Weights of the deviation and mean as for the round-trip time of TCP (RFC
  // 6298).
  if (p.mean_ms == 0) {
    p.mean_ms = latency_ms;
    p.deviation_ms = latency_ms / 2;
  } else {
    p.deviation_ms += (std::abs(latency_ms - p.mean_ms) - p.deviation_ms) / 16;
    p.mean_ms += (latency_ms - p.mean_ms) / 16;
  }
  c.in_use = false;
  c.probe_pending = false;
  c.last_activity = now;
  std::erase(p.busy, connection);
  p.idle.push_back(connection);
  if (!p.removed) return {};
  const auto server = c.server;
  forget(connection);
  return {make_close_action(server, connection)};
}

void connection_pool::on_connection_lost(connection_number connection) {
  forget(connection);
}

void connection_pool::forget(connection_number number) {
  const auto found = connections_.find(number);
  if (found == connections_.end()) return;
  const auto at = pools_.find(found->second.server);
  connections_.erase(found);
  if (at == pools_.end()) return;
  auto& p = at->second;
  std::erase(p.idle, number);
  std::erase(p.busy, number);
}

void connection_pool::track_use(pool& p, time_point now) {
  const auto use = static_cast<double>(p.busy.size()) + p.unmet_demand;
  const auto decay =
      std::exp(-((now - p.peak_at) / settings_.peak_time_constant));
  p.peak = std::max(use, use + (p.peak - use) * decay);
  p.peak_at = now;
}

auto connection_pool::target_size(const pool& p) const -> int {
  // 25% covers the growth until the next tick when demand grows 4x in 2 s.
  constexpr auto headroom = 1.25;
  const auto count = static_cast<int>(std::ceil(p.peak * headroom)) + 1;
  return std::min(count, p.limit);
}

auto connection_pool::quiet_limit(const pool& p) const -> duration {
  if (p.mean_ms == 0) return {};
  const auto usual = p.mean_ms + 4 * p.deviation_ms;
  return {std::max(usual, settings_.probe_time.ms)};
}

auto connection_pool::tick(time_point now) -> pool_actions {
  auto out = pool_actions{};
  for (auto at = pools_.begin(); at != pools_.end();) {
    auto& [server, p] = *at;
    track_use(p, now);
    replace_overdue(p, now, out);
    probe_quiet(server, p, now, out);
    if (p.removed && p.busy.empty()) {
      at = pools_.erase(at);
      continue;
    }
    resize(server, p, now, out);
    p.unmet_demand = 0;
    ++at;
  }
  return out;
}

void connection_pool::resize(const node_id& server, pool& p, time_point now,
                             pool_actions& out) {
  if (p.removed) return;
  const auto open = p.idle.size() + p.busy.size();
  auto missing = target_size(p) - static_cast<int>(open) - p.opening;
  for (; missing > 0 && now >= p.retry_open_at; --missing) {
    ++p.opening;
    auto action = pool_action{};
    action.server = server;
    out.push_back(std::move(action));
  }
  for (; missing < 0 && !p.idle.empty(); ++missing) {
    const auto least_used = p.idle.front();
    out.push_back(make_close_action(server, least_used));
    forget(least_used);
  }
}

void connection_pool::probe_quiet(const node_id& server, pool& p,
                                  time_point now, pool_actions& out) {
  const auto limit = quiet_limit(p);
  if (p.probing || limit.ms == 0) return;
  auto action = pool_action{};
  action.kind = pool_action_kind::probe;
  action.server = server;
  for (const auto number : p.busy) {
    auto& c = connections_[number];
    const auto probe_after = c.suspect ? settings_.probe_time : limit;
    if (now - c.last_activity < probe_after || now < c.next_probe) continue;
    if (c.answer_sent) continue;
    if (action.calls.size() == max_calls_per_probe) break;
    c.probe_pending = true;
    c.suspect = false;
    action.calls.push_back(c.call);
    action.connections.push_back(number);
  }
  if (action.calls.empty()) return;
  p.probing = true;
  out.push_back(std::move(action));
}

auto connection_pool::on_probe_reply(
    const node_id& server, const std::vector<connection_number>& connections,
    const probe_reply& reply, time_point now) -> pool_actions {
  auto out = pool_actions{};
  const auto found = pools_.find(server);
  if (found == pools_.end()) return out;
  auto& p = found->second;
  p.probing = false;
  const auto count = std::min(connections.size(), reply.calls.size());
  for (auto i = std::size_t{0}; i < count; ++i) {
    const auto at = connections_.find(connections[i]);
    // The call may have ended meanwhile and the connection may serve another
    // one.
    if (at == connections_.end() || !at->second.probe_pending) continue;
    auto& c = at->second;
    c.probe_pending = false;
    if (reply.calls[i] == probe_result::never_arrived) {
      replace_silent(p, connections[i], now, out);
    } else if (reply.calls[i] == probe_result::answered) {
      // The answer may still be in transit.
      c.answer_sent = true;
      c.answer_due = now + settings_.probe_time;
    } else {
      c.next_probe = now + (now - c.acquired);
    }
  }
  return out;
}

void connection_pool::on_probe_failed(const node_id& server, time_point now) {
  const auto found = pools_.find(server);
  if (found == pools_.end()) return;
  auto& p = found->second;
  p.probing = false;
  for (const auto number : p.busy) {
    auto& c = connections_[number];
    if (c.probe_pending) c.next_probe = now + quiet_limit(p);
    c.probe_pending = false;
  }
}

void connection_pool::replace_overdue(pool& p, time_point now,
                                      pool_actions& out) {
  for (const auto number : std::vector(p.busy)) {
    const auto found = connections_.find(number);
    if (found == connections_.end()) continue;
    const auto& c = found->second;
    if (c.answer_sent && now >= c.answer_due)
      replace_silent(p, number, now, out);
  }
}

void connection_pool::replace_silent(pool& p, connection_number silent,
                                     time_point now, pool_actions& out) {
  const auto c = connections_[silent];
  out.push_back(make_close_action(c.server, silent));
  forget(silent);
  const auto same_age = [&](const connection& peer) {
    return std::abs((peer.opened - c.opened).ms) <=
           settings_.same_age_window.ms;
  };
  for (const auto number : std::vector(p.idle)) {
    const auto& peer = connections_[number];
    if (!same_age(peer) && peer.last_activity > c.acquired) continue;
    out.push_back(make_close_action(c.server, number));
    forget(number);
  }
  for (const auto number : p.busy) {
    auto& peer = connections_[number];
    if (!same_age(peer)) continue;
    peer.suspect = true;
    peer.next_probe = now;
  }
  resize(c.server, p, now, out);
}

auto connection_pool::open_count(const node_id& server) const -> int {
  const auto found = pools_.find(server);
  if (found == pools_.end()) return 0;
  const auto& p = found->second;
  return static_cast<int>(p.idle.size() + p.busy.size()) + p.opening;
}

auto connection_pool::used_count(const node_id& server) const -> int {
  const auto found = pools_.find(server);
  if (found == pools_.end()) return 0;
  return static_cast<int>(found->second.busy.size());
}

auto connection_pool::quiet_limit(const node_id& server) const -> duration {
  const auto found = pools_.find(server);
  return found == pools_.end() ? duration{} : quiet_limit(found->second);
}

}  // namespace figwind
