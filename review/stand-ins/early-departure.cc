// A node is restarted; while it is cut off from the control members for the
// first moments, its server departs, which is acknowledged.

#include "fleet.h"

using namespace review;

namespace {

constexpr auto service = "depozit";
constexpr auto nodes = 4;
// Bound `drain`, and the time after which a machine is in touch again.
constexpr auto drain_ms = 2000.0;
constexpr auto stable_window_ms = 3000.0;
// The cut begins as the program ends and heals this long after its start.
constexpr auto down_ms = 500.0;
constexpr auto heals_after_ms = 700.0;
constexpr auto serves_on_ms = 12000.0;

void call_on(const machine& at, int port, int number, record& to,
             std::atomic<int>& good, const std::atomic<bool>& ends) {
  auto count = 0;
  while (!ends) {
    const auto id =
        "c" + std::to_string(number) + "x" + std::to_string(count++);
    to.line("sent " + id + " at " + at.name());
    const auto answer = exchange(at.ip(), port,
                                 "GET /puka111/2f HTTP/1.1\r\n"
                                 "Host: jepu9.example\r\nX-Attempt-Id: " +
                                     id + "\r\nX-Deadline-Ms: 5000\r\n\r\n",
                                 5500);
    good += answer.status() == 200 ? 1 : 0;
    to.line("answered " + id + " " + std::to_string(answer.status()));
    sleep_ms(20);
  }
}

}  // namespace

auto main(int, char** arguments) -> int {
  ::signal(SIGPIPE, SIG_IGN);
  auto to = record{arguments[1]};
  auto fleet = deployment{nodes, service};
  auto& node = fleet.node(0);
  auto is_cut = std::atomic<bool>{false};
  auto proxies = std::vector<std::unique_ptr<link_proxy>>{};
  for (auto i = 0; i < deployment::members; ++i) {
    fleet.control(i).use_proxy();
    proxies.push_back(std::make_unique<link_proxy>(
        fleet.control(i).ip(), fleet.all,
        [&](const std::string& ip) { return is_cut && ip == node.ip(); }));
  }
  fleet.start();
  auto mutex = std::mutex{};
  auto runs_of_first = std::vector<double>{};
  auto servers = std::vector<std::unique_ptr<server>>{};
  for (auto i = 0; i < nodes; ++i) {
    servers.push_back(std::make_unique<server>(
        "i-" + std::to_string(i), fleet.node(i), fleet.all,
        [&, i](const std::string& id, const message& request) {
          to.line("run " + request.header("x-attempt-id") + " by " + id);
          if (i != 0) return;
          const auto lock = std::lock_guard{mutex};
          runs_of_first.push_back(now_ms());
        },
        50));
    if (!servers.back()->start()) return 2;
  }
  if (!fleet.put("r0", desired_state("r1", "idempotent", service, "2s")) ||
      !fleet.wait_until_ready()) {
    std::puts("the deployment did not start");
    return 2;
  }
  auto ends = std::atomic<bool>{false};
  auto good = std::atomic<int>{0};
  auto callers = std::vector<std::thread>{};
  // None at the node that is restarted.
  for (auto i = 1; i < nodes; ++i) {
    callers.emplace_back(
        [&, i] { call_on(fleet.node(i), fleet.all.call, i, to, good, ends); });
  }
  sleep_ms(5000);
  to.line("SIGTERM to " + node.name());
  node.end(SIGTERM);
  const auto ended = now_ms();
  to.line(node.name() + " ended");
  is_cut = has_trouble();
  auto acknowledged = 0.0;
  auto leaving = std::thread{[&] {
    // The server begins to leave while the node is down.
    sleep_ms(down_ms - 200);
    acknowledged = servers[0]->depart(100, 5000);
    to.line("departure of i-0 acknowledged");
  }};
  sleep_ms(ended + down_ms - now_ms());
  node.start(false);
  const auto restarted = now_ms();
  to.line("started " + node.name());
  sleep_ms(heals_after_ms);
  is_cut = false;
  to.line("the cut is healed");
  const auto healed = now_ms();
  leaving.join();
  if (acknowledged == 0) {
    ends = true;
    for (auto& x : callers) x.join();
    fleet.machines.clear();
    std::puts("the departure was not acknowledged");
    return 2;
  }
  sleep_ms(acknowledged + serves_on_ms - now_ms());
  servers[0]->end();
  to.line("i-0 ended");
  sleep_ms(500);
  ends = true;
  for (auto& x : callers) x.join();
  servers.clear();
  const auto since =
      std::max(acknowledged + drain_ms, healed + stable_window_ms + 1000);
  auto before = 0;
  auto after = 0;
  for (const auto at : runs_of_first) {
    before += at < ended ? 1 : 0;
    after += at > since ? 1 : 0;
  }
  const auto result =
      "answered 200: " + std::to_string(good.load()) +
      ", run by i-0 before the restart: " + std::to_string(before) +
      ", acknowledged " + std::to_string(acknowledged - restarted) +
      " ms after the start, later than drain after that, machines in touch: " +
      std::to_string(after);
  to.line(result);
  std::puts(result.c_str());
  fleet.machines.clear();
  if (before == 0) return 2;
  return after > 0 ? 1 : 0;
}
