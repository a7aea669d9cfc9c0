// Requests that crash each server which runs them, among innocent ones.

#include "../test/crash_fake.h"
#include "figure.h"

using namespace figwind;
using namespace figwind::bench;

namespace {

/// Means over 50 seeds.
void print_crashes(const std::string& name, test::crash_shape shape) {
  constexpr auto seeds = 50;
  struct {
    int crashes, refused, early;
    double ms;
  } guarded{}, open{};
  for (auto seed = 1; seed <= seeds; ++seed) {
    for (const auto is_guarded : {true, false}) {
      shape.guarded = is_guarded;
      const auto run =
          test::run_crashes(shape, static_cast<std::uint64_t>(seed));
      auto& sum = is_guarded ? guarded : open;
      sum.crashes += run.crashes;
      sum.refused += run.innocents_refused;
      sum.early += run.refused_early;
      sum.ms += run.innocents_ms / seeds;
    }
  }
  const auto start = "crash." + name;
  const auto mean = [](int sum) { return 1.0 * sum / seeds; };
  print({start + ".crashes", "crashes", mean(guarded.crashes),
         mean(open.crashes), 2.0 * shape.poisoned});
  print({start + ".refused_before_two_crashes",
         "requests",
         mean(guarded.early),
         {},
         0.0});
  print({start + ".innocents_refused",
         "requests",
         mean(guarded.refused),
         {},
         {}});
  print({start + ".until_innocents_end", "ms", guarded.ms, open.ms, {}});
}

}  // namespace

auto main() -> int {
  print_crashes("ro-centru.one_poisoned", {});
  print_crashes("ro-centru.five_poisoned", {.poisoned = 5});
  print_crashes("pl-central.one_poisoned", {.servers = 3, .slots = 85});
  return 0;
}
