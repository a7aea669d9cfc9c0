// Directory of nodes and their backend servers: the directory of a control
// member, and the view that a node builds from the updates of control members.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "figwind/fleet_messages.h"

namespace figwind {

struct node_directory_options {
  /// Time without a status after which a node is silent, in intervals between
  /// its statuses: three, plus half of one for delays.
  double lease_intervals = 3.5;
  duration min_status_interval = seconds(1);
  duration max_status_interval = minutes(1);
  /// Time after which a silent node is removed.
  duration silent_retention = minutes(10);
};

/// True if the report names a backend server that drains or has left.
auto is_drained(const node_report& x) -> bool;

/// The directory of one control member. After a restart, the nodes' next
/// statuses rebuild it, except for what it knows of servers that drain: their
/// nodes may have restarted too, so the owner saves and restores it.
class node_directory {
 public:
  /// `epoch` must be nonzero and differ between starts of the member.
  node_directory(std::uint64_t epoch, node_directory_options options)
      : epoch_{epoch}, options_{options} {}

  /// Applies a status of a node; returns true if the directory changed. A
  /// server that drains or has left stays so within one incarnation, also if
  /// its node has forgotten it.
  auto apply(const node_status& status, time_point now) -> bool;

  /// Adds a report that was saved before the start.
  void restore(const node_report& report, time_point now);

  /// The reports to be saved: those of drained servers.
  [[nodiscard]] auto drains() const -> std::vector<node_report>;
  /// Number of drains that were reported so far; the last one has this number.
  [[nodiscard]] auto last_drain() const -> std::uint64_t { return last_drain_; }
  /// Number of the drain in the report of `node`; 0 if it has none.
  [[nodiscard]] auto drain_of(const vm_address& node) const -> std::uint64_t;

  /// Time for which the status is valid.
  [[nodiscard]] auto lease_of(const node_status& status) const -> duration;

  /// Marks nodes as silent; returns true if there are new ones.
  auto expire(time_point now) -> bool;

  /// Entries that changed after `cursor`; all entries if `epoch` is not the
  /// directory's epoch.
  [[nodiscard]] auto changes(std::uint64_t epoch, std::uint64_t cursor) const
      -> std::vector<directory_entry>;

  [[nodiscard]] auto find(const vm_address& node) const -> const node_report*;

  [[nodiscard]] auto epoch() const -> std::uint64_t { return epoch_; }
  [[nodiscard]] auto cursor() const -> std::uint64_t { return last_change_; }

 private:
  struct entry {
    directory_entry published;
    time_point last_report_time;
    duration lease;
    std::uint64_t change = 0;
    std::uint64_t drain = 0;
  };

  void publish(entry& x, const node_report& report, bool silent);

  std::uint64_t epoch_;
  node_directory_options options_;
  std::uint64_t last_change_ = 0;
  std::uint64_t last_drain_ = 0;
  std::unordered_map<vm_address, entry> entries_;
};

/// A node's view of all other nodes.
class fleet_view {
 public:
  /// Applies an update of a control member; returns true if the view changed.
  /// Outdated entries are ignored.
  auto apply(const member_update& update) -> bool;

  /// Newest reports of nodes whose backend server accepts work for `service`,
  /// including silent nodes.
  [[nodiscard]] auto nodes_serving(const service_name& service) const
      -> std::vector<const directory_entry*>;

  [[nodiscard]] auto find(const vm_address& node) const
      -> const directory_entry*;

  /// Names of all services that at least one node serves.
  [[nodiscard]] auto services() const -> std::set<service_name>;
  /// Number of nodes, including silent ones.
  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

  /// Marks a node whose reply refused work; holds until the node's next report.
  void mark_refusing(const vm_address& node);

 private:
  std::map<vm_address, directory_entry> entries_;
};

}  // namespace figwind
