// Time from an accepted change to its use at the last node, with real
// transports and disks on loopback.

#include <algorithm>
#include <vector>

#include "figure.h"
#include "local-process.h"

using namespace figwind;
using namespace figwind::test;

namespace {

constexpr auto nodes = 10;
constexpr auto changes = 40;

auto request_text(int number) -> std::string {
  auto digits = std::to_string(number);
  return std::string(32 - digits.size(), '0') + digits;
}

}  // namespace

auto main() -> int {
  auto* all = new local_deployment{
      nodes, [](const httplib::Request&, httplib::Response& out) {
        out.set_content("done", "text/plain");
      }};
  wait_until([&] {
    auto got = all->change(two_classes, 0, request_text(0));
    return got && got->status == 200;
  });
  wait_until([&] { return all->in_force(1); });
  auto accepted = std::vector<double>{};
  auto in_force = std::vector<double>{};
  for (auto i = 1; i <= changes; ++i) {
    auto start = steady_now();
    auto got = all->change(two_classes, i, request_text(i));
    if (!got || got->status != 200) continue;
    accepted.push_back((steady_now() - start).ms);
    auto at = steady_now();
    wait_until(
        [&] { return all->in_force(static_cast<std::uint64_t>(i) + 1); });
    in_force.push_back((steady_now() - at).ms);
  }
  std::sort(accepted.begin(), accepted.end());
  std::sort(in_force.begin(), in_force.end());
  bench::print({"change_accepted_p50", "ms", accepted[accepted.size() / 2],
                std::nullopt, std::nullopt});
  bench::print({"change_in_force_p50", "ms", in_force[in_force.size() / 2],
                std::nullopt, std::nullopt});
  bench::print(
      {"change_in_force_max_of_40", "ms", in_force.back(), std::nullopt, 4000});
  bench::print({"changes_answered", "changes",
                static_cast<double>(accepted.size()), std::nullopt,
                static_cast<double>(changes), bench::goal::at_least});
  std::quick_exit(0);
}
