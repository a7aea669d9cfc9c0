// Goodput and order of importance of whole requests at constant overload.

#include "chain.h"
#include "figure.h"

using namespace figwind;
using namespace figwind::bench;

namespace {

constexpr auto seed = std::uint64_t{20261204};

auto constant(double rate) -> std::function<double(time_point)> {
  return [rate](time_point) { return rate; };
}

void measure_goodput(const deployment& shape, double factor) {
  const auto capacity = capacity_of(shape);
  const auto from = time_point{} + seconds(3);
  const auto to = time_point{} + seconds(8);
  auto ours =
      chain_run{shape, discipline::figwind, seed, constant(factor * capacity)};
  auto base =
      chain_run{shape, discipline::fifo, seed, constant(factor * capacity)};
  ours.run(seconds(9));
  base.run(seconds(9));
  const auto load = std::to_string(static_cast<int>(factor)) + "x";
  print({shape.name + ".goodput_at_" + load, "share of capacity",
         goodput(ours, from, to) / capacity, goodput(base, from, to) / capacity,
         0.9, goal::at_least});
  print({shape.name + ".protected_on_time_at_" + load, "share",
         on_time(ours, shape.protected_importance, from, to - seconds(1)),
         on_time(base, shape.protected_importance, from, to - seconds(1)),
         std::nullopt, goal::at_least});
  print({shape.name + ".protected_refused_out_of_order_at_" + load, "count",
         static_cast<double>(ours.order_violations()), std::nullopt, 0});
}

}  // namespace

auto main() -> int {
  for (const auto& shape : {sprijin(), zdrojowa()}) {
    measure_goodput(shape, 2);
    measure_goodput(shape, 5);
  }
  return 0;
}
