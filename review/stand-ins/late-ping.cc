// A server departs, which is acknowledged; all control members and the node
// beside the server are killed at once and started again; a ping that the
// server sent before its departure arrives late.

#include "fleet.h"

using namespace review;

namespace {

constexpr auto service = "depozit";
constexpr auto nodes = 5;
// Bound `drain`, and the time after which a machine is in touch again.
constexpr auto drain_ms = 2000.0;
constexpr auto stable_window_ms = 3000.0;
constexpr auto down_ms = 800.0;
// From the departure to the arrival of the late ping.
constexpr auto late_ms = 2500.0;
constexpr auto serves_on_ms = 14000.0;

class caller {
 public:
  caller(const machine& at, int port, int number, record& to)
      : at_{at}, port_{port}, number_{number}, record_{to} {}

  void run(const std::atomic<bool>& ends) {
    auto count = 0;
    while (!ends) {
      const auto id =
          "c" + std::to_string(number_) + "x" + std::to_string(count++);
      const auto text =
          "GET /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
          "X-Attempt-Id: " +
          id + "\r\nX-Deadline-Ms: 5000\r\n\r\n";
      record_.line("sent " + id + " at " + at_.name());
      const auto answer = exchange(at_.ip(), port_, text, 5500);
      ++answers[answer.status()];
      record_.line("answered " + id + " " + std::to_string(answer.status()));
      sleep_ms(20);
    }
  }

  std::map<int, int> answers;

 private:
  const machine& at_;
  int port_;
  int number_;
  record& record_;
};

}  // namespace

auto main(int, char** arguments) -> int {
  ::signal(SIGPIPE, SIG_IGN);
  auto to = record{arguments[1]};
  auto fleet = deployment{nodes, service};
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
  auto callers = std::vector<std::unique_ptr<caller>>{};
  auto threads = std::vector<std::thread>{};
  // None at the node that is killed.
  for (auto i = 1; i < nodes; ++i) {
    callers.push_back(
        std::make_unique<caller>(fleet.node(i), fleet.all.call, i, to));
    threads.emplace_back([&x = *callers.back(), &ends] { x.run(ends); });
  }
  sleep_ms(5000);
  const auto ping = servers[0]->last_ping();
  const auto acknowledged = servers[0]->depart(300, 3000);
  if (acknowledged == 0) {
    ends = true;
    for (auto& x : threads) x.join();
    std::puts("the departure was not acknowledged");
    return 2;
  }
  to.line("departure of i-0 acknowledged");
  sleep_ms(300);
  auto restarted = acknowledged;
  if (has_trouble()) {
    auto killed = std::vector<machine*>{&fleet.node(0)};
    for (auto i = 0; i < deployment::members; ++i) {
      killed.push_back(&fleet.control(i));
    }
    for (auto* x : killed) x->signal(SIGKILL);
    to.line("killed the control members and " + fleet.node(0).name());
    for (auto* x : killed) x->end(SIGKILL);
    sleep_ms(down_ms);
    for (auto* x : killed) x->start(false);
    restarted = now_ms();
    to.line("started them again");
  }
  sleep_ms(acknowledged + late_ms - now_ms());
  const auto taken =
      exchange(fleet.node(0).ip(), fleet.all.control, ping, 1000).status();
  to.line("late ping of i-0 (ready): " + std::to_string(taken));
  sleep_ms(acknowledged + serves_on_ms - now_ms());
  servers[0]->end();
  to.line("i-0 ended");
  sleep_ms(1000);
  ends = true;
  for (auto& x : threads) x.join();
  servers.clear();
  const auto since =
      std::max(acknowledged + drain_ms, restarted + stable_window_ms + 1000);
  auto before = 0;
  auto after = 0;
  for (const auto at : runs_of_first) {
    before += at < acknowledged ? 1 : 0;
    after += at > since ? 1 : 0;
  }
  auto good = 0;
  for (const auto& x : callers) good += x->answers[200];
  const auto result =
      "answered 200: " + std::to_string(good) +
      ", run by i-0 before its departure: " + std::to_string(before) +
      ", later than drain after its acknowledgement, machines "
      "in touch: " +
      std::to_string(after);
  to.line(result);
  std::puts(result.c_str());
  if (before == 0) return 2;
  return after > 0 ? 1 : 0;
}
