// The daemon: a node, a control member or both.

#include <gflags/gflags.h>

#include <caf/all.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>

#include "adapters/load.h"
#include "adapters/log.h"
#include "adapters/process.h"

DEFINE_string(settings, "", "INI file with the settings of this process");
DEFINE_string(workload, "",
              "INI file with the classes in force until a configuration is "
              "accepted; optional");
DEFINE_bool(check, false, "check the files, report all findings and exit");

namespace {

constexpr auto exit_failed = 1;
constexpr auto exit_usage = 2;

auto stop_signals() -> sigset_t {
  auto signals = sigset_t{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

auto wait_for_stop() -> int {
  auto signals = stop_signals();
  auto received = 0;
  sigwait(&signals, &received);
  return received;
}

auto run(const figwind::process_settings& own, const std::string& workload)
    -> int {
  auto config = caf::actor_system_config{};
  figwind::limit_scheduler(config);
  auto system = caf::actor_system{config};
  auto running = std::optional<figwind::process>{};
  try {
    running.emplace(system, own, workload);
  } catch (const std::exception& e) {
    figwind::log_error("start-failed", {{"reason", e.what()}});
    return exit_failed;
  }
  figwind::log_info("started", {{"cluster", own.cluster},
                                {"failure_domain", own.domain.value},
                                {"node", own.is_node},
                                {"control", own.is_control}});
  auto received = wait_for_stop();
  figwind::log_info("stopping", {{"signal", received}});
  auto drained = running->drain();
  figwind::log_info("stopped", {{"drained", drained}});
  // All work has ended and the disk is synced. cpp-httplib would wait for
  // kept-open idle connections until their time-out.
  std::quick_exit(0);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  gflags::SetUsageMessage("figwindd --settings FILE [--workload FILE]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto own = figwind::load_settings(FLAGS_settings);
  auto found = errors(own);
  auto text = std::string{};
  if (!FLAGS_workload.empty()) {
    auto classes = figwind::load_workload(FLAGS_workload);
    auto more = errors(classes);
    found.insert(found.end(), more.begin(), more.end());
    auto loaded = figwind::load_text(FLAGS_workload);
    if (ok(loaded)) text = value(loaded);
  }
  if (!found.empty()) {
    std::cerr << to_string(found);
    return exit_usage;
  }
  if (FLAGS_check) return 0;
  auto signals = stop_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  figwind::open_log("figwindd");
  return run(value(own), text);
}
