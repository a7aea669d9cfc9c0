// The daemon: a node, a control member or both.

#include <gflags/gflags.h>

#include <caf/all.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "adapters/call_server.h"
#include "adapters/log.h"
#include "figwind/settings.h"
#include "figwind/workload.h"

DEFINE_string(settings, "", "INI file with the settings of this process");
DEFINE_string(workload, "", "INI file with the classes until one is accepted");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

auto read_file(const std::string& path) -> std::string {
  auto in = std::ifstream{path};
  auto text = std::ostringstream{};
  text << in.rdbuf();
  return text.str();
}

auto wait_for_stop() -> int {
  auto signals = sigset_t{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  auto received = 0;
  sigwait(&signals, &received);
  return received;
}

void block_stop_signals() {
  auto signals = sigset_t{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  gflags::SetUsageMessage("figwindd --settings FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto own = figwind::parse_settings(FLAGS_settings, read_file(FLAGS_settings));
  auto classes =
      figwind::parse_workload(FLAGS_workload, read_file(FLAGS_workload));
  if (!ok(own) || !ok(classes)) {
    std::cerr << to_string(errors(own)) << to_string(errors(classes));
    return 2;
  }
  if (FLAGS_check) return 0;
  block_stop_signals();
  figwind::open_log("figwindd");
  auto config = caf::actor_system_config{};
  auto system = caf::actor_system{config};
  {
    const auto& own_settings = value(own);
    auto node =
        figwind::node_handle{system,
                             {own_settings.domain, own_settings.call_address,
                              std::random_device{}()},
                             value(classes)};
    auto server = figwind::call_server{own_settings, node};
    figwind::log_info("started",
                      {{"call_address", own_settings.call_address.value}});
    auto received = wait_for_stop();
    figwind::log_info("stopping", {{"signal", received}});
  }
  return 0;
}
