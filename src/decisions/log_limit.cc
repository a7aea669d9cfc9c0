#include "figwind/log_limit.h"

#include <utility>

namespace figwind {

auto is_sampled(const request_id& root) -> bool {
  constexpr auto mask = std::uint64_t{7};
  return (root.low & mask) == 0;
}

auto log_limiter::admit(const std::string& event, time_point now,
                        bool may_use_reserved) -> std::optional<std::uint64_t> {
  static const auto others = std::string{};
  auto has_own_limit =
      events_.count(event) != 0 || events_.size() < limits_.max_events;
  auto [entry, added] =
      events_.try_emplace(has_own_limit ? event : others, event_state{now});
  auto& state = entry->second;
  if (now - state.window_start >= limits_.window) {
    state.window_start = now;
    state.written = 0;
  }
  const auto limit = may_use_reserved
                         ? limits_.max_lines
                         : limits_.max_lines - limits_.reserved_lines;
  if (state.written >= limit) {
    ++state.suppressed;
    return std::nullopt;
  }
  ++state.written;
  return std::exchange(state.suppressed, 0);
}

}  // namespace figwind
