// Time to find connections that have gone silent, against waiting for the
// time-out of each call, and calls that wait for a connection.

#include "connection_fake.h"
#include "figure.h"

using namespace figwind;
using namespace figwind::bench;

namespace {

constexpr auto seeds = 20;

struct means {
  double first = 0, last = 0, lost = 0, broken = 0, probes = 0, waited = 0;
  int most_open = 0;
};

auto measure(const connection_shape& shape) -> means {
  auto out = means{};
  for (auto seed = 1U; seed <= seeds; ++seed) {
    const auto run = connection_run{shape, seed}.run();
    out.first += run.first_found_ms / seeds;
    out.last += run.last_found_ms / seeds;
    out.lost += 1.0 * run.lost / seeds;
    out.broken += 1.0 * run.sound_broken / seeds;
    out.probes += 1.0 * run.probes / run.calls / seeds;
    out.waited += 1.0 * run.waited / run.calls / seeds;
    out.most_open = std::max(out.most_open, run.most_open);
  }
  return out;
}

void print_silent(const std::string& name, connection_shape shape) {
  const auto probing = measure(shape);
  shape.probing = false;
  const auto waiting = measure(shape);
  const auto start = "connection." + name;
  print({start + ".first_found", "ms", probing.first, waiting.first, {}});
  print({start + ".last_found", "ms", probing.last, waiting.last, {}});
  print({start + ".calls_lost", "calls", probing.lost, waiting.lost, {}});
  print({start + ".sound_connections_broken",
         "connections",
         probing.broken,
         {},
         0.0});
  print({start + ".probes", "probes/call", probing.probes, {}, {}});
  print({start + ".most_open",
         "connections",
         1.0 * probing.most_open,
         {},
         1.0 * shape.connections / shape.entry_nodes});
}

void print_swing(const std::string& name, connection_shape shape) {
  shape.silent_at_ms = -1;
  shape.swing = 4;
  shape.calls_per_second = 100;
  const auto run = measure(shape);
  print({"connection." + name + ".calls_that_wait_in_4x_swing",
         "fraction",
         run.waited,
         {},
         {}});
}

}  // namespace

auto main() -> int {
  const auto ro = connection_shape{};
  auto pl = connection_shape{};
  pl.connections = 530;
  pl.entry_nodes = 14;
  auto small = connection_shape{};
  small.connections = 230;
  small.calls_per_second = 60;
  auto half = ro;
  half.silent_each = 2;
  print_silent("ro-centru.depozit", ro);
  print_silent("ro-centru.depozit_half", half);
  print_silent("ro-centru.beneficiari", small);
  print_silent("pl-central.historia", pl);
  print_swing("ro-centru.depozit", ro);
  print_swing("pl-central.historia", pl);
  return 0;
}
