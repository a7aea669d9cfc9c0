// The processes of a soak: settings, start, signals and their links' proxies.

#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "figwind/fleet_settings.h"
#include "soak-proxy.h"

namespace figwind::soak {

constexpr std::uint16_t link_port = 7000;
constexpr std::uint16_t link_behind_port = 7001;
constexpr std::uint16_t call_port = 7010;
constexpr std::uint16_t ready_port = 7011;
constexpr std::uint16_t control_port = 7012;
constexpr std::uint16_t backend_port = 7013;

/// One process of the system on an IP number of its own.
class system_process {
 public:
  /// Takes links at `listen_port`; others open them at `link_port`.
  system_process(std::string ip, std::string zone, std::string service,
                 std::filesystem::path folder,
                 std::uint16_t listen_port = link_port)
      : ip{std::move(ip)},
        zone{std::move(zone)},
        service{std::move(service)},
        folder_{std::move(folder)},
        listen_port_{listen_port} {
    std::filesystem::create_directories(folder_ / "data");
  }
  ~system_process() { kill(SIGKILL); }
  system_process(const system_process&) = delete;
  auto operator=(const system_process&) -> system_process& = delete;
  system_process(system_process&&) = delete;
  auto operator=(system_process&&) -> system_process& = delete;

  [[nodiscard]] auto is_node() const -> bool { return !service.empty(); }
  [[nodiscard]] auto runs() const -> bool { return pid_ > 0; }
  [[nodiscard]] auto pid() const -> pid_t { return pid_; }

  void write_settings(const std::string& seeds, bool first) const {
    auto out = std::ofstream{folder_ / "settings.ini"};
    out << "[process]\nname = " << ip << "\nfailure-domain = " << zone
        << "\nip = " << ip << "\nlink-port = " << link_port
        << "\nlink-listen-port = " << listen_port_
        << "\ncontrol-address = " << ip << ":" << control_port
        << "\nseeds = " << seeds << "\n[node]\ncall-address = " << ip << ":"
        << call_port << "\nready-address = " << ip << ":" << ready_port
        << "\nbackend-address = " << ip << ":" << backend_port
        << "\nservice = " << service
        << "\n[control]\ndata-folder = " << (folder_ / "data").string()
        << "\nfirst-start = " << (first ? "yes" : "no") << "\n";
  }

  /// `file_limit` bounds the size of each file, as a full disk does; 0 for no
  /// bound.
  void start(const std::string& program, rlim_t file_limit = 0) {
    const auto role = std::string{is_node() ? "node" : "control"};
    const auto settings = "FIGWIND_BOOT=" + (folder_ / "settings.ini").string();
    const auto log = (folder_ / "log").string();
    pid_ = fork();
    if (pid_ != 0) return;
    // Nothing of the soak's own is left open in the program. A listening socket
    // that waited for the disk here would keep its address in use.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    // The program ends with the soak, also if that fails.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    if (file_limit > 0) {
      const auto limit = rlimit{file_limit, file_limit};
      setrlimit(RLIMIT_FSIZE, &limit);
      ::signal(SIGXFSZ, SIG_IGN);
    }
    close(out);
    auto arguments =
        std::array<char*, 3>{const_cast<char*>(program.c_str()),
                             const_cast<char*>(role.c_str()), nullptr};
    auto environment =
        std::array<char*, 2>{const_cast<char*>(settings.c_str()), nullptr};
    execve(program.c_str(), arguments.data(), environment.data());
    _exit(127);
  }

  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }

  /// Ends the process and waits for its end.
  void kill(int number) {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, number);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }

  /// True when the process has ended since the last call; it is then reaped.
  auto has_ended() -> bool {
    if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    pid_ = 0;
    return true;
  }

  void wipe_disk() const {
    std::filesystem::remove_all(folder_ / "data");
    std::filesystem::create_directories(folder_ / "data");
  }

  const std::string ip;
  const std::string zone;
  const std::string service;

 private:
  std::filesystem::path folder_;
  std::uint16_t listen_port_;
  pid_t pid_ = 0;
};

/// A process whose links pass through a proxy.
class proxied_process : public system_process {
 public:
  proxied_process(event_loop& loop, network_faults& faults,
                  const std::string& ip, const std::string& zone,
                  const std::string& service,
                  const std::filesystem::path& folder)
      : system_process{ip, zone, service, folder, link_behind_port},
        proxy{loop, faults, address_at(ip, link_port),
              address_at(ip, link_behind_port)} {}

  link_proxy proxy;
};

}  // namespace figwind::soak
