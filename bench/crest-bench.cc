// Whole requests of important classes while demand swings.

#include "chain.h"
#include "figure.h"

using namespace figwind;
using namespace figwind::bench;

namespace {

constexpr auto seed = std::uint64_t{20261204};

// Demand swings between `crest` / 4 and `crest` times capacity, up within 2 s
// and down within 2 s.
void measure_crest(const deployment& shape, double crest) {
  const auto capacity = capacity_of(shape);
  const auto demand = [capacity, crest](time_point now) {
    const auto phase = std::fmod(now.ms, 4000.0) / 2000.0;
    const auto up = phase < 1 ? phase : 2 - phase;
    return capacity * crest * (0.25 + 0.75 * up);
  };
  auto ours = chain_run{shape, discipline::figwind, seed, demand};
  auto base = chain_run{shape, discipline::fifo, seed, demand};
  ours.run(seconds(13));
  base.run(seconds(13));
  const auto peak_share = [&shape](const chain_run& run) {
    auto lowest = 1.0;
    for (auto peak = 2.0; peak < 12; peak += 4) {
      const auto from = time_point{} + seconds(peak - 0.5);
      const auto share =
          on_time(run, shape.protected_importance, from, from + seconds(1));
      lowest = std::min(lowest, share);
    }
    return lowest;
  };
  const auto load = "_of_" + std::to_string(static_cast<int>(crest)) + "x";
  print({shape.name + ".protected_on_time_at_crest" + load,
         "share, lowest peak", peak_share(ours), peak_share(base), 0.99,
         goal::at_least});
  print({shape.name + ".protected_refused_out_of_order_in_swing" + load,
         "count", static_cast<double>(ours.order_violations()), std::nullopt,
         0});
}

}  // namespace

auto main() -> int {
  // At 2 times capacity the protected classes need 30% of it, at 5 times 75%.
  for (const auto& shape : {sprijin(), zdrojowa()}) {
    measure_crest(shape, 2);
    measure_crest(shape, 5);
  }
  return 0;
}
