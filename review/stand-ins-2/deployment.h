// A small deployment for the cases of the second review: the programs of the
// deploy file as processes on loopback addresses, with stand-ins for backend
// servers, clients, the operator and the network between the VMs.
//
// The stand-ins use the project's soak for processes, proxies and HTTP.

#pragma once

#include <sys/stat.h>

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "soak-fleet.h"
#include "soak-http.h"
#include "soak-proxy.h"

namespace figwind::review {

using namespace figwind::soak;  // NOLINT: stand-ins of one program

/// Exit codes of a case.
enum class verdict { held = 0, broken = 1, not_run = 2 };

/// What was sent, answered and run, with ms since the start of the case.
class record_file {
 public:
  explicit record_file(const std::string& path)
      : out_{std::fopen(path.c_str(), "w")}, start_{steady_now()} {
    if (out_ == nullptr) std::exit(static_cast<int>(verdict::not_run));
  }
  ~record_file() { std::fclose(out_); }
  record_file(const record_file&) = delete;
  auto operator=(const record_file&) -> record_file& = delete;

  [[nodiscard]] auto now() const -> double {
    return (steady_now() - start_).ms;
  }

  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    std::fprintf(out_, "%9.1f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(out_, format, arguments);
    va_end(arguments);
    std::fputc('\n', out_);
    std::fflush(out_);
  }

 private:
  std::FILE* out_;
  time_point start_;
};

inline auto has_trouble() -> bool {
  const auto* text = std::getenv("TROUBLE");
  return text == nullptr || std::string{text} != "0";
}

/// Values of the bounds on the users' pages.
constexpr auto heartbeat = milliseconds(1500);
constexpr auto stable_window = seconds(3);
constexpr auto drain_bound = seconds(2);

/// One request as a server saw it.
struct server_request {
  std::string id;
  std::string target;
  std::string expected_server;
  std::string caller;
  std::string body;
  double at = 0;
};

class deployment;

/// A backend server: pings its node, runs each request for `work` and answers
/// with its signature.
class server {
 public:
  server(event_loop& loop, record_file& record, std::string ip,
         std::string zone, std::string service, std::string name,
         std::uint16_t port = backend_port)
      : loop_{loop},
        record_{record},
        ip_{std::move(ip)},
        zone_{std::move(zone)},
        service_{std::move(service)},
        name_{std::move(name)},
        port_{port},
        timer_{loop} {}
  ~server() { end(); }
  server(const server&) = delete;
  auto operator=(const server&) -> server& = delete;

  duration work = milliseconds(20);
  /// Time that the first ping needs to its node.
  duration first_ping_delay;
  /// Called for each request that this server begins to run.
  std::function<void(const server_request&)> on_run;

  void start() {
    born_ms_ = static_cast<std::uint64_t>(wall_now().ms);
    sequence_ = 0;
    pings_ = true;
    acceptor_.emplace(loop_, *parse_endpoint(address_at(ip_, port_)), true);
    accept();
    send_pings();
  }

  /// Ends without a word.
  void end() {
    pings_ = false;
    timer_.cancel();
    acceptor_.reset();
    for (const auto& x : sessions_) {
      if (const auto s = x.lock()) s->close();
    }
    sessions_.clear();
  }

  /// Sends the next ping now, in place of the one that is due; it needs `delay`
  /// to arrive.
  void ping_late(duration delay) {
    ++sequence_;
    send_late_ping(ping_body(), delay);
    wait_for_next_ping();
  }

  /// Leaves without having reported `draining`: sends DELETE until it is
  /// acknowledged, pings no more and serves on until `end`.
  void leave(std::function<void()> on_acknowledged) {
    pings_ = false;
    timer_.cancel();
    record_.line("server %s sends DELETE", name_.c_str());
    call_once(loop_, address_at(ip_, control_port),
              make_request(http::verb::delete_, "/v1/instances/" + name_),
              seconds(1), [this, on_acknowledged](const exchange_end& end) {
                const auto status = end.answer ? end.answer->result_int() : 0U;
                record_.line("DELETE of %s is answered %u", name_.c_str(),
                             status);
                if (status == 200) return on_acknowledged();
                timer_.expires_after(std::chrono::milliseconds{500});
                timer_.async_wait([this, on_acknowledged](error_code error) {
                  if (!error) leave(on_acknowledged);
                });
              });
  }

  [[nodiscard]] auto name() const -> const std::string& { return name_; }

 private:
  struct session : std::enable_shared_from_this<session> {
    explicit session(event_loop& loop, tcp::socket s)
        : socket{std::move(s)}, timer{loop} {}
    void close() {
      auto ignored = error_code{};
      timer.cancel();
      socket.close(ignored);
    }
    tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::string output;
  };
  using session_ptr = std::shared_ptr<session>;

  void send_pings() {
    if (!pings_) return;
    ++sequence_;
    if (sequence_ == 1 && first_ping_delay > duration{}) {
      send_late_ping(ping_body(), first_ping_delay);
    } else {
      send_ping(ping_body());
    }
    wait_for_next_ping();
  }

  void wait_for_next_ping() {
    timer_.expires_after(to_chrono(heartbeat));
    timer_.async_wait([this](error_code error) {
      if (!error) send_pings();
    });
  }

  [[nodiscard]] auto ping_body() const -> std::string {
    return R"({"service":")" + service_ + R"(","address":")" + ip_ + ":" +
           std::to_string(port_) + R"(","zone":")" + zone_ +
           R"(","version":"v1","slots":40,"state":"ready",)" +
           R"("cold-left":"0ms","sequence":)" + std::to_string(sequence_) +
           R"(,"born":)" + std::to_string(born_ms_) + "}";
  }

  void send_ping(const std::string& body) {
    call_once(loop_, address_at(ip_, control_port),
              make_request(http::verb::put, "/v1/instances/" + name_, body),
              seconds(1), [](const auto&) {});
  }

  /// The ping was sent now and arrives later, whatever the server does then.
  void send_late_ping(const std::string& body, duration delay) {
    auto timer = std::make_shared<asio::steady_timer>(loop_);
    timer->expires_after(to_chrono(delay));
    timer->async_wait([this, timer, body](error_code error) {
      if (error) return;
      record_.line("a late ping of %s arrives", name_.c_str());
      send_ping(body);
    });
  }

  void accept() {
    acceptor_->async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      auto x = std::make_shared<session>(loop_, std::move(socket));
      std::erase_if(sessions_, [](const auto& y) { return y.expired(); });
      sessions_.push_back(x);
      read(x);
      accept();
    });
  }

  void read(const session_ptr& x) {
    x->parser.emplace();
    http::async_read(x->socket, x->buffer, *x->parser,
                     [this, x](error_code error, std::size_t) {
                       if (!error) take(x, x->parser->release());
                     });
  }

  void take(const session_ptr& x, const request& asked) {
    auto seen = server_request{std::string{asked["X-Attempt-Id"]},
                               std::string{asked.target()},
                               std::string{asked["X-Target-Instance"]},
                               std::string{asked["X-Caller-Service"]},
                               asked.body(),
                               record_.now()};
    if (!seen.expected_server.empty() && seen.expected_server != name_) {
      record_.line("server %s answers 421 to %s for %s", name_.c_str(),
                   seen.id.c_str(), seen.expected_server.c_str());
      return send(x, "HTTP/1.1 421 X\r\nX-Attempt-Id: " + seen.id +
                         "\r\nContent-Length: 0\r\nX-Instance-Id: " + name_ +
                         "\r\n\r\n");
    }
    record_.line("server %s of %s runs %s %s", name_.c_str(), service_.c_str(),
                 seen.id.c_str(), seen.target.c_str());
    if (on_run) on_run(seen);
    x->timer.expires_after(to_chrono(work));
    x->timer.async_wait([this, x, id = seen.id](error_code error) {
      if (error) return;
      const auto body = "answer to " + id + " from " + name_;
      send(x, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                  "\r\nX-Response-Signature: " + name_ + "." + id +
                  "\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
    });
  }

  void send(const session_ptr& x, std::string bytes) {
    x->output = std::move(bytes);
    asio::async_write(x->socket, asio::buffer(x->output),
                      [this, x](error_code error, std::size_t) {
                        if (!error) read(x);
                      });
  }

  event_loop& loop_;
  record_file& record_;
  std::string ip_;
  std::string zone_;
  std::string service_;
  std::string name_;
  std::uint16_t port_;
  asio::steady_timer timer_;
  std::uint64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  bool pings_ = false;
  std::optional<tcp::acceptor> acceptor_;
  std::vector<std::weak_ptr<session>> sessions_;
};

/// A route of the first desired state.
struct route_of_case {
  std::string name;
  std::string kind;
  std::string service;
};

class deployment {
 public:
  explicit deployment(std::string program)
      : program_{std::move(program)},
        folder_{make_folder()},
        net_{"127." + std::to_string(20 + getpid() % 200) + "." +
             std::to_string(getpid() / 200 % 250) + "."} {}
  ~deployment() {
    processes_.clear();
    auto ignored = std::error_code{};
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(folder_, ignored);
    } else {
      std::fprintf(stderr, "logs in %s\n", folder_.c_str());
    }
  }
  deployment(const deployment&) = delete;
  auto operator=(const deployment&) -> deployment& = delete;

  event_loop loop;
  network_faults network;

  /// Adds a control member (no service) or a node; returns its number.
  auto add(const std::string& zone, const std::string& service) -> std::size_t {
    const auto ip = net_ + std::to_string(processes_.size() + 1);
    processes_.push_back(std::make_unique<proxied_process>(
        loop, network, ip, zone, service, folder_ / ip));
    if (service.empty()) {
      ++member_count_;
      seeds_ +=
          (seeds_.empty() ? "" : ",") + ip + ":" + std::to_string(control_port);
    }
    return processes_.size() - 1;
  }

  auto at(std::size_t i) -> proxied_process& { return *processes_.at(i); }
  [[nodiscard]] auto member_count() const -> std::size_t {
    return member_count_;
  }
  [[nodiscard]] auto size() const -> std::size_t { return processes_.size(); }

  /// Writes the settings as the template of the deploy file has them.
  void write_settings(std::size_t i, bool first, const std::string& service,
                      std::uint16_t app_port = backend_port) {
    const auto& x = *processes_.at(i);
    const auto path = folder_ / x.ip / "settings.ini";
    const auto address = [&x](std::uint16_t port) {
      return address_at(x.ip, port).value;
    };
    auto text =
        "[process]\nname = " + x.ip + "\nfailure-domain = " + x.zone +
        "\nip = " + x.ip + "\nlink-port = " + std::to_string(link_port) +
        "\nlink-listen-port = " + std::to_string(link_behind_port) +
        "\nmetrics-port = 9464\ncontrol-address = " + address(control_port) +
        "\nseeds = " + seeds_ + "\n\n[node]\n";
    if (x.is_node()) {
      text += "call-address = " + address(call_port) +
              "\nready-address = " + address(ready_port) +
              "\nbackend-address = " + address(app_port) +
              "\nservice = " + service + "\n";
    }
    text += "\n[control]\n";
    if (!x.is_node()) {
      text += "data-folder = " + (folder_ / x.ip / "data").string() +
              "\nfirst-start = " + (first ? "yes" : "no") + "\n";
    }
    text +=
        "\n[bounds]\nseed-lag = 3s\nreuse-after = 2s\nstable-window = "
        "3000ms\nack-timeout = 4000ms\ncatch-up = 4s\ndrain = 2000ms\n"
        "grace = 6s\nloss-slack = 200ms\nconfig-deadline = 2000ms\n"
        "rollback-slack = 250ms\nmax-skew = 5000ms\nbudget-ratio = 0.2\n"
        "budget-window = 10s\nbudget-slack = 47\nrecovery = 15s\n";
    std::ofstream{path} << text;
  }

  void start(std::size_t i, bool first) {
    write_settings(i, first, at(i).service);
    at(i).start(program_);
  }

  void start_all() {
    for (std::size_t i = 0; i < size(); ++i) start(i, true);
    every(milliseconds(2), [this] {
      for (const auto& x : processes_) x->proxy.poll();
    });
  }

  /// Cuts `i` from all control members, silently.
  void cut_from_members(std::size_t i) {
    for (std::size_t m = 0; m < member_count_; ++m) {
      network.cut(at(i).ip, at(m).ip);
      network.cut(at(m).ip, at(i).ip);
    }
  }

  void every(duration period, std::function<void()> action) {
    timers_.push_back(std::make_unique<periodic_timer<std::function<void()>>>(
        loop, period, std::move(action)));
  }

  void after(duration wait, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(loop);
    timer->expires_after(to_chrono(wait));
    timer->async_wait([timer, action = std::move(action)](error_code error) {
      if (!error) action();
    });
  }

  auto run_until(duration limit, const std::function<bool()>& done) -> bool {
    const auto end = steady_now() + limit;
    while (!done()) {
      if (steady_now() >= end) return false;
      loop.run_for(std::chrono::milliseconds{5});
      loop.restart();
    }
    return true;
  }

  void run_for(duration time) {
    run_until(time, [] { return false; });
  }

  /// Sends a desired state to the members in turn until one acknowledges it.
  auto put_state(const std::string& base, const std::string& text,
                 duration limit) -> bool {
    auto accepted = false;
    auto waiting = false;
    auto member = std::size_t{0};
    return run_until(limit, [&] {
      if (accepted || waiting) return accepted;
      waiting = true;
      auto asked = make_request(http::verb::put, "/v1/config", text);
      asked.set(http::field::if_match, base);
      member = (member + 1) % member_count_;
      call_once(loop, address_at(at(member).ip, control_port), std::move(asked),
                seconds(1), [&](const exchange_end& end) {
                  accepted = end.answer && end.answer->result_int() == 200;
                  after(milliseconds(accepted ? 0 : 100),
                        [&] { waiting = false; });
                });
      return false;
    });
  }

  static auto state_text(int version, const std::vector<route_of_case>& routes,
                         const std::vector<std::string>& services)
      -> std::string {
    auto out =
        R"({"version":"r)" + std::to_string(version) + R"(","resources":[)";
    for (const auto& x : routes) {
      out += R"({"type":"routes","metadata":{"name":")" + x.name +
             R"("},"spec":{"host":"a.example","path-prefix":"/)" + x.name +
             R"(/","route-type":")" + x.kind +
             R"(","timeout":"5000ms","target-latency":"1500ms","priority":1,)" +
             R"("attempts":2,"service":")" + x.service + R"("}},)";
    }
    for (const auto& x : services) {
      out += R"({"type":"services","metadata":{"name":")" + x +
             R"("},"spec":{"health-path":"/health","max-conns":600,)" +
             R"("protocol":"h1","tls":false}},)";
    }
    return out + R"({"type":"limits","metadata":{},"spec":{)"
                 R"("max-header-bytes":16384,"max-body-bytes":67108864,)"
                 R"("header-timeout":"3000ms","idle-timeout":"15000ms"}}]})";
  }

  const std::string& program() const { return program_; }

 private:
  static auto make_folder() -> std::filesystem::path {
    auto path =
        (std::filesystem::temp_directory_path() / "figwind-review-XXXXXX")
            .string();
    if (mkdtemp(path.data()) == nullptr)
      std::exit(static_cast<int>(verdict::not_run));
    return path;
  }

  std::string program_;
  std::filesystem::path folder_;
  std::string net_;
  std::string seeds_;
  std::size_t member_count_ = 0;
  std::vector<std::unique_ptr<proxied_process>> processes_;
  std::vector<std::unique_ptr<periodic_timer<std::function<void()>>>> timers_;
};

}  // namespace figwind::review
