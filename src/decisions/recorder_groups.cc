#include "figwind/recorder_groups.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace figwind {

namespace {

using node_map = std::map<vm_address, server_record>;

auto hash(const failure_domain& domain, std::uint32_t index,
          const vm_address& node) -> std::uint64_t {
  const auto seed = XXH64(domain.value.data(), domain.value.size(), index);
  return XXH64(node.value.data(), node.value.size(), seed);
}

auto can_record(const server_record& x) -> bool {
  return x.state == server_state::starting || x.state == server_state::serving;
}

auto must_be_replaced(const node_map& nodes, const node_id& x) -> bool {
  const auto found = nodes.find(x.address);
  if (found == nodes.end()) return true;
  const auto& current = found->second;
  return current.node.start > x.start || !can_record(current);
}

/// A later incarnation at the same address proves that the memory of `x` is
/// lost; an expired lease may only mean a partition.
auto is_memory_lost(const node_map& nodes, const node_id& x,
                    const group_options& options) -> bool {
  const auto& returned = options.confirmed_lost;
  if (std::find(returned.begin(), returned.end(), x) != returned.end()) {
    return true;
  }
  const auto found = nodes.find(x.address);
  return found != nodes.end() && found->second.node.start > x.start;
}

/// Nodes that may record for the group, in order of preference.
auto candidates(const node_map& nodes, const failure_domain& domain,
                std::uint32_t index) -> std::vector<node_id> {
  auto out = std::vector<node_id>{};
  for (const auto& [address, x] : nodes) {
    if (can_record(x)) out.push_back(x.node);
  }
  std::sort(out.begin(), out.end(), [&](const auto& a, const auto& b) {
    return hash(domain, index, a.address) > hash(domain, index, b.address);
  });
  return out;
}

auto make_group(const failure_domain& domain, std::uint32_t index,
                const node_map& nodes) -> recorder_group {
  auto out = recorder_group{};
  out.domain = domain;
  out.index = index;
  out.epoch = 1;
  out.recorders = candidates(nodes, domain, index);
  if (out.recorders.size() > recorders_per_group) {
    out.recorders.resize(recorders_per_group);
  }
  return out;
}

void choose_replacement(recorder_group& group, const node_map& nodes,
                        const node_id& leaving) {
  for (const auto& x : candidates(nodes, group.domain, group.index)) {
    const auto& all = group.recorders;
    if (std::find(all.begin(), all.end(), x) != all.end()) continue;
    group.joining = x;
    group.leaving = leaving;
    return;
  }
}

auto update_group(const recorder_group& old, const node_map& nodes,
                  time_point unix_now, const group_options& options)
    -> recorder_group {
  auto out = old;
  const auto lost_count = std::count_if(
      old.recorders.begin(), old.recorders.end(),
      [&](const auto& x) { return is_memory_lost(nodes, x, options); });
  if (static_cast<std::size_t>(lost_count) > old.recorders.size() / 2) {
    auto restarted = make_group(old.domain, old.index, nodes);
    if (restarted.recorders.size() < recorders_per_group) return out;
    restarted.version = old.version;
    restarted.epoch = old.epoch + 1;
    restarted.min_creation_ms = (unix_now + options.fresh_group_guard).ms;
    return restarted;
  }
  const auto change_in_progress = !old.joining.address.value.empty();
  if (change_in_progress) {
    if (must_be_replaced(nodes, old.joining))
      choose_replacement(out, nodes, old.leaving);
    return out;
  }
  for (const auto& x : old.recorders) {
    if (!must_be_replaced(nodes, x)) continue;
    choose_replacement(out, nodes, x);
    break;
  }
  return out;
}

}  // namespace

auto plan_group_changes(const failure_domain& domain,
                        const std::vector<server_record>& nodes,
                        const std::vector<recorder_group>& old,
                        time_point unix_now, const group_options& options)
    -> std::vector<recorder_group> {
  auto by_address = node_map{};
  for (const auto& x : nodes) {
    if (x.domain == domain) by_address[x.node.address] = x;
  }
  auto existing = std::map<std::uint32_t, const recorder_group*>{};
  for (const auto& x : old) {
    if (x.domain == domain) existing[x.index] = &x;
  }
  auto out = std::vector<recorder_group>{};
  for (std::uint32_t i = 0; i < options.groups_per_domain; ++i) {
    const auto found = existing.find(i);
    if (found != existing.end()) {
      auto next = update_group(*found->second, by_address, unix_now, options);
      if (next != *found->second) out.push_back(std::move(next));
      continue;
    }
    auto added = make_group(domain, i, by_address);
    if (added.recorders.size() == recorders_per_group) {
      out.push_back(std::move(added));
    }
  }
  return out;
}

auto complete_takeover(const recorder_group& group, const takeover_done& done)
    -> recorder_group {
  const auto matches =
      done.domain == group.domain && done.group == group.index &&
      done.epoch == group.epoch && done.version == group.version &&
      done.joining == group.joining && !done.joining.address.value.empty();
  if (!matches) return group;
  auto out = group;
  out.epoch = group.epoch + 1;
  out.joined = group.joining;
  for (auto& x : out.recorders) {
    if (x == group.leaving) x = group.joining;
  }
  out.joining = {};
  out.leaving = {};
  return out;
}

}  // namespace figwind
