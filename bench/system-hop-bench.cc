// Time that one node adds to a call: calls through the node beside calls
// straight to its backend server, in one run, at 250 calls a second.

#include <algorithm>
#include <vector>

#include "figure.h"
#include "local-process.h"

using namespace figwind;
using namespace figwind::test;

namespace {

constexpr auto connections = 550;
constexpr auto calls_per_second = 250.0;
constexpr auto seconds_of_calls = 12.0;

struct sample_set {
  std::mutex mutex;
  std::vector<double> ms;

  void add(double x) {
    auto lock = std::lock_guard{mutex};
    ms.push_back(x);
  }
  auto quantile(double q) -> double {
    std::sort(ms.begin(), ms.end());
    return ms.at(static_cast<std::size_t>(q * (ms.size() - 1)));
  }
};

/// Opens all connections with one call each and keeps them open.
auto open_connections(const vm_address& to, const std::string& path)
    -> std::vector<std::unique_ptr<httplib::Client>> {
  auto all = std::vector<std::unique_ptr<httplib::Client>>{};
  for (auto i = 0; i < connections; ++i) {
    all.push_back(std::make_unique<httplib::Client>("http://" + to.value));
    all.back()->set_tcp_nodelay(true);
    all.back()->set_keep_alive(true);
    all.back()->Post(path, "warm", "text/plain");
  }
  return all;
}

auto timed(httplib::Client& client, const std::string& path) -> double {
  auto start = steady_now();
  auto got = client.Post(path, "frame 17", "text/plain");
  return got && got->status == 200 ? (steady_now() - start).ms : 1000;
}

}  // namespace

auto main() -> int {
  auto* all = new local_deployment{
      1, [](const httplib::Request&, httplib::Response& out) {
        out.set_content("3 in stock", "text/plain");
      }};
  wait_until([&] {
    auto got = all->change(two_classes, 0, std::string(32, 'a'));
    return got && got->status == 200;
  });
  wait_until([&] { return all->in_force(1); });
  auto node_path = std::string{"/v1/call/stock-lookup"};
  auto direct_path = std::string{"/v1/work/stock-lookup"};
  auto through = open_connections(all->own(0).call_address, node_path);
  auto direct = open_connections(all->backend(0).address(), direct_path);

  // Callers take turns, so that both kinds see the same state of the machine.
  constexpr auto callers = 4;
  auto node_ms = sample_set{};
  auto direct_ms = sample_set{};
  auto threads = std::vector<std::thread>{};
  for (auto t = 0; t < callers; ++t) {
    threads.emplace_back([&, t] {
      auto pause = std::chrono::duration<double>{callers / calls_per_second};
      auto count = calls_per_second * seconds_of_calls / callers;
      for (auto i = 0; i < count; ++i) {
        auto at = static_cast<std::size_t>(i * callers + t) % connections;
        node_ms.add(timed(*through[at], node_path));
        direct_ms.add(timed(*direct[at], direct_path));
        std::this_thread::sleep_for(pause);
      }
    });
  }
  for (auto& x : threads) x.join();
  bench::print({"node_added_p50", "ms",
                node_ms.quantile(0.5) - direct_ms.quantile(0.5),
                direct_ms.quantile(0.5), std::nullopt});
  bench::print({"node_added_p99", "ms",
                node_ms.quantile(0.99) - direct_ms.quantile(0.99),
                direct_ms.quantile(0.99), 0.31});
  std::quick_exit(0);
}
