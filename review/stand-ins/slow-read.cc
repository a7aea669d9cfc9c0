// Clients upload bodies while the server reads slowly; the platform ends a
// program that uses more memory than its machine has for it.

#include "fleet.h"

using namespace review;

namespace {

constexpr auto service = "documente";
constexpr auto nodes = 3;
// Memory of a machine beside a server.
constexpr auto memory_mb = 260.0;
constexpr auto uploads = 40;
// Time between two uploads.
constexpr auto gap_ms = 100.0;
constexpr auto body_bytes = std::size_t{7} << 20U;
// A body takes three seconds.
constexpr auto slow_bytes_per_ms = 2450.0;
constexpr auto rounds = 4;

auto resident_mb(pid_t pid) -> double {
  auto from = std::ifstream{"/proc/" + std::to_string(pid) + "/status"};
  auto line = std::string{};
  while (std::getline(from, line)) {
    if (line.rfind("VmRSS:", 0) == 0) return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

/// Where a request got to.
struct outcome {
  int status = 0;
  bool reached_server = false;
};

class evidence {
 public:
  void on_run(const std::string& id) {
    const auto lock = std::lock_guard{mutex_};
    all_[id].reached_server = true;
  }
  void on_answer(const std::string& id, int status) {
    const auto lock = std::lock_guard{mutex_};
    all_[id].status = status;
  }
  std::map<std::string, outcome> all_;

 private:
  std::mutex mutex_;
};

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
          to.line("run " + attempt + " by " + id);
        },
        100));
    servers.back()->on_head([&](const std::string& id, const message& x) {
      seen.on_run(x.header("x-attempt-id"));
      to.line("reached " + id + " " + x.header("x-attempt-id"));
    });
    if (!servers.back()->start()) return 2;
  }
  if (!fleet.put("r0", desired_state("r1", "upload", service, "5s")) ||
      !fleet.wait_until_ready()) {
    std::puts("the deployment did not start");
    return 2;
  }
  sleep_ms(2500);
  auto ends = std::atomic<bool>{false};
  auto killed = std::atomic<int>{0};
  auto most = std::atomic<double>{0};
  auto platform = std::thread{[&] {
    auto& node = fleet.node(0);
    while (!ends) {
      const auto used = resident_mb(node.pid());
      most = std::max<double>(most, used);
      if (used > memory_mb) {
        to.line("killed " + node.name() + ", which uses " +
                std::to_string(used) + " MB");
        node.end(SIGKILL);
        ++killed;
        sleep_ms(500);
        node.start(false);
      }
      sleep_ms(2);
    }
  }};
  const auto body = std::string(body_bytes, 'x');
  for (auto round = 0; round < rounds; ++round) {
    for (auto& x : servers) x->set_pace(has_trouble() ? slow_bytes_per_ms : 0);
    auto clients = std::vector<std::thread>{};
    for (auto i = 0; i < uploads; ++i) {
      clients.emplace_back([&, i] {
        sleep_ms(i * gap_ms);
        const auto send = [&](const owned_socket& socket, const std::string& id,
                              const std::string& content) {
          const auto text =
              "POST /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
              "X-Attempt-Id: " +
              id + "\r\nX-Deadline-Ms: 6000\r\nContent-Length: " +
              std::to_string(content.size()) + "\r\n\r\n" + content;
          to.line("sent " + id);
          auto reader = message_reader{socket.fd()};
          auto answer = message{};
          const auto complete =
              send_all(socket.fd(), text) && reader.read(answer, 6500);
          seen.on_answer(id, complete ? answer.status() : 0);
          to.line("answered " + id + " " +
                  std::to_string(complete ? answer.status() : 0));
          return complete;
        };
        const auto id = std::to_string(round) + "u" + std::to_string(i);
        const auto socket =
            connect_to(fleet.node(0).ip(), fleet.all.call, 1000);
        // The connection is kept: a small upload came before.
        if (!send(socket, id + "a", "small")) return;
        send(socket, id, body);
      });
    }
    for (auto& x : clients) x.join();
    sleep_ms(7000);
  }
  ends = true;
  platform.join();
  servers.clear();
  auto good = 0;
  auto lost = 0;
  for (const auto& [id, x] : seen.all_) {
    good += x.status == 200 ? 1 : 0;
    if (x.status != 0 || !x.reached_server) continue;
    ++lost;
    to.line("LOST " + id);
  }
  auto result = std::array<char, 160>{};
  std::snprintf(result.data(), result.size(),
                "requests %zu, answered 200: %d, passed on and closed without "
                "an answer: %d, most memory %.0f MB, ended for memory: %d",
                seen.all_.size(), good, lost, most.load(), killed.load());
  to.line(result.data());
  std::puts(result.data());
  if (good == 0) return 2;
  return lost > 3 ? 1 : 0;
}
