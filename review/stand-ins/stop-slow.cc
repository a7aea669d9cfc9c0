// A node is stopped while servers work on requests that take longer than the
// others of their class.

#include "fleet.h"

using namespace review;

namespace {

constexpr auto service = "historia";
// Service of the machine whose node is stopped.
constexpr auto other_service = "wymiany";
constexpr auto nodes = 4;
constexpr auto rounds = 3;
constexpr auto slow_clients = 8;
constexpr auto usual_clients = 16;
// Work of the class `fountain-history` in the site files: 190 ms in the mean,
// 2,000 ms at most.
constexpr auto least_work_ms = 100.0;
constexpr auto most_work_ms = 280.0;
constexpr auto slow_work_ms = 2000.0;
// From the requests to the SIGTERM.
constexpr auto signal_after_ms = 100.0;

struct outcome {
  double answered_at = 0;
  double run_until = 0;
  int runs = 0;
  int status = 0;
};

class evidence {
 public:
  void on_run(const std::string& id, double work_ms) {
    const auto lock = std::lock_guard{mutex_};
    auto& x = all_[id];
    ++x.runs;
    x.run_until = now_ms() + work_ms;
  }
  void on_answer(const std::string& id, int status) {
    const auto lock = std::lock_guard{mutex_};
    auto& x = all_[id];
    x.status = status;
    x.answered_at = now_ms();
  }
  [[nodiscard]] auto all() const -> const std::map<std::string, outcome>& {
    return all_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, outcome> all_;
};

auto is_slow(const std::string& id) -> bool {
  return id.front() == 's';
}

auto request_text(const std::string& id) -> std::string {
  return "GET /puka111/" + id +
         " HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 6000\r\n\r\n";
}

}  // namespace

auto main(int, char** arguments) -> int {
  ::signal(SIGPIPE, SIG_IGN);
  auto to = record{arguments[1]};
  auto seen = evidence{};
  auto fleet = deployment{nodes, service, other_service};
  fleet.start();
  auto random = std::mt19937{std::random_device{}()};
  auto random_mutex = std::mutex{};
  auto servers = std::vector<std::unique_ptr<server>>{};
  for (auto i = 0; i < nodes; ++i) {
    servers.push_back(std::make_unique<server>(
        "i-" + std::to_string(i), fleet.node(i), fleet.all,
        [](const std::string&, const message&) {}, 0));
    servers.back()->set_work_time([&, i](const message& request) {
      const auto id = request.header("x-attempt-id");
      auto work = slow_work_ms;
      if (!is_slow(id)) {
        const auto lock = std::lock_guard{random_mutex};
        work = std::uniform_real_distribution<double>{least_work_ms,
                                                      most_work_ms}(random);
      }
      seen.on_run(id, work);
      to.line("run " + id + " by i-" + std::to_string(i) + " for " +
              std::to_string(work) + " ms");
      return work;
    });
    if (!servers.back()->start()) return 2;
  }
  if (!fleet.put("r0", desired_state("r1", "idempotent", service, "5s")) ||
      !fleet.wait_until_ready()) {
    std::puts("the deployment did not start");
    return 2;
  }
  auto ends = std::atomic<bool>{false};
  auto callers = std::vector<std::thread>{};
  for (auto i = 0; i < 3 * usual_clients; ++i) {
    callers.emplace_back([&, i] {
      auto count = 0;
      while (!ends) {
        const auto id = "u" + std::to_string(i) + "x" + std::to_string(count++);
        const auto answer = exchange(fleet.node(1 + i % 3).ip(), fleet.all.call,
                                     request_text(id), 6500);
        seen.on_answer(id, answer.status());
        if (answer.status() != 200) sleep_ms(200);
      }
    });
  }
  sleep_ms(6000);
  auto& node = fleet.node(0);
  for (auto round = 0; round < rounds; ++round) {
    auto slow = std::vector<std::thread>{};
    for (auto i = 0; i < slow_clients; ++i) {
      slow.emplace_back([&, i] {
        const auto id = "s" + std::to_string(round) + "x" + std::to_string(i);
        const auto socket = connect_to(node.ip(), fleet.all.call, 1000);
        auto reader = message_reader{socket.fd()};
        auto answer = message{};
        to.line("sent " + id + " at " + node.name());
        const auto complete = send_all(socket.fd(), request_text(id)) &&
                              reader.read(answer, 6500);
        seen.on_answer(id, complete ? answer.status() : 0);
        to.line("answered " + id + " " +
                std::to_string(complete ? answer.status() : 0));
      });
    }
    sleep_ms(signal_after_ms);
    if (has_trouble()) {
      to.line("SIGTERM to " + node.name());
      node.end(SIGTERM);
      to.line(node.name() + " ended");
    }
    for (auto& x : slow) x.join();
    if (has_trouble()) node.start(false);
    sleep_ms(6000);
  }
  ends = true;
  for (auto& x : callers) x.join();
  servers.clear();
  auto usual = 0;
  auto good = 0;
  auto given_up = 0;
  for (const auto& [id, x] : seen.all()) {
    if (!is_slow(id)) {
      usual += x.status == 200 ? 1 : 0;
      continue;
    }
    good += x.status == 200 ? 1 : 0;
    const auto at_work = x.runs > 0 && x.answered_at < x.run_until;
    if (x.status == 200 || !at_work) continue;
    ++given_up;
    to.line((has_trouble() ? "LOST " : "given up ") + id + " status " +
            std::to_string(x.status) + ", its server would have answered " +
            std::to_string(x.run_until - x.answered_at) + " ms later");
  }
  const auto result =
      "usual requests answered 200: " + std::to_string(usual) +
      "; slow requests answered 200: " + std::to_string(good) +
      ", given up while a server was at work: " + std::to_string(given_up) +
      (has_trouble() ? " (after SIGTERM)" : " (no planned work)");
  to.line(result);
  std::puts(result.c_str());
  if (usual == 0) return 2;
  // Without planned work, the rule does not ask for an answer.
  return has_trouble() && given_up > 0 ? 1 : 0;
}
