#include "figwind/circuit_breaker.h"

namespace figwind {

auto circuit_breaker::refuses(const class_name& name, time_point now) -> bool {
  const auto found = classes_.find(name);
  if (found == classes_.end()) return false;
  auto& x = found->second;
  if (x.count < options_.failures_to_open) return false;
  if (now < x.next_probe) return true;
  x.next_probe = now + options_.probe_interval;
  return false;
}

void circuit_breaker::observe(const class_name& name, bool no_server_found,
                              time_point now) {
  if (!no_server_found) {
    const auto found = classes_.find(name);
    if (found == classes_.end()) return;
    record_close(name, found->second, now);
    classes_.erase(found);
    return;
  }
  auto& x = classes_[name];
  if (++x.count == 1) x.first = now;
  if (x.count != options_.failures_to_open) return;
  x.next_probe = now + options_.probe_interval;
  changes_.push_back({name, true, now - x.first});
}

void circuit_breaker::reset(time_point now) {
  for (const auto& [name, x] : classes_) record_close(name, x, now);
  classes_.clear();
}

void circuit_breaker::record_close(const class_name& name, const failures& x,
                                   time_point now) {
  if (x.count >= options_.failures_to_open)
    changes_.push_back({name, false, now - x.first});
}

auto circuit_breaker::outage(const class_name& name, time_point now) const
    -> duration {
  const auto found = classes_.find(name);
  return found == classes_.end() ? duration{} : now - found->second.first;
}

}  // namespace figwind
