#include "figwind/announcement.h"

#include <algorithm>
#include <utility>

namespace figwind {
namespace {

// Departures are kept to reject late announcements, which arrive within
// seconds.
constexpr std::size_t max_departures = 256;

// Largest difference between the clocks of a server and its node.
constexpr auto max_clock_difference = minutes(60);

}  // namespace

auto to_string(announced_state x) -> std::string {
  switch (x) {
    case announced_state::serving:
      return "serving";
    case announced_state::draining:
      return "draining";
    case announced_state::left:
      break;
  }
  return "left";
}

auto to_string(announcement_effect x) -> std::string {
  switch (x) {
    case announcement_effect::stale:
      return "stale";
    case announcement_effect::refreshed:
      return "refreshed";
    case announcement_effect::changed:
      return "changed";
    case announcement_effect::foreign:
      break;
  }
  return "foreign";
}

auto has_plausible_start(const announcement& x, time_point unix_now) -> bool {
  const auto latest = unix_now + max_clock_difference;
  return static_cast<double>(x.born_ms) <= latest.ms;
}

auto announcement_tracker::is_newer(const announcement& x) const -> bool {
  if (!current_) return true;
  if (x.born_ms != current_->born_ms) return x.born_ms > current_->born_ms;
  // Without start times, only the names distinguish two servers.
  if (x.server != current_->server) return x.sequence >= current_->sequence;
  return x.sequence > current_->sequence;
}

auto announcement_tracker::is_current(const server_name& server,
                                      std::int64_t born_ms) const -> bool {
  return current_ && current_->server == server && current_->born_ms == born_ms;
}

auto announcement_tracker::apply(const announcement& x, time_point now)
    -> announcement_effect {
  if (x.address != address_) return announcement_effect::foreign;
  const auto departure = departures_.find(x.server);
  if (departure != departures_.end() && x.born_ms <= departure->second) {
    return announcement_effect::stale;
  }
  // Within one incarnation, a server goes from serving to draining to left and
  // never back, in whichever order its announcements arrive.
  const auto is_same = is_current(x.server, x.born_ms);
  if (is_same && x.state < current_->state) return announcement_effect::stale;
  if (is_same && x.state > current_->state && !is_newer(x)) {
    current_->state = x.state;
    last_announced_ = now;
    return announcement_effect::changed;
  }
  if (!is_newer(x)) return announcement_effect::stale;
  const auto unchanged =
      current_ && current_->server == x.server &&
      current_->born_ms == x.born_ms && current_->state == x.state &&
      current_->service == x.service && current_->slots == x.slots;
  current_ = x;
  last_announced_ = now;
  return unchanged ? announcement_effect::refreshed
                   : announcement_effect::changed;
}

auto announcement_tracker::leave(const server_name& server,
                                 std::int64_t born_ms, time_point now)
    -> announcement_effect {
  const auto is_current = current_ && current_->server == server;
  const auto start_ms =
      born_ms != 0 ? born_ms : (is_current ? current_->born_ms : 0);
  if (departures_.size() >= max_departures)
    departures_.erase(departures_.begin());
  auto& departed_ms = departures_[server];
  departed_ms = std::max(departed_ms, start_ms);
  if (!is_current || current_->born_ms > departed_ms) {
    return announcement_effect::stale;
  }
  if (current_->state == announced_state::left) {
    return announcement_effect::refreshed;
  }
  current_->state = announced_state::left;
  last_announced_ = now;
  return announcement_effect::changed;
}

auto announcement_tracker::observe_leaving(const server_name& server,
                                           std::int64_t born_ms, time_point now)
    -> announcement_effect {
  if (!is_current(server, born_ms)) return announcement_effect::stale;
  last_announced_ = now;
  if (current_->state != announced_state::serving) {
    return announcement_effect::refreshed;
  }
  current_->state = announced_state::draining;
  return announcement_effect::changed;
}

auto announcement_tracker::learn_drain(const announcement& known,
                                       time_point now) -> announcement_effect {
  const auto is_same =
      known.born_ms != 0 && is_current(known.server, known.born_ms);
  if (!is_same || known.state <= current_->state) {
    return announcement_effect::stale;
  }
  current_->state = known.state;
  last_announced_ = now;
  return announcement_effect::changed;
}

void announcement_tracker::set_address(vm_address address) {
  if (address == address_) return;
  address_ = std::move(address);
  current_.reset();
  departures_.clear();
}

}  // namespace figwind
