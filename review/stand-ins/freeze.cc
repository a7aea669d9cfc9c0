// Clients send bursts of non-idempotent requests; nodes freeze for two seconds
// at a random moment of the next milliseconds.

#include "fleet.h"

using namespace review;

namespace {

constexpr auto service = "contracte";
constexpr auto nodes = 3;
constexpr auto burst = 60;
constexpr auto freeze_ms = 2000.0;
constexpr auto rounds = 10;
constexpr auto deadline_ms = 6000.0;

struct outcome {
  std::vector<std::string> runs;
  int status = 0;
};

class evidence {
 public:
  void on_run(const std::string& server, const std::string& id) {
    const auto lock = std::lock_guard{mutex_};
    all_[id].runs.push_back(server);
  }
  void on_answer(const std::string& id, int status) {
    const auto lock = std::lock_guard{mutex_};
    all_[id].status = status;
  }
  [[nodiscard]] auto all() const -> const std::map<std::string, outcome>& {
    return all_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, outcome> all_;
};

/// One client with a kept connection; it opens a new one where that ended.
class client {
 public:
  client(const machine& at, int port, record& to, evidence& seen)
      : at_{at}, port_{port}, record_{to}, seen_{seen} {}

  void open() {
    if (!socket_.is_open()) socket_ = connect_to(at_.ip(), port_, 1000);
  }

  void call(const std::string& id) {
    open();
    const auto body = std::string{"loan 1"};
    const auto text =
        "POST /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
        "X-Attempt-Id: " +
        id + "\r\nX-Deadline-Ms: 6000\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    record_.line("sent " + id + " at " + at_.name());
    auto answer = message{};
    auto reader = message_reader{socket_.fd()};
    const auto complete =
        send_all(socket_.fd(), text) && reader.read(answer, deadline_ms + 500);
    const auto status = complete ? answer.status() : 0;
    seen_.on_answer(id, status);
    record_.line("answered " + id + " " + std::to_string(status));
    if (!complete || answer.header("connection") == "close") socket_.close();
  }

 private:
  const machine& at_;
  int port_;
  record& record_;
  evidence& seen_;
  owned_socket socket_;
};

/// Bursts at one node, each followed by a freeze of it.
void play(deployment& fleet, int index, record& to, evidence& seen) {
  auto random = std::mt19937{std::random_device{}()};
  auto& node = fleet.node(index);
  auto clients = std::vector<std::unique_ptr<client>>{};
  for (auto i = 0; i < burst; ++i) {
    clients.push_back(std::make_unique<client>(node, fleet.all.call, to, seen));
  }
  for (auto round = 0; round < rounds; ++round) {
    for (auto& x : clients) x->open();
    sleep_ms(100);
    auto go = std::atomic<bool>{false};
    auto senders = std::vector<std::thread>{};
    for (auto i = 0; i < burst; ++i) {
      const auto id = std::to_string(index) + "a" + std::to_string(round) +
                      "b" + std::to_string(i);
      senders.emplace_back([&go, &x = *clients[i], id] {
        while (!go) std::this_thread::yield();
        x.call(id);
      });
    }
    sleep_ms(20);
    go = true;
    const auto wait = 0.5 + static_cast<double>(random() % 5000) / 1000;
    sleep_ms(wait);
    if (has_trouble()) {
      to.line("freeze " + node.name());
      node.signal(SIGSTOP);
      sleep_ms(freeze_ms);
      node.signal(SIGCONT);
      to.line("thaw " + node.name());
    }
    for (auto& x : senders) x.join();
    // Idle connections to servers are given up after five seconds.
    sleep_ms(5600);
  }
}

}  // namespace

auto main(int, char** arguments) -> int {
  ::signal(SIGPIPE, SIG_IGN);
  auto to = record{arguments[1]};
  auto seen = evidence{};
  auto fleet = deployment{nodes, service};
  fleet.start();
  auto servers = std::vector<std::unique_ptr<server>>{};
  for (auto i = 0; i < nodes; ++i) {
    servers.push_back(std::make_unique<server>(
        "i-" + std::to_string(i), fleet.node(i), fleet.all,
        [&](const std::string& id, const message& request) {
          const auto attempt = request.header("x-attempt-id");
          seen.on_run(id, attempt);
          to.line("run " + attempt + " by " + id);
        },
        100));
    if (!servers.back()->start()) return 2;
  }
  if (!fleet.put("r0", desired_state("r1", "non_idempotent", service, "5s")) ||
      !fleet.wait_until_ready()) {
    std::puts("the deployment did not start");
    return 2;
  }
  sleep_ms(2500);
  auto players = std::vector<std::thread>{};
  for (auto i = 0; i < nodes; ++i) {
    players.emplace_back([&, i] {
      sleep_ms(i * 2600.0);
      play(fleet, i, to, seen);
    });
  }
  for (auto& x : players) x.join();
  sleep_ms(500);
  servers.clear();
  auto twice = 0;
  auto refused = 0;
  auto answered = 0;
  for (const auto& [id, x] : seen.all()) {
    answered += x.status == 200 ? 1 : 0;
    if (x.runs.size() > 1) {
      ++twice;
      auto text = "TWICE " + id + " status " + std::to_string(x.status);
      for (const auto& server : x.runs) text += " run by " + server;
      to.line(text);
    }
    const auto promised = x.status == 503 || x.status == 429 ||
                          x.status == 408 || x.status == 421;
    if (promised && !x.runs.empty()) {
      ++refused;
      to.line("REFUSED " + id + " status " + std::to_string(x.status) +
              " but run by " + x.runs.front());
    }
  }
  const auto result = "requests " + std::to_string(seen.all().size()) +
                      ", answered 200: " + std::to_string(answered) +
                      ", run twice: " + std::to_string(twice) +
                      ", refused though run: " + std::to_string(refused);
  to.line(result);
  std::puts(result.c_str());
  if (answered == 0) return 2;
  return twice + refused > 0 ? 1 : 0;
}
