#include "figwind/fleet_subscriber.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

#include "figwind/text_patch.h"

namespace figwind {

fleet_subscriber::fleet_subscriber(subscriber_options options,
                                   const std::vector<vm_address>& seeds,
                                   time_point now)
    : options_{std::move(options)}, started_{now} {
  report_.node = {options_.self, options_.start};
  report_.domain = options_.domain;
  set_seeds(seeds);
}

void fleet_subscriber::set_seeds(const std::vector<vm_address>& seeds) {
  for (auto& [address, x] : members_) x.seed = false;
  for (const auto& seed : seeds) add_member(seed).seed = true;
}

auto fleet_subscriber::add_member(const vm_address& address)
    -> tracked_member& {
  auto [at, added] = members_.try_emplace(address);
  if (added) {
    const auto& self = options_.self.value;
    at->second.rank =
        XXH3_64bits_withSeed(address.value.data(), address.value.size(),
                             XXH3_64bits(self.data(), self.size()));
    at->second.interval = options_.status_interval;
  }
  return at->second;
}

auto fleet_subscriber::members() const -> std::vector<vm_address> {
  auto out = std::vector<vm_address>{};
  for (const auto& [address, x] : members_) out.push_back(address);
  return out;
}

auto fleet_subscriber::is_reachable(const tracked_member& x,
                                    time_point now) const -> bool {
  return x.has_answered &&
         now - x.last_answer < x.interval + options_.reply_timeout;
}

auto fleet_subscriber::reachable_member_count(time_point now) const
    -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(),
      [&](const auto& x) { return is_reachable(x.second, now); }));
}

auto fleet_subscriber::reachable_members(time_point now) const
    -> std::vector<const tracked_member*> {
  auto out = std::vector<const tracked_member*>{};
  for (const auto& [address, x] : members_) {
    if (is_reachable(x, now)) out.push_back(&x);
  }
  const auto order = [&](const tracked_member* x) {
    return std::pair{x->domain != options_.domain, x->rank};
  };
  std::sort(out.begin(), out.end(),
            [&](const auto* a, const auto* b) { return order(a) < order(b); });
  return out;
}

auto fleet_subscriber::frequent_members(time_point now) const
    -> std::vector<const tracked_member*> {
  // One more than needed: the second one takes over from the first.
  constexpr auto count = std::size_t{2};
  auto out = reachable_members(now);
  if (version_.value == 0 || out.size() < count) return {};
  out.resize(count);
  const auto any_current = std::any_of(
      out.begin(), out.end(), [](const auto* x) { return x->has_leader; });
  // Both may be cut off from the others; these know of later changes.
  if (!any_current) return {};
  return out;
}

auto fleet_subscriber::on_tick(time_point now)
    -> std::vector<outgoing<node_status>> {
  auto out = std::vector<outgoing<node_status>>{};
  const auto frequent = frequent_members(now);
  const auto reachable = reachable_members(now);
  const auto* home = reachable.empty() ? nullptr : reachable.front();
  for (auto& [address, x] : members_) {
    const auto is_frequent =
        frequent.empty() ||
        std::find(frequent.begin(), frequent.end(), &x) != frequent.end();
    const auto interval =
        is_frequent ? options_.status_interval : options_.background_interval;
    const auto config_overdue =
        x.newer_version_since &&
        now - *x.newer_version_since > options_.config_request_delay;
    const auto is_home = &x == home;
    const auto is_new_home = is_home && address != home_;
    if (is_home) home_ = address;
    if (now - x.last_status < interval && !config_overdue && !is_new_home) {
      continue;
    }
    x.last_status = now;
    x.interval = interval;
    if (config_overdue) x.newer_version_since = now;
    auto status = node_status{};
    status.report = report_;
    status.interval = interval;
    status.version = needs_whole_text_ ? config_version{} : version_;
    status.wants_config =
        home == nullptr || is_home || version_.value == 0 || config_overdue;
    // The directory grows with the fleet, so only one member sends it.
    status.wants_directory = is_home;
    status.epoch = x.epoch;
    status.cursor = x.cursor;
    out.push_back({address, std::move(status)});
  }
  return out;
}

void fleet_subscriber::on_reachable(const vm_address& member) {
  const auto found = members_.find(member);
  if (found != members_.end()) found->second.last_status = never;
}

void fleet_subscriber::update_members(const member_update& update) {
  auto listed =
      std::set<vm_address>{update.members.begin(), update.members.end()};
  listed.insert(update.member);
  for (const auto& address : listed) add_member(address);
  if (!update.has_leader) return;
  std::erase_if(members_, [&](const auto& x) {
    return !x.second.seed && listed.count(x.first) == 0;
  });
}

auto fleet_subscriber::restore_text(const member_update& update) -> bool {
  const auto from_nothing = update.config_base.value == 0;
  const auto fits = from_nothing || update.config_base == version_;
  auto text = fits ? apply_patch(from_nothing ? std::string{} : text_,
                                 update.config, options_.max_config_bytes)
                   : result<std::string>{findings{}};
  needs_whole_text_ = !ok(text);
  if (ok(text)) text_ = value(std::move(text));
  return !needs_whole_text_;
}

auto fleet_subscriber::on_update(const member_update& update, fleet_view& view,
                                 time_point now) -> update_effect {
  auto out = update_effect{};
  update_members(update);
  auto& x = members_.at(update.member);
  x.has_answered = true;
  x.has_leader = update.has_leader;
  x.last_answer = now;
  x.domain = update.domain;
  x.acknowledged_sequence = update.report_sequence;
  x.acknowledged_start = update.known_start;
  if (update.known_start > report_.node.start) {
    // The clock of the VM was set back since the last start.
    report_.node.start = {update.known_start.value + 1};
    for (auto& [address, m] : members_) m.last_status = never;
    out.incarnation_raised = true;
  }
  if (update.has_directory) {
    x.epoch = update.epoch;
    x.cursor = update.cursor;
  }
  out.directory_changed = view.apply(update);
  x.version = update.version;
  if (update.version <= version_) {
    x.newer_version_since.reset();
    return out;
  }
  const auto may_apply = version_.value != 0 || update.has_leader ||
                         now - started_ > options_.first_config_timeout;
  if (update.config.empty()) {
    if (!x.newer_version_since) x.newer_version_since = now;
    return out;
  }
  if (!may_apply) return out;
  if (!restore_text(update)) {
    out.config_refused = true;
    x.last_status = never;
    return out;
  }
  version_ = update.version;
  out.config = text_;
  for (auto& [address, m] : members_) {
    if (m.version <= version_) m.newer_version_since.reset();
  }
  return out;
}

auto fleet_subscriber::report(const std::optional<announcement>& server,
                              bool accepts_work) -> std::uint64_t {
  report_.accepts_work = accepts_work;
  report_.server = server.value_or(announcement{});
  ++report_.sequence;
  for (auto& [address, x] : members_) x.last_status = never;
  return report_.sequence;
}

auto fleet_subscriber::acknowledgement_count(std::uint64_t sequence) const
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& x) {
        return x.second.acknowledged_start == report_.node.start &&
               x.second.acknowledged_sequence >= sequence;
      }));
}

}  // namespace figwind
