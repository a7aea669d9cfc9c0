// A small deployment on loopback for tests and benchmarks: one control member
// with a node, more nodes, and a stand-in backend server beside each.

#pragma once

#include <arpa/inet.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <caf/all.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "adapters/clock.h"
#include "adapters/process.h"
#include "adapters/thread_pool.h"

namespace figwind::test {

/// A port of loopback that was free a moment ago.
inline auto free_address() -> vm_address {
  auto descriptor = socket(AF_INET, SOCK_STREAM, 0);
  auto at = sockaddr_in{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto size = socklen_t{sizeof at};
  bind(descriptor, reinterpret_cast<sockaddr*>(&at), size);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&at), &size);
  close(descriptor);
  return {"127.0.0.1:" + std::to_string(ntohs(at.sin_port))};
}

inline auto client_of(const vm_address& address) -> httplib::Client {
  auto made = httplib::Client{"http://" + address.value};
  made.set_tcp_nodelay(true);
  made.set_keep_alive(true);
  return made;
}

/// Polls `condition` until it holds; false after a minute.
inline auto wait_until(const std::function<bool()>& condition) -> bool {
  constexpr auto tries = 6000;
  for (auto i = 0; i < tries; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  return false;
}

/// A backend server that answers with its own handler.
class local_backend {
 public:
  using handler =
      std::function<void(const httplib::Request&, httplib::Response&)>;

  local_backend(vm_address address, handler work)
      : address_{std::move(address)}, work_{std::move(work)} {
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(1U << 30U);
    server_.new_task_queue = [] { return new thread_pool{700}; };
    server_.Post(R"(/v1/work/([\w-]+))",
                 [this](const httplib::Request& in, httplib::Response& out) {
                   ++runs;
                   out.set_header("Figwind-Request-Id",
                                  in.get_header_value("Figwind-Request-Id"));
                   work_(in, out);
                 });
    auto colon = address_.value.rfind(':');
    server_.bind_to_port("127.0.0.1",
                         std::stoi(address_.value.substr(colon + 1)));
    thread_ = std::thread{[this] { server_.listen_after_bind(); }};
  }
  ~local_backend() {
    server_.stop();
    thread_.join();
  }
  local_backend(const local_backend&) = delete;
  auto operator=(const local_backend&) -> local_backend& = delete;

  auto address() const -> const vm_address& { return address_; }

  std::atomic<int> runs{0};

 private:
  vm_address address_;
  handler work_;
  httplib::Server server_;
  std::thread thread_;
};

/// One control member with a node and `nodes - 1` more nodes of one service in
/// one failure domain. It is never taken down: processes end with the program.
class local_deployment {
 public:
  static constexpr auto token = "test-token";

  local_deployment(std::size_t nodes, local_backend::handler work)
      : config_{std::make_unique<caf::actor_system_config>()},
        system_{limited(*config_)},
        folder_{std::filesystem::temp_directory_path() /
                ("figwind-" + std::to_string(getpid()))} {
    std::filesystem::create_directories(folder_);
    write_token();
    auto first = free_address();
    for (auto i = std::size_t{0}; i < nodes; ++i) {
      start(i == 0, i == 0 ? first : free_address(), first, work);
    }
  }
  ~local_deployment() { std::filesystem::remove_all(folder_); }
  local_deployment(const local_deployment&) = delete;
  auto operator=(const local_deployment&) -> local_deployment& = delete;

  auto own(std::size_t i) const -> const process_settings& {
    return settings_.at(i);
  }
  auto backend(std::size_t i) -> local_backend& { return *backends_.at(i); }
  /// Takes a backend server away, or starts another one at its address.
  void stop_backend(std::size_t i) { backends_.at(i).reset(); }
  void start_backend(std::size_t i, const local_backend::handler& work) {
    backends_.at(i) = std::make_unique<local_backend>(addresses_.at(i), work);
  }
  auto node(std::size_t i) -> process& { return *processes_.at(i); }
  auto control() const -> vm_address {
    return settings_.front().operator_address;
  }

  /// Requests that all backend servers have run.
  auto runs() const -> int {
    auto sum = 0;
    for (const auto& x : backends_) sum += x->runs;
    return sum;
  }

  auto status(std::size_t i) -> nlohmann::json {
    auto got = client_of(own(i).operator_address).Get("/v1/status");
    return got ? nlohmann::json::parse(got->body, nullptr, false)
               : nlohmann::json{};
  }

  /// Sends one change to the control member.
  auto change(const std::string& text, int base, const std::string& id)
      -> httplib::Result {
    auto headers =
        httplib::Headers{{"Authorization", std::string{"Bearer "} + token},
                         {"Figwind-Request", id},
                         {"Figwind-Base", std::to_string(base)},
                         {"Figwind-Author", "test"}};
    return client_of(control()).Post("/v1/config", headers, text, "text/plain");
  }

  /// True when every node has `version` in force.
  auto in_force(std::uint64_t version) -> bool {
    for (auto i = std::size_t{0}; i < settings_.size(); ++i) {
      auto now = status(i);
      if (!now.contains("node")) return false;
      if (now["node"]["version"].get<std::uint64_t>() < version) return false;
    }
    return true;
  }

 private:
  static auto limited(caf::actor_system_config& config)
      -> caf::actor_system_config& {
    limit_scheduler(config);
    return config;
  }

  void write_token() {
    auto path = folder_ / "token";
    std::ofstream{path} << token << "\n";
    std::filesystem::permissions(path, std::filesystem::perms::owner_read |
                                           std::filesystem::perms::owner_write);
  }

  void start(bool is_control, const vm_address& address,
             const vm_address& control, const local_backend::handler& work) {
    auto x = process_settings{};
    x.cluster = "test";
    x.domain.value = "domain-a";
    x.is_node = true;
    x.is_control = is_control;
    x.control_address = address;
    x.call_address = free_address();
    x.operator_address = free_address();
    x.token_file = folder_ / "token";
    x.members = {{1, control, {"domain-a"}}};
    if (is_control) {
      x.data_folder = folder_ / "data";
      x.member_id = 1;
    }
    auto backend_address = free_address();
    backends_.push_back(std::make_unique<local_backend>(backend_address, work));
    addresses_.push_back(backend_address);
    settings_.push_back(x);
    processes_.push_back(std::make_unique<process>(system_, x, ""));
    announce(x.call_address, backend_address);
  }

  static void announce(const vm_address& node, const vm_address& backend) {
    auto fields = nlohmann::json{{"service", "contracte"},
                                 {"address", backend.value},
                                 {"slots", 75},
                                 {"connections", 550}};
    client_of(node).Post("/v1/announce", fields.dump(), "application/json");
  }

  std::unique_ptr<caf::actor_system_config> config_;
  caf::actor_system system_;
  std::filesystem::path folder_;
  std::vector<process_settings> settings_;
  std::vector<vm_address> addresses_;
  std::vector<std::unique_ptr<local_backend>> backends_;
  std::vector<std::unique_ptr<process>> processes_;
};

inline constexpr auto two_classes = R"([class loan-confirmation]
service = contracte
idempotent = no
latency = 800 ms
success = 0.999
importance = 1

[class stock-lookup]
service = contracte
idempotent = yes
latency = 200 ms
success = 0.99
importance = 2
)";

/// A key of domain-a that is born now.
inline auto key_now(const std::string& unique) -> std::string {
  auto text = std::ostringstream{};
  text << "domain-a." << std::hex << static_cast<std::uint64_t>(wall_now().ms)
       << "." << unique;
  return text.str();
}

}  // namespace figwind::test
