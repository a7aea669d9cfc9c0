#include "figwind/fleet_directory.h"

#include <algorithm>
#include <utility>

namespace figwind {
namespace {

/// `report` with what is known of a drain of the same server.
auto with_drain(node_report report, const node_report& known) -> node_report {
  auto& server = report.server;
  const auto is_same = server.born_ms != 0 &&
                       server.born_ms == known.server.born_ms &&
                       server.server == known.server.server;
  if (is_same && server.state < known.server.state) {
    server.state = known.server.state;
    report.accepts_work = false;
  }
  return report;
}

}  // namespace

auto is_drained(const node_report& x) -> bool {
  return !x.server.server.value.empty() &&
         x.server.state != announced_state::serving;
}

auto is_newer(const node_report& a, const node_report& b) -> bool {
  if (a.node.start != b.node.start) return a.node.start > b.node.start;
  return a.sequence > b.sequence;
}

auto node_directory::lease_of(const node_status& status) const -> duration {
  return std::clamp(status.interval, options_.min_status_interval,
                    options_.max_status_interval) *
         options_.lease_intervals;
}

auto node_directory::apply(const node_status& status, time_point now) -> bool {
  const auto& report = status.report;
  if (report.sequence == 0) return false;
  auto [found, added] = entries_.try_emplace(report.node.address);
  auto& x = found->second;
  auto is_old = !added && is_newer(x.published.report, report);
  if (is_old) return false;
  x.last_report_time = now;
  x.lease = lease_of(status);
  auto changed =
      added || x.published.silent || is_newer(report, x.published.report);
  if (!changed) return false;
  publish(x, with_drain(report, x.published.report), false);
  return true;
}

void node_directory::publish(entry& x, const node_report& report, bool silent) {
  const auto is_news = is_newer(report, x.published.report) || x.drain == 0;
  x.published = {report, silent};
  x.change = ++last_change_;
  if (!is_drained(report)) {
    x.drain = 0;
  } else if (is_news) {
    x.drain = ++last_drain_;
  }
}

void node_directory::restore(const node_report& report, time_point now) {
  auto& x = entries_[report.node.address];
  x.last_report_time = now;
  publish(x, report, true);
}

auto node_directory::drains() const -> std::vector<node_report> {
  auto out = std::vector<node_report>{};
  for (const auto& [address, x] : entries_) {
    if (x.drain != 0) out.push_back(x.published.report);
  }
  return out;
}

auto node_directory::drain_of(const vm_address& node) const -> std::uint64_t {
  const auto found = entries_.find(node);
  return found == entries_.end() ? 0 : found->second.drain;
}

auto node_directory::expire(time_point now) -> bool {
  auto changed = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& x = it->second;
    const auto age = now - x.last_report_time;
    if (age > options_.silent_retention) {
      it = entries_.erase(it);
      continue;
    }
    if (!x.published.silent && age > x.lease) {
      x.published.silent = true;
      x.change = ++last_change_;
      changed = true;
    }
    ++it;
  }
  return changed;
}

auto node_directory::changes(std::uint64_t epoch, std::uint64_t cursor) const
    -> std::vector<directory_entry> {
  const auto since = epoch == epoch_ ? cursor : 0;
  auto out = std::vector<directory_entry>{};
  if (since >= last_change_) return out;
  for (const auto& [address, x] : entries_) {
    if (x.change > since) out.push_back(x.published);
  }
  return out;
}

auto node_directory::find(const vm_address& node) const -> const node_report* {
  const auto found = entries_.find(node);
  return found == entries_.end() ? nullptr : &found->second.published.report;
}

auto fleet_view::apply(const member_update& update) -> bool {
  auto changed = false;
  for (const auto& x : update.entries) {
    auto [found, added] = entries_.try_emplace(x.report.node.address, x);
    if (added) {
      changed = true;
      continue;
    }
    auto& known = found->second;
    if (is_newer(known.report, x.report)) continue;
    const auto same_report = !is_newer(x.report, known.report);
    if (same_report && known.silent == x.silent) continue;
    known = x;
    changed = true;
  }
  return changed;
}

auto fleet_view::nodes_serving(const service_name& service) const
    -> std::vector<const directory_entry*> {
  auto out = std::vector<const directory_entry*>{};
  for (const auto& [address, x] : entries_) {
    if (x.report.accepts_work && x.report.server.service == service) {
      out.push_back(&x);
    }
  }
  return out;
}

auto fleet_view::find(const vm_address& node) const -> const directory_entry* {
  const auto found = entries_.find(node);
  return found == entries_.end() ? nullptr : &found->second;
}

auto fleet_view::services() const -> std::set<service_name> {
  auto out = std::set<service_name>{};
  for (const auto& [address, x] : entries_) {
    if (x.report.accepts_work) out.insert(x.report.server.service);
  }
  return out;
}

void fleet_view::mark_refusing(const vm_address& node) {
  const auto found = entries_.find(node);
  if (found != entries_.end()) found->second.report.accepts_work = false;
}

}  // namespace figwind
