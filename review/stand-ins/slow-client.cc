// Clients with small receive buffers pause while they read their answers.

#include "fleet.h"

using namespace review;

namespace {

constexpr auto service = "contracte";
constexpr auto nodes = 3;
constexpr auto clients = 8;
constexpr auto rounds = 6;
// Longest answer of the site files' requests, and a receive buffer that holds a
// part of it.
constexpr auto answer_bytes = std::size_t{30000};
constexpr auto receive_buffer = 4096;
constexpr auto pause_ms = 3500.0;

struct outcome {
  int runs = 0;
  int status = 0;
  bool complete = false;
};

class evidence {
 public:
  auto operator[](const std::string& id) -> outcome& {
    const auto lock = std::lock_guard{mutex_};
    return all[id];
  }
  std::map<std::string, outcome> all;

 private:
  std::mutex mutex_;
};

auto request_text(const std::string& id) -> std::string {
  return "POST /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
         "X-Attempt-Id: " +
         id + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nloan";
}

auto connect_with_small_buffer(const std::string& ip, int port)
    -> owned_socket {
  auto out = owned_socket{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  const auto size = receive_buffer;
  setsockopt(out.fd(), SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  const auto to = address_of(ip, port);
  if (::connect(out.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) !=
      0) {
    return owned_socket{};
  }
  set_no_delay(out.fd());
  return out;
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
          ++seen[attempt].runs;
          to.line("run " + attempt + " by " + id);
        },
        100));
    servers.back()->set_answer_bytes(answer_bytes);
    if (!servers.back()->start()) return 2;
  }
  if (!fleet.put("r0", desired_state("r1", "non_idempotent", service, "2s")) ||
      !fleet.wait_until_ready()) {
    std::puts("the deployment did not start");
    return 2;
  }
  sleep_ms(2500);
  auto threads = std::vector<std::thread>{};
  for (auto i = 0; i < clients; ++i) {
    threads.emplace_back([&, i] {
      const auto& node = fleet.node(i % nodes);
      auto socket = owned_socket{};
      for (auto round = 0; round < rounds; ++round) {
        // The connection is kept: an answer that is read at once comes before.
        for (const auto is_slow : {false, true}) {
          if (!socket.is_open()) {
            socket = connect_with_small_buffer(node.ip(), fleet.all.call);
          }
          const auto id = std::to_string(i) + "r" + std::to_string(round) +
                          (is_slow ? "s" : "f");
          auto reader = message_reader{socket.fd()};
          reader.on_head([&](const message& x) {
            seen[id].status = x.status();
            if (!is_slow || !has_trouble()) return;
            to.line("pauses in the answer to " + id);
            sleep_ms(pause_ms);
          });
          to.line("sent " + id + " at " + node.name());
          auto answer = message{};
          auto& x = seen[id];
          x.complete = send_all(socket.fd(), request_text(id)) &&
                       reader.read(answer, pause_ms + 6000);
          to.line("answered " + id + " " + std::to_string(x.status) +
                  (x.complete ? " complete" : " broken off"));
          if (!x.complete || answer.header("connection") == "close") {
            socket.close();
          }
        }
      }
    });
  }
  for (auto& x : threads) x.join();
  servers.clear();
  auto good = 0;
  auto lost = 0;
  for (const auto& [id, x] : seen.all) {
    good += x.complete && x.status == 200 ? 1 : 0;
    if (x.complete || x.runs == 0) continue;
    ++lost;
    to.line("LOST " + id);
  }
  const auto result = "requests " + std::to_string(seen.all.size()) +
                      ", answered 200 in full: " + std::to_string(good) +
                      ", run and broken off: " + std::to_string(lost);
  to.line(result);
  std::puts(result.c_str());
  if (good == 0) return 2;
  return lost > 3 ? 1 : 0;
}
