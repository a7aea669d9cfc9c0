// A randomized soak: the real programs as processes on loopback addresses,
// under faults from outside. Prints the seed and each broken promise; exits 1
// if there is one.

#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <memory>

#include "soak-backend.h"
#include "soak-callers.h"
#include "soak-operator.h"

DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_double(seconds, 20, "time under faults");
DEFINE_string(program, "", "path of figwind-platform");
DEFINE_string(folder, "", "folder for settings, disks and logs");
DEFINE_int32(nodes, 6, "nodes, each with a backend server and callers");

namespace figwind::soak {
namespace {

constexpr auto member_count = 3;
constexpr auto callers_of_a_node = 3;
constexpr auto recovery_bound = seconds(15);
// Without faults hardly anything may fail; callers that leave early do not
// count.
constexpr auto least_served = 0.9;

class soak {
 public:
  explicit soak(std::uint64_t seed)
      : random_{seed},
        answer_random_{~seed},
        stop_random_{seed ^ 0x5bd1e995U},
        folder_{FLAGS_folder},
        quiet_{steady_now()} {
    const auto zones = std::array<std::string, 3>{"a", "b", "c"};
    for (auto i = 0; i < member_count; ++i) add(zones.at(i), "");
    for (auto i = 0; i < FLAGS_nodes; ++i) {
      add(zones.at(i % 3), i % 2 == 0 ? "front" : "deep");
    }
    auto members = std::vector<const system_process*>{};
    for (auto i = 0; i < member_count; ++i) {
      members.push_back(processes_[i].get());
      seeds_ += (seeds_.empty() ? "" : ",") + processes_[i]->ip + ":" +
                std::to_string(control_port);
    }
    operator_ = std::make_unique<desired_state_operator>(
        loop_, seen_, members, random_source{random_.bits()});
    for (const auto& x : processes_) {
      if (x->is_node()) add_node_users(*x);
    }
  }

  auto run() -> bool {
    for (const auto& x : processes_) start(*x, true);
    for (const auto& x : backends_) x->start();
    every(milliseconds(5), [this] {
      for (const auto& x : processes_) x->proxy.poll();
    });
    every(milliseconds(50), [this] {
      quiet_.on_turn(steady_now());
      restart_ended();
    });
    every(milliseconds(500), [this] {
      for (const auto& x : backends_) x->announce();
      seen_.check_repeats();
    });
    operator_->change(false);
    run_until(seconds(30), [this] { return operator_->accepted() > 0; });
    if (operator_->accepted() == 0) seen_.broken("the system does not start");
    for (const auto& x : processes_) x->write_settings(seeds_, false);
    for (const auto& x : callers_) x->run();
    run_until(seconds(15), [this] { return seen_.served() > 50; });
    every(milliseconds(150), [this] { act(); });
    acting_ = true;
    acting_since_ = steady_now();
    run_until(seconds(FLAGS_seconds), [] { return false; });
    acting_ = false;
    recover();
    return report();
  }

 private:
  void add(const std::string& zone, const std::string& service) {
    const auto pid = static_cast<unsigned>(getpid());
    const auto ip = "127." + std::to_string(10 + pid % 200) + "." +
                    std::to_string(pid / 200 % 250) + "." +
                    std::to_string(processes_.size() + 1);
    processes_.push_back(std::make_unique<proxied_process>(
        loop_, network_, ip, zone, service, folder_ / ip));
  }

  void add_node_users(const system_process& node) {
    const auto is_front = node.service == "front";
    backends_.push_back(std::make_unique<backend>(
        loop_, seen_, node, random_source{random_.bits()},
        is_front ? "/deep/inner" : ""));
    auto& added = *backends_.back();
    added.on_poison = [this, &added] { crash(added, seconds(1)); };
    for (auto i = 0; i < callers_of_a_node; ++i) {
      callers_.push_back(std::make_unique<caller>(
          loop_, seen_, quiet_, node, random_source{random_.bits()}));
    }
  }

  void start(system_process& x, bool first, rlim_t file_limit = 0) {
    x.write_settings(seeds_, first);
    x.start(FLAGS_program, file_limit);
  }

  void every(duration period, std::function<void()> action) {
    timers_.push_back(std::make_unique<periodic_timer<std::function<void()>>>(
        loop_, period, std::move(action)));
  }

  void later(duration after, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(loop_);
    timer->expires_after(to_chrono(after));
    timer->async_wait([timer, action = std::move(action)](error_code error) {
      if (!error) action();
    });
  }

  void run_until(duration limit, const std::function<bool()>& done) {
    const auto end = steady_now() + limit;
    while (!done() && steady_now() < end) {
      loop_.run_for(std::chrono::milliseconds{10});
      loop_.restart();
    }
  }

  /// Starts processes that have ended, as the platform does.
  void restart_ended() {
    for (const auto& x : processes_) {
      if (x->has_ended()) start(*x, false);
    }
  }

  auto any_process() -> proxied_process& {
    return *processes_[random_.index(processes_.size())];
  }
  auto any_node() -> proxied_process& {
    const auto at =
        member_count + random_.index(processes_.size() - member_count);
    return *processes_[at];
  }
  auto any_backend() -> backend& {
    return *backends_[random_.index(backends_.size())];
  }

  /// A fault that nobody planned is in force until `until` from now on.
  void note_fault(duration until) { quiet_.on_fault(steady_now() + until); }

  /// One step of the schedule: planned work and faults overlap.
  void act() {
    if (!acting_) return;
    operator_->read();
    if (random_.chance(0.25)) operator_->change(random_.chance(0.3));
    if (random_.chance(0.05)) operator_->send_invalid();
    if (random_.chance(0.08)) any_node().signal(SIGTERM);
    if (random_.chance(0.05)) any_process().signal(SIGHUP);
    if (random_.chance(0.05)) replace_backend();
    if (stop_random_.chance(0.04)) {
      processes_[stop_random_.index(member_count)]->signal(SIGTERM);
    }
    // At first there is planned work only, so that it is judged alone.
    const auto faulty =
        steady_now() - acting_since_ > seconds(FLAGS_seconds) * 0.4;
    if (faulty && random_.chance(0.3)) fault();
    // The same caller's service sends it, so that it is the same request.
    const auto poisons = faulty && FLAGS_seed % 2 == 0;
    callers_.front()->poison_share = poisons ? 0.02 : 0;
  }

  void replace_backend() {
    auto& x = any_backend();
    if (!x.runs()) return;
    x.drain();
    later(seconds(4), [&x] {
      if (!x.runs()) x.start();
    });
  }

  void fault() {
    note_fault(milliseconds(300));
    switch (random_.index(9)) {
      case 0:
        return any_process().signal(SIGKILL);
      case 1:
        return pause(any_process());
      case 2:
        return cut();
      case 3:
        return any_process().proxy.reset();
      case 4:
        return slow_link();
      case 5:
        return crash(any_backend(), seconds(0.5 + 2 * random_.uniform()));
      case 6:
        return break_backend();
      case 7:
        return lose_disk();
      default:
        return fill_disk();
    }
  }

  void pause(system_process& x) {
    const auto time = milliseconds(200 + 2500 * random_.uniform());
    note_fault(time);
    x.signal(SIGSTOP);
    later(time, [&x] { x.signal(SIGCONT); });
  }

  /// Cuts one process from all others, in one or both directions.
  void cut() {
    const auto& x = any_process();
    const auto time = milliseconds(300 + 3000 * random_.uniform());
    note_fault(time);
    const auto in = random_.chance(0.7);
    const auto out = !in || random_.chance(0.7);
    for (const auto& y : processes_) {
      if (in) network_.cut(y->ip, x.ip);
      if (out) network_.cut(x.ip, y->ip);
    }
    later(time, [this] { network_.heal(); });
  }

  void slow_link() {
    const auto time = milliseconds(500 + 2000 * random_.uniform());
    note_fault(time);
    network_.delay(any_process().ip, milliseconds(5 + 150 * random_.uniform()));
    later(time, [this] { network_.heal(); });
  }

  void crash(backend& x, duration down) {
    if (!x.runs()) return;
    note_fault(down);
    x.crash();
    later(down, [&x] {
      if (!x.runs()) x.start();
    });
  }

  void break_backend() {
    auto& x = any_backend();
    const auto time = milliseconds(500 + 2000 * random_.uniform());
    note_fault(time);
    x.faults.lost = random_.chance(0.5) ? 0.3 : 0;
    x.faults.refused = random_.chance(0.5) ? 0.5 : 0;
    x.faults.torn = random_.chance(0.5) ? 0.1 : 0;
    x.faults.doubled = random_.chance(0.5) ? 0.1 : 0;
    x.faults.repeated = answer_random_.chance(0.5) ? 0.2 : 0;
    x.faults.silent = answer_random_.chance(0.5) ? 0.1 : 0;
    x.work = milliseconds(random_.chance(0.3) ? 400 : 10);
    later(time, [&x] {
      x.faults = {};
      x.work = milliseconds(10);
    });
  }

  /// A control member comes back with an empty disk; one at a time.
  void lose_disk() {
    if (steady_now() < next_disk_fault_) return;
    next_disk_fault_ = steady_now() + seconds(6);
    auto& x = *processes_[random_.index(member_count)];
    x.kill(SIGKILL);
    x.wipe_disk();
    later(milliseconds(300), [this, &x] {
      if (!x.runs()) start(x, false);
    });
  }

  /// A control member finds its disk full for a while.
  void fill_disk() {
    if (steady_now() < next_disk_fault_) return;
    next_disk_fault_ = steady_now() + seconds(6);
    auto& x = *processes_[random_.index(member_count)];
    constexpr auto tiny = rlim_t{64};
    x.kill(SIGKILL);
    start(x, false, tiny);
    later(seconds(2), [&x] { x.signal(SIGKILL); });
  }

  void recover() {
    network_.heal();
    for (const auto& x : processes_) x->signal(SIGCONT);
    callers_.front()->poison_share = 0;
    for (const auto& x : backends_) {
      x->faults = {};
      x->work = milliseconds(10);
    }
    run_until(seconds(6), [] { return false; });
    for (const auto& x : backends_) {
      if (!x->runs()) x->start();
    }
    run_until(seconds(20), [this] { return operator_->idle(); });
    const auto newest = operator_->accepted();
    run_until(recovery_bound, [&, this] {
      operator_->read();
      return operator_->last_read() >= newest;
    });
    if (operator_->last_read() < newest) {
      seen_.broken("LOST: the newest accepted state is not read back");
    }
    const auto served = seen_.served();
    const auto answers = seen_.answers();
    run_until(recovery_bound,
              [&, this] { return seen_.answers() > answers + 1000; });
    const auto share = static_cast<double>(seen_.served() - served) /
                       static_cast<double>(seen_.answers() - answers + 1);
    if (share < least_served) {
      seen_.broken("RECOVER: " + std::to_string(share) + " is served");
    }
    for (const auto& x : callers_) x->stop();
  }

  auto report() -> bool {
    for (const auto& x : seen_.violations())
      std::cout << "broken: " << x << "\n";
    std::cout << "seed " << FLAGS_seed << ": " << seen_.answers()
              << " answers, " << seen_.served() << " served, "
              << operator_->accepted() << " is the newest state, ";
    if (quiet_.standstill() > duration{}) {
      std::cout << "the soak stood still for " << quiet_.standstill().ms
                << " ms, ";
    }
    std::cout << seen_.violations().size() << " broken\n";
    return seen_.violations().empty();
  }

  random_source random_;
  /// Choices added later, so that a seed keeps its order of events.
  random_source answer_random_;
  random_source stop_random_;
  std::filesystem::path folder_;
  event_loop loop_;
  network_faults network_;
  promises seen_;
  calm quiet_;
  std::string seeds_;
  std::vector<std::unique_ptr<proxied_process>> processes_;
  std::vector<std::unique_ptr<backend>> backends_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::unique_ptr<desired_state_operator> operator_;
  std::vector<std::unique_ptr<periodic_timer<std::function<void()>>>> timers_;
  time_point next_disk_fault_;
  time_point acting_since_;
  bool acting_ = false;
};

}  // namespace
}  // namespace figwind::soak

auto main(int argc, char** argv) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_program.empty() || FLAGS_folder.empty()) {
    std::cerr << "figwind-soak: --program and --folder are needed\n";
    return 2;
  }
  auto run = figwind::soak::soak{FLAGS_seed};
  return run.run() ? 0 : 1;
}
