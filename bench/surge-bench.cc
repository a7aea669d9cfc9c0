// Whole requests in a surge with a slowed deep service, and after it.

#include <tuple>

#include "chain.h"
#include "figure.h"

using namespace figwind;
using namespace figwind::bench;

namespace {

constexpr auto seed = std::uint64_t{20261204};

// Share of the requests begun in [from, to) that completed. Unlike completions
// per second it does not vary with the number of arrivals.
auto completed(const chain_run& run, time_point from, time_point to) -> double {
  auto all = 0;
  auto good = 0;
  for (const auto& x : run.results) {
    if (x.begun < from || x.begun >= to) continue;
    all += 1;
    good += x.complete ? 1 : 0;
  }
  return all == 0 ? 0 : static_cast<double>(good) / all;
}

// Time after `end` from which goodput over one second stays at 95% of
// `normal`, in steps of 100 ms; the rest of the run if it never does.
auto recovery(const chain_run& run, time_point end, time_point last,
              double normal) -> duration {
  auto back = last;
  for (auto at = last - seconds(1); at >= end; at = at - milliseconds(100)) {
    if (completed(run, at, at + seconds(1)) < 0.95 * normal) break;
    back = at;
  }
  return back - end;
}

void measure_recovery(const deployment& shape) {
  const auto capacity = capacity_of(shape);
  const auto begin = time_point{} + seconds(4);
  const auto end = begin + seconds(30);
  const auto last = end + seconds(6);
  // The last attempt of a request ends within the time-outs of all attempts.
  const auto settled = request_timeout * (retries + 1);
  const auto demand = [=](time_point now) {
    const auto surge = now >= begin && now < end;
    return capacity * (surge ? 2.1 : 0.7);
  };
  const auto measure = [&](discipline kind) {
    auto run = chain_run{shape, kind, seed, demand};
    run.loop().after(seconds(4), [&run] { run.deepest_slowdown = 3; });
    run.loop().after(seconds(34), [&run] { run.deepest_slowdown = 1; });
    run.run(last + settled - time_point{});
    const auto normal =
        completed(run, begin - seconds(4) + milliseconds(500), begin - settled);
    const auto surge = goodput(run, begin + seconds(5), end) / capacity * 3;
    return std::tuple{recovery(run, end, last, normal) / seconds(1), surge,
                      static_cast<double>(run.order_violations())};
  };
  const auto [ours, our_surge, out_of_order] = measure(discipline::figwind);
  const auto [base, base_surge, ignored] = measure(discipline::fifo);
  print({shape.name + ".recovery_after_surge", "s", ours, base, 3});
  print({shape.name + ".goodput_in_surge", "share of slowed capacity",
         our_surge, base_surge, 0.9, goal::at_least});
  print({shape.name + ".protected_refused_out_of_order_in_surge", "count",
         out_of_order, std::nullopt, 0});
}

}  // namespace

auto main() -> int {
  for (const auto& shape : {sprijin(), zdrojowa()}) {
    measure_recovery(shape);
  }
  return 0;
}
