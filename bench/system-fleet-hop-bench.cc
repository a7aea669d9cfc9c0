// Time that the entry node and the server node of the fleet add to a call, as
// processes on loopback: calls through both beside calls straight to the
// backend server, in one run, at 250 calls a second on 550 connections. Also
// the memory that idle connections of callers hold.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <vector>

#include "figure.h"
#include "soak-backend.h"
#include "soak-operator.h"

using namespace figwind;
using namespace figwind::soak;

namespace {

constexpr auto connections = std::size_t{550};
constexpr auto call_period = milliseconds(4);
constexpr auto measured_calls = std::size_t{3000};
constexpr auto target_p99_ms = 0.31;
// Long enough for a slow machine; the start is not measured.
constexpr auto max_start_time = seconds(60);

auto quantile(std::vector<double>& all, double q) -> double {
  std::sort(all.begin(), all.end());
  return all.at(static_cast<std::size_t>(q * (all.size() - 1)));
}

/// Resident memory of a process, in bytes; 0 when it has none.
auto resident(pid_t pid) -> double {
  auto file = std::ifstream{"/proc/" + std::to_string(pid) + "/statm"};
  auto pages = std::size_t{0};
  file >> pages >> pages;
  return static_cast<double>(pages) * static_cast<double>(getpagesize());
}

class hop_bench {
 public:
  hop_bench()
      : folder_{std::filesystem::temp_directory_path() /
                ("figwind-hop-" + std::to_string(getpid()))} {
    const auto net = "127." + std::to_string(10 + getpid() % 200) + ".9.";
    auto members = std::vector<const system_process*>{};
    for (auto i = 1; i <= 5; ++i) {
      const auto ip = net + std::to_string(i);
      const auto service = i <= 3 ? "" : (i == 4 ? "front" : "deep");
      processes_.push_back(
          std::make_unique<system_process>(ip, "a", service, folder_ / ip));
      if (i > 3) continue;
      members.push_back(processes_.back().get());
      seeds_ += (i == 1 ? "" : ",") + ip + ":" + std::to_string(control_port);
    }
    operator_ = std::make_unique<desired_state_operator>(loop_, seen_, members,
                                                         random_source{1});
    backend_ = std::make_unique<backend>(loop_, seen_, *processes_[4],
                                         random_source{2}, "");
    backend_->work = {};
  }
  ~hop_bench() {
    if (warm_) std::filesystem::remove_all(folder_);
  }
  hop_bench(const hop_bench&) = delete;
  auto operator=(const hop_bench&) -> hop_bench& = delete;
  hop_bench(hop_bench&&) = delete;
  auto operator=(hop_bench&&) -> hop_bench& = delete;

  /// True once calls through the nodes are served.
  auto start() -> bool {
    for (const auto& x : processes_) {
      x->write_settings(seeds_, true);
      x->start(std::string{FIGWIND_BINARY_DIR} + "/figwind-platform");
    }
    backend_->start();
    operator_->change(false);
    through_.push_back(connect(call_address()));
    const auto end = steady_now() + max_start_time;
    for (auto i = 0; steady_now() < end && !warm_; ++i) {
      run_for(milliseconds(50));
      if (i % 10 == 0) backend_->announce();
      if (!through_[0]->idle()) continue;
      send(*through_[0], [this](double, bool ok) { warm_ = ok; });
    }
    return warm_;
  }

  /// Prints what each process has logged last; the folder with the logs stays.
  void explain_failed_start() const {
    std::cerr << "accepted version " << operator_->accepted() << ", " << calls_
              << " calls sent; logs in " << folder_.string() << "\n";
    for (const auto& x : processes_) {
      auto log = std::ifstream{folder_ / x->ip / "log"};
      auto last = std::string{"no log"};
      for (auto line = std::string{}; std::getline(log, line);) last = line;
      std::cerr << x->ip << ": " << last << "\n";
    }
  }

  void run() {
    const auto before = resident(processes_[3]->pid());
    for (auto i = std::size_t{0}; i < connections; ++i) {
      if (i > 0) through_.push_back(connect(call_address()));
      direct_.push_back(connect(address_at(processes_[4]->ip, backend_port)));
      send(*through_.back(), [](double, bool) {});
      send(*direct_.back(), [](double, bool) {});
      run_for(milliseconds(2));
    }
    run_for(milliseconds(500));
    const auto held = resident(processes_[3]->pid()) - before;
    auto node_ms = std::vector<double>{};
    auto direct_ms = std::vector<double>{};
    for (auto i = std::size_t{0}; i < measured_calls; ++i) {
      measure(*through_[i % connections], node_ms);
      run_for(call_period * 0.5);
      measure(*direct_[i % connections], direct_ms);
      run_for(call_period * 0.5);
      if (i % 100 == 0) backend_->announce();
    }
    run_for(seconds(1));
    for (const auto q : {0.5, 0.99}) {
      const auto base = quantile(direct_ms, q);
      const auto name = q < 0.9 ? "fleet_added_p50" : "fleet_added_p99";
      auto x = bench::figure{name, "ms", quantile(node_ms, q) - base, base, {}};
      if (q > 0.9) x.target = target_p99_ms;
      bench::print(x);
    }
    bench::print({"fleet_bytes_for_each_idle_connection", "bytes",
                  held / connections, std::nullopt, std::nullopt});
    bench::print({"fleet_calls_measured", "calls",
                  static_cast<double>(node_ms.size()), std::nullopt,
                  std::nullopt});
  }

 private:
  using connection_ptr = std::shared_ptr<http_connection>;

  [[nodiscard]] auto call_address() const -> vm_address {
    return address_at(processes_[3]->ip, call_port);
  }
  auto connect(const vm_address& to) -> connection_ptr {
    return std::make_shared<http_connection>(loop_, to);
  }

  template <class Done>
  void send(http_connection& to, Done done) {
    const auto id = std::to_string(++calls_) + "x";
    auto asked = make_call(http::verb::get, "/deep/" + id, id, seconds(2));
    const auto from = steady_now();
    to.send(std::move(asked), seconds(2),
            [from, done = std::move(done)](const exchange_end& end) {
              const auto ok = end.answer && end.answer->result_int() == 200;
              done((steady_now() - from).ms, ok);
            });
  }

  void measure(http_connection& to, std::vector<double>& out) {
    if (!to.idle()) return;
    send(to, [&out](double ms, bool ok) {
      if (ok) out.push_back(ms);
    });
  }

  void run_for(duration x) {
    loop_.run_for(
        std::chrono::microseconds{static_cast<std::int64_t>(x.ms * 1000)});
    loop_.restart();
  }

  event_loop loop_;
  std::filesystem::path folder_;
  promises seen_;
  std::string seeds_;
  std::vector<std::unique_ptr<system_process>> processes_;
  std::unique_ptr<desired_state_operator> operator_;
  std::unique_ptr<backend> backend_;
  std::vector<connection_ptr> through_;
  std::vector<connection_ptr> direct_;
  std::uint64_t calls_ = 0;
  bool warm_ = false;
};

}  // namespace

auto main() -> int {
  std::signal(SIGPIPE, SIG_IGN);
  auto bench = hop_bench{};
  if (!bench.start()) {
    std::cerr << "system-fleet-hop-bench: the fleet does not serve\n";
    bench.explain_failed_start();
    return 1;
  }
  bench.run();
  return 0;
}
