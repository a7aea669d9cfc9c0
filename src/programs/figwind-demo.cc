// Stand-ins for demonstrations: a backend server and a caller.

#include <gflags/gflags.h>
#include <httplib.h>

#include <chrono>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>

#include "adapters/thread_pool.h"

DEFINE_string(role, "caller", "backend, caller or wait");
DEFINE_string(address, "127.0.0.1:9001", "HTTP address of the backend server");
DEFINE_string(node, "127.0.0.1:7201", "call address of the node");
DEFINE_string(control, "127.0.0.1:7300", "operator address to wait for");
DEFINE_int32(groups, 256, "recorder groups to wait for");
DEFINE_string(service, "depozit", "service of the backend server");
DEFINE_int32(slots, 75, "requests that the backend server runs at once");
DEFINE_int32(connections, 550, "connections that the backend server accepts");
DEFINE_double(work_ms, 2, "service time of the backend server");
DEFINE_string(classes, "stock-lookup", "classes that the caller calls");
DEFINE_int32(calls, 20, "calls of each class");
DEFINE_string(domain, "ro-centru-a", "failure domain in which calls begin");

namespace {

auto client(const std::string& address) -> httplib::Client {
  auto made = httplib::Client{"http://" + address};
  made.set_tcp_nodelay(true);
  made.set_keep_alive(true);
  return made;
}

auto announce() -> bool {
  auto fields = nlohmann::json{{"service", FLAGS_service},
                               {"address", FLAGS_address},
                               {"slots", FLAGS_slots},
                               {"connections", FLAGS_connections}};
  auto got = client(FLAGS_node)
                 .Post("/v1/announce", fields.dump(), "application/json");
  return got && got->status == 200;
}

auto serve() -> int {
  auto server = httplib::Server{};
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(std::size_t{1} << 40U);
  auto threads = static_cast<std::size_t>(FLAGS_connections);
  server.new_task_queue = [threads] {
    return new figwind::thread_pool{threads};
  };
  server.Post(R"(/v1/work/([\w-]+))", [](const auto& in, auto& out) {
    auto work = std::chrono::duration<double, std::milli>{FLAGS_work_ms};
    std::this_thread::sleep_for(work);
    const auto id = in.get_header_value("Figwind-Request-Id");
    out.set_header("Figwind-Request-Id", id);
    out.set_content("done " + std::string{in.matches[1]} + " " + in.body,
                    "text/plain");
  });
  auto colon = FLAGS_address.rfind(':');
  auto port = std::stoi(FLAGS_address.substr(colon + 1));
  if (!server.bind_to_port(FLAGS_address.substr(0, colon), port)) return 1;
  auto announcer = std::thread{[] {
    for (auto tries = 0; tries < 100 && !announce(); ++tries) {
      std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
  }};
  server.listen_after_bind();
  announcer.join();
  return 0;
}

auto key(const std::string& name, int number) -> std::string {
  using namespace std::chrono;
  auto birth =
      duration_cast<milliseconds>(system_clock::now().time_since_epoch());
  auto text = std::ostringstream{};
  text << FLAGS_domain << '.' << std::hex << birth.count() << '.' << std::dec
       << name << '-' << number;
  return text.str();
}

auto send(httplib::Client& to, const std::string& name, int number)
    -> std::string {
  auto body = name + "-" + std::to_string(number);
  auto headers = httplib::Headers{{"Figwind-Key", key(name, number)},
                                  {"Figwind-Sending", "first"}};
  auto got = to.Post("/v1/call/" + name, headers, body, "text/plain");
  if (!got) return "no answer";
  auto outcome = got->get_header_value("Figwind-Outcome");
  auto reason = got->get_header_value("Figwind-Reason");
  return reason.empty() ? outcome : outcome + " (" + reason + ")";
}

void call(const std::string& name) {
  auto to = client(FLAGS_node);
  auto outcomes = std::map<std::string, int>{};
  for (auto i = 0; i < FLAGS_calls; ++i) ++outcomes[send(to, name, i)];
  std::cout << name << ":";
  for (const auto& [outcome, count] : outcomes) {
    std::cout << " " << count << " " << outcome;
  }
  std::cout << std::endl;
}

/// Waits until the control member knows `FLAGS_groups` recorder groups, and
/// then for a heartbeat that brings them to the nodes.
auto wait() -> int {
  auto to = client(FLAGS_control);
  constexpr auto max_tries = 300;
  for (auto i = 0; i < max_tries; ++i) {
    auto got = to.Get("/v1/status");
    auto fields = nlohmann::json::parse(got ? got->body : "", nullptr, false);
    if (fields.is_object() &&
        fields.value("recorder_groups", 0) >= FLAGS_groups) {
      std::this_thread::sleep_for(std::chrono::seconds{2});
      return 0;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
  }
  std::cout << "the recorder groups are not in force" << std::endl;
  return 1;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_role == "backend") return serve();
  if (FLAGS_role == "wait") return wait();
  auto names = std::istringstream{FLAGS_classes};
  for (auto name = std::string{}; std::getline(names, name, ',');) call(name);
  return 0;
}
