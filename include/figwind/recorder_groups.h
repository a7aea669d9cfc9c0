// Assignment of recorders to the recorder groups of one failure domain, by the
// leader of the control members.

#pragma once

#include <cstdint>
#include <vector>

#include "figwind/membership_messages.h"
#include "figwind/record_messages.h"
#include "figwind/units.h"

namespace figwind {

/// Number of recorders in a group.
constexpr std::size_t recorders_per_group = 3;

/// Options of the assignment.
struct group_options {
  /// Maps keys to groups and therefore must not change during the life of a
  /// deployment.
  std::uint32_t groups_per_domain = 64;
  /// A group that starts without keys refuses keys created within this time
  /// after its start: keys may be 5 s ahead, and clocks may differ by 10 s.
  duration fresh_group_guard = seconds(16);
  /// Incarnations of nodes whose VM no longer exists, as confirmed by an
  /// operator.
  std::vector<node_id> confirmed_lost;
};

/// Returns the records of `domain` that must change, given its `nodes` as kept
/// by the registry (including gone ones) and the records in force; only call it
/// while `domain` is not among the registry's silent domains. A recorder is
/// replaced if it drains, its lease expired or a later incarnation appeared,
/// one recorder at a time in each group. A change in progress is redirected if
/// its joining recorder is gone. A group whose memory is certainly lost (later
/// incarnations or `confirmed_lost` for a majority) restarts without keys.
auto plan_group_changes(const failure_domain& domain,
                        const std::vector<server_record>& nodes,
                        const std::vector<recorder_group>& old,
                        time_point unix_now, const group_options& options)
    -> std::vector<recorder_group>;

/// Returns the record that completes the change in progress of `group` after
/// `done` from its joining recorder; returns `group` if `done` does not match.
auto complete_takeover(const recorder_group& group, const takeover_done& done)
    -> recorder_group;

}  // namespace figwind
