#include "figwind/fleet_directory.h"

#include <utility>

namespace figwind {

auto is_newer(const node_report& a, const node_report& b) -> bool {
  if (a.node.start != b.node.start) return a.node.start > b.node.start;
  return a.number > b.number;
}

auto directory::take(const node_report& report, time_point now) -> bool {
  if (report.number == 0) return false;
  auto [found, added] = entries_.try_emplace(report.node.address);
  auto& x = found->second;
  auto is_old = !added && is_newer(x.shown.report, report);
  if (is_old) return false;
  x.heard = now;
  auto changed = added || x.shown.silent || is_newer(report, x.shown.report);
  if (!changed) return false;
  x.shown = {report, false};
  x.change = ++last_change_;
  return true;
}

auto directory::expire(time_point now) -> bool {
  auto changed = false;
  for (auto at = entries_.begin(); at != entries_.end();) {
    auto& x = at->second;
    const auto age = now - x.heard;
    if (age > options_.keep_silent) {
      at = entries_.erase(at);
      continue;
    }
    if (!x.shown.silent && age > options_.lease) {
      x.shown.silent = true;
      x.change = ++last_change_;
      changed = true;
    }
    ++at;
  }
  return changed;
}

auto directory::changes(std::uint64_t epoch, std::uint64_t cursor) const
    -> std::vector<directory_entry> {
  const auto since = epoch == epoch_ ? cursor : 0;
  auto out = std::vector<directory_entry>{};
  if (since >= last_change_) return out;
  for (const auto& [address, x] : entries_) {
    if (x.change > since) out.push_back(x.shown);
  }
  return out;
}

auto directory::find(const vm_address& node) const -> const node_report* {
  const auto found = entries_.find(node);
  return found == entries_.end() ? nullptr : &found->second.shown.report;
}

auto fleet_view::take(const member_update& update) -> bool {
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

auto fleet_view::serving(const service_name& service) const
    -> std::vector<const directory_entry*> {
  auto out = std::vector<const directory_entry*>{};
  for (const auto& [address, x] : entries_) {
    if (x.report.accepts && x.report.server.service == service) {
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
    if (x.report.accepts) out.insert(x.report.server.service);
  }
  return out;
}

void fleet_view::note_refusing(const vm_address& node) {
  const auto found = entries_.find(node);
  if (found != entries_.end()) found->second.report.accepts = false;
}

}  // namespace figwind
