// Stand-ins for the cases of the review: the platform that starts and signals
// the programs, backend servers, clients and the operator. Plain sockets and a
// thread for each connection; every address is a loopback address.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline auto now_ms() -> double {
  static const auto start = steady::now();
  return std::chrono::duration<double, std::milli>(steady::now() - start)
      .count();
}

inline auto unix_ms() -> long long {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

inline void sleep_ms(double ms) {
  if (ms <= 0) return;
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// `record.txt`: what was sent, answered and run.
class record {
 public:
  explicit record(const std::string& path) : out_{path} {}
  void line(const std::string& text) {
    const auto lock = std::lock_guard{mutex_};
    auto time = std::array<char, 32>{};
    std::snprintf(time.data(), time.size(), "%10.1f ", now_ms());
    out_ << time.data() << text << '\n' << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// ---------------------------------------------------------------- sockets

/// A file descriptor that is closed at the end of its scope.
class owned_socket {
 public:
  explicit owned_socket(int fd = -1) : fd_{fd} {}
  ~owned_socket() { close(); }
  owned_socket(owned_socket&& x) noexcept : fd_{std::exchange(x.fd_, -1)} {}
  auto operator=(owned_socket&& x) noexcept -> owned_socket& {
    std::swap(fd_, x.fd_);
    return *this;
  }
  owned_socket(const owned_socket&) = delete;
  auto operator=(const owned_socket&) -> owned_socket& = delete;
  [[nodiscard]] auto fd() const -> int { return fd_; }
  [[nodiscard]] auto is_open() const -> bool { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

 private:
  int fd_;
};

inline auto address_of(const std::string& ip, int port) -> sockaddr_in {
  auto out = sockaddr_in{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

inline void set_no_delay(int fd) {
  const auto on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline auto connect_to(const std::string& ip, int port, double limit_ms)
    -> owned_socket {
  auto out = owned_socket{
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
  const auto to = address_of(ip, port);
  if (::connect(out.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) !=
          0 &&
      errno != EINPROGRESS) {
    return owned_socket{};
  }
  auto wait = pollfd{out.fd(), POLLOUT, 0};
  auto error = 0;
  auto size = socklen_t{sizeof error};
  if (::poll(&wait, 1, static_cast<int>(limit_ms)) != 1) return owned_socket{};
  getsockopt(out.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return owned_socket{};
  fcntl(out.fd(), F_SETFL, fcntl(out.fd(), F_GETFL) & ~O_NONBLOCK);
  set_no_delay(out.fd());
  return out;
}

inline auto listen_at(const std::string& ip, int port) -> owned_socket {
  auto out = owned_socket{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  const auto on = 1;
  setsockopt(out.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto at = address_of(ip, port);
  if (::bind(out.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) !=
          0 ||
      ::listen(out.fd(), 511) != 0) {
    return owned_socket{};
  }
  return out;
}

inline auto send_all(int fd, const std::string& bytes) -> bool {
  auto done = std::size_t{0};
  while (done < bytes.size()) {
    const auto n =
        ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

// ------------------------------------------------------------------- HTTP

/// A request or a response with a `Content-Length`, which is all that the
/// programs send.
struct message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;

  [[nodiscard]] auto header(const std::string& lower_name) const
      -> std::string {
    const auto found = headers.find(lower_name);
    return found == headers.end() ? std::string{} : found->second;
  }
  /// Status of a response, 0 if there is none.
  [[nodiscard]] auto status() const -> int {
    return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9);
  }
};

/// Reads messages from a connection, one after the other.
class message_reader {
 public:
  explicit message_reader(int fd) : fd_{fd} {}

  /// Reads at most this many bytes a millisecond; 0 for no limit.
  void set_pace(double bytes_per_ms) { bytes_per_ms_ = bytes_per_ms; }

  /// `handler` is called once for each head, before its body is read.
  void on_head(std::function<void(const message&)> handler) {
    on_head_ = std::move(handler);
  }

  /// False if the connection ended or broke, or at the time limit.
  auto read(message& out, double limit_ms) -> bool {
    const auto until = now_ms() + limit_ms;
    out = {};
    auto end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!receive(until)) return false;
    }
    parse_head(buffer_.substr(0, end + 2), out);
    if (on_head_ && !std::exchange(is_head_seen_, true)) on_head_(out);
    const auto begin = end + 4;
    const auto size = static_cast<std::size_t>(
        std::atoll(out.header("content-length").c_str()));
    while (buffer_.size() - begin < size) {
      if (!receive(until)) return false;
    }
    out.body = buffer_.substr(begin, size);
    buffer_.erase(0, begin + size);
    is_head_seen_ = false;
    return true;
  }

  /// True if the last failed read began a message.
  [[nodiscard]] auto has_part() const -> bool { return !buffer_.empty(); }

 private:
  auto receive(double until) -> bool {
    const auto left = until - now_ms();
    auto wait = pollfd{fd_, POLLIN, 0};
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left) + 1) != 1) {
      return false;
    }
    auto part = std::array<char, 65536>{};
    const auto n = ::recv(fd_, part.data(), part.size(), 0);
    if (n <= 0) return false;
    buffer_.append(part.data(), static_cast<std::size_t>(n));
    if (bytes_per_ms_ > 0) sleep_ms(static_cast<double>(n) / bytes_per_ms_);
    return true;
  }

  static void parse_head(const std::string& head, message& out) {
    auto at = head.find("\r\n");
    out.first_line = head.substr(0, at);
    at += 2;
    while (at < head.size()) {
      const auto end = head.find("\r\n", at);
      const auto line = head.substr(at, end - at);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        auto name = line.substr(0, colon);
        std::transform(
            name.begin(), name.end(), name.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        out.headers[name] =
            value == std::string::npos ? std::string{} : line.substr(value);
      }
      at = end + 2;
    }
  }

  int fd_;
  std::string buffer_;
  double bytes_per_ms_ = 0;
  std::function<void(const message&)> on_head_;
  bool is_head_seen_ = false;
};

/// One exchange on a connection of its own. Status 0: no complete answer.
inline auto exchange(const std::string& ip, int port, const std::string& text,
                     double limit_ms) -> message {
  auto out = message{};
  const auto socket = connect_to(ip, port, std::min(limit_ms, 1000.0));
  if (!socket.is_open() || !send_all(socket.fd(), text)) return out;
  auto reader = message_reader{socket.fd()};
  if (!reader.read(out, limit_ms)) return {};
  return out;
}

// --------------------------------------------------------------- platform

/// Ports that are the same on all machines, as the pages say.
struct ports {
  int call = 0;
  int ready = 0;
  int control = 0;
  int link = 0;
  int server = 0;
};

/// Finds ports that are free at the addresses `prefix`1 to `prefix``count`.
inline auto find_ports(const std::string& prefix, int count) -> ports {
  auto random = std::mt19937{std::random_device{}()};
  auto found = std::vector<int>{};
  while (found.size() < 5) {
    const auto port = 20000 + static_cast<int>(random() % 9000);
    auto is_free = std::find(found.begin(), found.end(), port) == found.end();
    for (auto i = 1; i <= count && is_free; ++i) {
      is_free = listen_at(prefix + std::to_string(i), port).is_open();
    }
    if (is_free) found.push_back(port);
  }
  return {found[0], found[1], found[2], found[3], found[4]};
}

/// One machine with one program of the deploy file.
class machine {
 public:
  machine(std::string name, std::string ip, std::string zone,
          std::string service, const ports& all, std::string seeds,
          const std::string& folder)
      : name_{std::move(name)},
        ip_{std::move(ip)},
        zone_{std::move(zone)},
        service_{std::move(service)},
        ports_{all},
        seeds_{std::move(seeds)},
        folder_{folder + "/" + name_} {
    std::filesystem::create_directories(folder_ + "/data");
  }
  ~machine() { end(SIGKILL); }
  machine(const machine&) = delete;
  auto operator=(const machine&) -> machine& = delete;

  [[nodiscard]] auto ip() const -> const std::string& { return ip_; }
  [[nodiscard]] auto name() const -> const std::string& { return name_; }
  [[nodiscard]] auto zone() const -> const std::string& { return zone_; }
  [[nodiscard]] auto service() const -> const std::string& { return service_; }
  [[nodiscard]] auto is_node() const -> bool { return !service_.empty(); }
  [[nodiscard]] auto pid() const -> pid_t { return pid_; }
  [[nodiscard]] auto folder() const -> const std::string& { return folder_; }

  /// Fills in the template of the deploy file, and starts the program.
  void start(bool first) {
    write_settings(first);
    const auto program = std::string{"target/figwind-platform"};
    const auto role = std::string{is_node() ? "node" : "control"};
    const auto settings = "FIGWIND_BOOT=" + folder_ + "/boot.ini";
    const auto log = folder_ + "/log";
    const auto child = fork();
    if (child != 0) {
      pid_ = child;
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
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

  /// Sends a signal and waits for the end; SIGKILL after `grace_ms`.
  void end(int number, double grace_ms = 6000) {
    if (pid_ <= 0) return;
    ::kill(pid_, number);
    const auto until = now_ms() + grace_ms;
    while (!has_ended() && now_ms() < until) sleep_ms(2);
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }

  /// True when the program has ended, once.
  auto has_ended() -> bool {
    if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    pid_ = 0;
    return true;
  }

  [[nodiscard]] auto is_ready() const -> bool {
    const auto text = "GET /v1/ready HTTP/1.1\r\nHost: " + ip_ + "\r\n\r\n";
    return exchange(ip_, ports_.ready, text, 1000).status() == 200;
  }

 private:
  void write_settings(bool first) const {
    const auto at = [this](int port) {
      return ip_ + ":" + std::to_string(port);
    };
    auto values = std::map<std::string, std::string>{
        {"{{node}}", name_},
        {"{{zone}}", zone_},
        {"{{ip}}", ip_},
        {"{{internal-ports.0}}", std::to_string(ports_.link)},
        {"{{listen.control}}", at(ports_.control)},
        {"{{seeds}}", seeds_},
        {"{{listen.outbound}}", is_node() ? at(ports_.call) : ""},
        {"{{listen.ready}}", is_node() ? at(ports_.ready) : ""},
        {"{{app-addr}}", is_node() ? at(ports_.server) : ""},
        {"{{service}}", service_},
        {"{{data-dir}}", is_node() ? "" : folder_ + "/data"},
        {"{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}",
         first ? "yes" : "no"},
        {"{{#bounds}}{{@}} = {{.}}\n{{/bounds}}",
         "drain = 2000ms\ngrace = 6s\nbudget-ratio = 0.2\n"
         "budget-window = 10s\nbudget-slack = 47\n"}};
    auto from = std::ifstream{"deploy/settings.ini"};
    auto text = std::string{std::istreambuf_iterator<char>{from}, {}};
    for (const auto& [key, value] : values) {
      for (auto i = text.find(key); i != std::string::npos;
           i = text.find(key, i + value.size())) {
        text.replace(i, key.size(), value);
      }
    }
    std::ofstream{folder_ + "/boot.ini"} << text;
  }

  std::string name_;
  std::string ip_;
  std::string zone_;
  std::string service_;
  ports ports_;
  std::string seeds_;
  std::string folder_;
  pid_t pid_ = 0;
};

// ---------------------------------------------------------------- servers

/// A backend server. Runs each request once it is complete, for `work_ms`, and
/// echoes its id. Announces itself to the node beside it.
class server {
 public:
  /// Called when a request begins to run.
  using run_handler =
      std::function<void(const std::string& server_id, const message& request)>;

  server(std::string id, const machine& beside, const ports& all,
         run_handler on_run, double work_ms)
      : id_{std::move(id)},
        ip_{beside.ip()},
        service_{beside.service()},
        zone_{beside.zone()},
        ports_{all},
        on_run_{std::move(on_run)},
        work_ms_{work_ms},
        born_ms_{unix_ms()} {}
  ~server() { end(); }
  server(const server&) = delete;
  auto operator=(const server&) -> server& = delete;

  [[nodiscard]] auto id() const -> const std::string& { return id_; }

  using work_function = std::function<double(const message& request)>;
  /// Time in ms that a request takes, instead of the constant. Before `start`.
  void set_work_time(work_function x) { work_time_ = std::move(x); }

  /// Least size of the bodies of answers. Before `start`.
  void set_answer_bytes(std::size_t size) { answer_bytes_ = size; }

  /// Called when the head of a request has arrived. Before `start`.
  void on_head(run_handler handler) { on_head_ = std::move(handler); }

  /// Reads requests slowly from now on; 0 for no limit.
  void set_pace(double bytes_per_ms) { bytes_per_ms_ = bytes_per_ms; }

  auto start() -> bool {
    listener_ = listen_at(ip_, ports_.server);
    if (!listener_.is_open()) return false;
    threads_.emplace_back([this] { accept(); });
    threads_.emplace_back([this] { announce(); });
    return true;
  }

  /// Leaves without `draining`: departs until that is acknowledged, and serves
  /// on. Returns the time of the acknowledgement; 0 without one.
  auto depart(double retry_ms, double limit_ms) -> double {
    announces_ = false;
    const auto text = "DELETE /v1/instances/" + id_ +
                      " HTTP/1.1\r\nHost: " + ip_ +
                      "\r\nContent-Length: 0\r\n\r\n";
    const auto until = now_ms() + limit_ms;
    while (now_ms() < until && !ends_) {
      const auto answer = exchange(ip_, ports_.control, text, 1000);
      if (answer.status() / 100 == 2) return now_ms();
      sleep_ms(retry_ms);
    }
    return 0;
  }

  /// Text of the newest ping, for a copy that the network delivers late.
  auto last_ping() -> std::string {
    const auto lock = std::lock_guard{mutex_};
    return last_ping_;
  }

  /// Ends the server: closes all connections.
  void end() {
    if (ends_.exchange(true)) return;
    ::shutdown(listener_.fd(), SHUT_RDWR);
    for (auto& x : threads_) x.join();
    listener_.close();
    while (open_ > 0) sleep_ms(5);
  }

 private:
  void accept() {
    while (!ends_) {
      auto wait = pollfd{listener_.fd(), POLLIN, 0};
      if (::poll(&wait, 1, 50) != 1) continue;
      const auto fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      ++open_;
      std::thread{[this, fd] {
        serve(owned_socket{fd});
        --open_;
      }}.detach();
    }
  }

  void serve(const owned_socket& socket) {
    set_no_delay(socket.fd());
    auto reader = message_reader{socket.fd()};
    if (on_head_) {
      reader.on_head([this](const message& x) { on_head_(id_, x); });
    }
    auto request = message{};
    auto idle_since = now_ms();
    while (!ends_ && now_ms() - idle_since < idle_close_ms) {
      reader.set_pace(bytes_per_ms_);
      if (!reader.read(request, 50)) {
        if (reader.has_part()) continue;
        auto wait = pollfd{socket.fd(), POLLIN, 0};
        if (::poll(&wait, 1, 0) == 1) return;
        continue;
      }
      if (!send_all(socket.fd(), answer(request))) return;
      idle_since = now_ms();
    }
  }

  auto answer(const message& request) -> std::string {
    const auto id = request.header("x-attempt-id");
    const auto target = request.header("x-target-instance");
    const auto echo =
        "X-Attempt-Id: " + id + "\r\nX-Instance-Id: " + id_ + "\r\n";
    if (!target.empty() && target != id_) {
      return "HTTP/1.1 421 Misdirected Request\r\n" + echo +
             "Content-Length: 0\r\n\r\n";
    }
    on_run_(id_, request);
    sleep_ms(work_time_ ? work_time_(request) : work_ms_);
    auto body = "done " + id + "\n";
    body.resize(std::max(body.size(), answer_bytes_), '.');
    return "HTTP/1.1 200 OK\r\n" + echo + "X-Response-Signature: " + id_ + "." +
           id + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void announce() {
    auto due = now_ms();
    auto sequence = 0;
    while (!ends_) {
      if (!announces_ || now_ms() < due) {
        sleep_ms(10);
        continue;
      }
      const auto body =
          "{\"service\":\"" + service_ + "\",\"address\":\"" + ip_ + ":" +
          std::to_string(ports_.server) + "\",\"zone\":\"" + zone_ +
          "\",\"version\":\"v1\",\"slots\":88,\"state\":\"ready\"," +
          "\"cold-left\":\"0ms\",\"sequence\":" + std::to_string(++sequence) +
          ",\"born\":" + std::to_string(born_ms_) + "}";
      const auto text = "PUT /v1/instances/" + id_ +
                        " HTTP/1.1\r\nHost: " + ip_ +
                        "\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
      {
        const auto lock = std::lock_guard{mutex_};
        last_ping_ = text;
      }
      const auto taken = exchange(ip_, ports_.control, text, 1000).status();
      due = now_ms() + (taken == 200 ? heartbeat_ms : retry_ms);
    }
  }

  static constexpr auto heartbeat_ms = 1500.0;
  static constexpr auto retry_ms = 300.0;
  static constexpr auto idle_close_ms = 10000.0;

  std::string id_;
  std::string ip_;
  std::string service_;
  std::string zone_;
  ports ports_;
  run_handler on_run_;
  run_handler on_head_;
  double work_ms_;
  work_function work_time_;
  std::size_t answer_bytes_ = 0;
  std::atomic<double> bytes_per_ms_{0};
  long long born_ms_;
  std::mutex mutex_;
  std::string last_ping_;
  owned_socket listener_;
  std::vector<std::thread> threads_;
  std::atomic<bool> ends_{false};
  std::atomic<bool> announces_{true};
  std::atomic<int> open_{0};
};

// --------------------------------------------------------------- operator

/// Sends a desired state until it is acknowledged, at any control member.
inline auto put_desired_state(const std::vector<std::string>& members, int port,
                              const std::string& base, const std::string& body,
                              double limit_ms) -> bool {
  const auto until = now_ms() + limit_ms;
  auto next = std::size_t{0};
  while (now_ms() < until) {
    auto ip = members[next++ % members.size()];
    for (auto hop = 0; hop < 3; ++hop) {
      const auto text = "PUT /v1/config HTTP/1.1\r\nHost: " + ip +
                        "\r\nIf-Match: " + base +
                        "\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
      const auto answer = exchange(ip, port, text, 1000);
      if (answer.status() == 200) return true;
      if (answer.status() != 307) break;
      const auto to = answer.header("location").substr(7);
      ip = to.substr(0, to.find(':'));
    }
    sleep_ms(200);
  }
  return false;
}

/// A small deployment: three control members and nodes in three zones.
class deployment {
 public:
  /// `of_first` is the service of the first node, if it has another one.
  deployment(int nodes, const std::string& service,
             const std::string& of_first = {})
      : folder_{make_folder()} {
    auto random = std::mt19937{std::random_device{}()};
    prefix_ = "127." + std::to_string(20 + random() % 200) + "." +
              std::to_string(1 + random() % 250) + ".";
    all = find_ports(prefix_, members + nodes);
    auto seeds = std::string{};
    for (auto i = 1; i <= members; ++i) {
      seeds += (i > 1 ? "," : "") + prefix_ + std::to_string(i) + ":" +
               std::to_string(all.control);
    }
    for (auto i = 1; i <= members + nodes; ++i) {
      const auto is_node = i > members;
      const auto is_first = i == members + 1 && !of_first.empty();
      const auto& of_node = is_first ? of_first : service;
      machines.push_back(std::make_unique<machine>(
          (is_node ? "sidecar-" : "core-") + std::to_string(i),
          prefix_ + std::to_string(i),
          "zone-" + std::string(1, static_cast<char>('a' + (i - 1) % 3)),
          is_node ? of_node : "", all, seeds, folder_));
    }
  }
  ~deployment() {
    machines.clear();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(folder_);
    } else {
      std::fprintf(stderr, "logs in %s\n", folder_.c_str());
    }
  }
  deployment(const deployment&) = delete;
  auto operator=(const deployment&) -> deployment& = delete;

  void start() {
    for (auto& x : machines) x->start(true);
  }

  auto put(const std::string& base, const std::string& body) -> bool {
    auto ips = std::vector<std::string>{};
    for (auto i = 0; i < members; ++i) ips.push_back(machines[i]->ip());
    return put_desired_state(ips, all.control, base, body, 20000);
  }

  auto node(int i) -> machine& { return *machines.at(members + i); }
  auto control(int i) -> machine& { return *machines.at(i); }

  /// Waits until all nodes are ready.
  auto wait_until_ready() -> bool {
    const auto until = now_ms() + 20000;
    for (auto& x : machines) {
      while (x->is_node() && !x->is_ready()) {
        if (now_ms() > until) return false;
        sleep_ms(50);
      }
    }
    return true;
  }

  static constexpr int members = 3;
  ports all;
  std::vector<std::unique_ptr<machine>> machines;

 private:
  static auto make_folder() -> std::string {
    auto name =
        (std::filesystem::temp_directory_path() / "figwind-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) std::exit(2);
    return name;
  }

  std::string folder_;
  std::string prefix_;
};

/// Desired state with one route of one service.
inline auto desired_state(const std::string& version,
                          const std::string& route_type,
                          const std::string& service,
                          const std::string& timeout) -> std::string {
  return "{\"version\":\"" + version +
         "\",\"resources\":[{\"type\":\"routes\",\"metadata\":{\"name\":"
         "\"r-1\"},\"spec\":{\"host\":\"jepu9.example\",\"path-prefix\":"
         "\"/puka111/\",\"route-type\":\"" +
         route_type + "\",\"timeout\":\"" + timeout +
         "\",\"target-latency\":\"1500ms\",\"priority\":0,\"service\":\"" +
         service +
         "\",\"attempts\":2}},{\"type\":\"services\",\"metadata\":{\"name\":"
         "\"" +
         service +
         "\"},\"spec\":{\"health-path\":\"/health\",\"max-conns\":628,"
         "\"protocol\":\"h1\",\"tls\":false}},{\"type\":\"limits\","
         "\"metadata\":{},\"spec\":{\"max-header-bytes\":16384,"
         "\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\","
         "\"idle-timeout\":\"15000ms\"}}]}";
}

/// False with `TROUBLE=0`: the same without the disruption.
inline auto has_trouble() -> bool {
  const auto* x = std::getenv("TROUBLE");
  return x == nullptr || std::string{x} != "0";
}

}  // namespace review
