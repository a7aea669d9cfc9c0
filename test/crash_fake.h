// Backend servers that crash when they run one of a few poisoned requests,
// resent by callers that get no answer.

#pragma once

#include <deque>
#include <vector>

#include "figwind/crash_guard.h"
#include "figwind/random.h"

namespace figwind::test {

struct crash_shape {
  int servers = 4;
  int slots = 75;
  int innocents = 300;
  int poisoned = 1;
  /// Steps of 10 ms that an innocent request takes.
  int steps = 4;
  bool guarded = true;
  int total_steps = 1000;
};

struct crash_figures {
  int crashes = 0;
  int innocents_complete = 0;
  int innocents_refused = 0;
  /// Refused although they were running at fewer than two crashes.
  int refused_early = 0;
  int poisoned_refused = 0;
  /// Time until every innocent request has ended.
  double innocents_ms = 0;
};

/// All requests arrive at once; the poisoned ones crash a server in the middle
/// of their run. A crash ends all runs of its server and each is sent again to
/// a random one. Reports reach all servers within one step.
inline auto run_crashes(const crash_shape& shape, std::uint64_t seed)
    -> crash_figures {
  struct run {
    int request = 0;
    int left = 0;
  };
  struct backend {
    crash_guard guard;
    std::deque<int> queue{};
    std::vector<run> runs{};
  };
  auto random = random_source{seed};
  auto out = crash_figures{};
  auto servers = std::vector<backend>{};
  const auto count = static_cast<std::size_t>(shape.servers);
  for (auto i = 0; i < shape.servers; ++i) {
    servers.push_back({crash_guard{{{std::to_string(i)}, {1}}}});
  }
  const auto total = shape.innocents + shape.poisoned;
  const auto print_of = [](int r) {
    return fingerprint_of({"lookup"}, {}, std::to_string(r));
  };
  const auto poisoned = [&](int r) { return r >= shape.innocents; };
  for (auto r = 0; r < total; ++r) {
    servers[random.index(count)].queue.push_back(r);
  }
  auto present = std::vector<int>(static_cast<std::size_t>(total));
  auto now = time_point{0};
  const auto admit = [&](backend& s) {
    const auto waiting = s.queue.size();
    for (auto i = std::size_t{0}; i < waiting; ++i) {
      const auto r = s.queue.front();
      s.queue.pop_front();
      const auto permit =
          shape.guarded ? s.guard.may_run(print_of(r), now) : run_permit::run;
      if (permit == run_permit::refuse) {
        ++(poisoned(r) ? out.poisoned_refused : out.innocents_refused);
        const auto times = present[static_cast<std::size_t>(r)];
        out.refused_early += times < 2 ? 1 : 0;
        continue;
      }
      const auto full = s.runs.size() >= static_cast<std::size_t>(shape.slots);
      if (full || permit == run_permit::wait) {
        s.queue.push_back(r);
        continue;
      }
      s.guard.started(print_of(r));
      s.runs.push_back({r, poisoned(r) ? shape.steps / 2 : shape.steps});
    }
  };
  for (auto step = 0; step < shape.total_steps; ++step) {
    now = now + milliseconds(10);
    for (auto& s : servers) {
      admit(s);
      auto crash = false;
      for (auto& r : s.runs) {
        --r.left;
        crash = crash || (poisoned(r.request) && r.left == 0);
      }
      auto remaining = std::vector<run>{};
      if (crash) {
        ++out.crashes;
        const auto report = s.guard.crashed(now);
        for (auto& other : servers) other.guard.merge(report, now);
        for (const auto& r : s.runs) {
          ++present[static_cast<std::size_t>(r.request)];
          servers[random.index(count)].queue.push_back(r.request);
        }
      } else {
        for (const auto& r : s.runs) {
          if (r.left > 0) {
            remaining.push_back(r);
            continue;
          }
          s.guard.finished(print_of(r.request), true, now);
          ++out.innocents_complete;
        }
      }
      s.runs = std::move(remaining);
    }
    for (auto& s : servers) {
      const auto report = s.guard.changes(100, now);
      for (auto& other : servers) other.guard.merge(report, now);
    }
    if (out.innocents_ms == 0 &&
        out.innocents_complete + out.innocents_refused == shape.innocents) {
      out.innocents_ms = now.ms;
    }
  }
  return out;
}

}  // namespace figwind::test
