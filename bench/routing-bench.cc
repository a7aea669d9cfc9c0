// Retries over a chain 16 deep, against 3 retries at each hop.

#include <algorithm>
#include <numeric>

#include "../test/call_chain.h"
#include "../test/call_schedule.h"
#include "figure.h"
#include "figwind/call_state.h"

using namespace figwind;
using namespace figwind::bench;
using test::call_chain;
using test::chain_shape;

namespace {

constexpr auto requests = 20'000;

struct chain_figures {
  /// Calls at the busiest hop, worst request.
  int busiest = 0;
  int extra = 0;
  double calls = 0;
  double complete = 0;
};

auto measure(const chain_shape& shape) -> chain_figures {
  auto chain = call_chain{shape, 11};
  auto result = chain_figures{};
  for (auto i = 0; i < requests; ++i) {
    result.complete += chain.request() ? 1.0 / requests : 0;
    const auto& calls = chain.calls();
    result.busiest =
        std::max(result.busiest, *std::max_element(calls.begin(), calls.end()));
    result.extra = std::max(result.extra, chain.extra());
    result.calls += std::accumulate(calls.begin(), calls.end(), 0.0) / requests;
  }
  return result;
}

/// Calls of one request when each of `depth` hops makes 4 attempts and all
/// fail: the product, computed because it cannot be run.
auto unbounded_leaf_calls(int depth) -> double {
  auto calls = 1.0;
  for (auto i = 0; i < depth; ++i) calls *= 4;
  return calls;
}

void print_chain(const std::string& name, const chain_shape& shape) {
  const auto result = measure(shape);
  const auto bound = static_cast<double>(chain_retry_bound);
  print({"retry." + name + ".calls_at_busiest_hop", "calls/request",
         static_cast<double>(result.busiest), unbounded_leaf_calls(16),
         1 + bound});
  print({"retry." + name + ".extra_attempts",
         "attempts/request",
         static_cast<double>(result.extra),
         {},
         bound});
  print({"retry." + name + ".calls", "calls/request", result.calls, {}, {}});
}

void print_policies() {
  struct combination {
    std::string name;
    hand_down policy;
    hand_down split;
  };
  const auto combinations = std::vector<combination>{
      {"all_split_all", hand_down::all, hand_down::all},
      {"all_but_one_split_half", hand_down::all_but_one, hand_down::half},
      {"all_but_one_split_all", hand_down::all_but_one, hand_down::all},
      {"half_split_all", hand_down::half, hand_down::all},
      {"half_split_half", hand_down::half, hand_down::half}};
  for (const auto& [name, policy, split] : combinations) {
    auto shape = chain_shape{};
    shape.policy = policy;
    shape.split = split;
    shape.loss = 0.01;
    shape.leaf_failure = 0.01;
    const auto faulty = measure(shape);
    shape.loss = 0;
    shape.leaf_failure = 0.2;
    const auto flaky = measure(shape);
    shape.leaf_failure = 1;
    const auto failing = measure(shape);
    print({"retry.policy." + name + ".complete_at_1_percent_loss",
           "fraction",
           faulty.complete,
           {},
           {},
           goal::at_least});
    print({"retry.policy." + name + ".complete_at_20_percent_leaf_failure",
           "fraction",
           flaky.complete,
           {},
           {},
           goal::at_least});
    print({"retry.policy." + name + ".calls_all_failing",
           "calls/request",
           failing.calls,
           {},
           {}});
  }
}

void print_schedules() {
  auto faults = test::schedule_faults{};
  for (auto seed = 1U; seed <= 50'000; ++seed) {
    test::call_schedule{seed, faults}.run();
  }
  const auto wrong = faults.wrong_bodies + faults.answered_twice;
  print({"call.double_runs",
         "runs",
         static_cast<double>(faults.double_runs),
         {},
         0.0});
  print({"call.wrong_partial_swapped_answers",
         "answers",
         static_cast<double>(wrong),
         {},
         0.0});
  print({"call.false_not_run",
         "answers",
         static_cast<double>(faults.false_not_run),
         {},
         0.0});
  print({"call.schedules", "calls", static_cast<double>(faults.calls), {}, {}});
}

}  // namespace

auto main() -> int {
  print_chain("all_leaves_fail", {.leaf_failure = 1});
  print_chain("one_lost_answer_a_hop", {.lose_first = true});
  print_chain("both", {.leaf_failure = 1, .lose_first = true});
  print_policies();
  print_schedules();
  return 0;
}
