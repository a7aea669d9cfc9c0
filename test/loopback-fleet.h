// Nodes and control members on loopback addresses in one event loop, with a
// backend server that sends scripted bytes.

#pragma once

#include "adapters/asio.h"

#include <sys/ioctl.h>
#include <unistd.h>

#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "adapters/clock.h"
#include "adapters/fleet_control.h"
#include "adapters/fleet_node.h"
#include "platform/desired_state.h"
#include "platform/http_api.h"
#include "platform/wire_names.h"

namespace figwind::test {

constexpr auto config_text =
    R"({"version":"r1","resources":[)"
    R"({"type":"routes","metadata":{"name":"read"},"spec":{)"
    R"("host":"a.example","path-prefix":"/read/","route-type":"idempotent",)"
    R"("timeout":"3s","target-latency":"1s","priority":1,"attempts":1,)"
    R"("service":"contracte"}},)"
    R"({"type":"routes","metadata":{"name":"act"},"spec":{)"
    R"("host":"a.example","path-prefix":"/act/","route-type":)"
    R"("non_idempotent","timeout":"3s","target-latency":"1s","priority":0,)"
    R"("attempts":1,"service":"contracte"}},)"
    R"({"type":"services","metadata":{"name":"contracte"},)"
    R"("spec":{"max-conns":100}},)"
    R"({"type":"limits","metadata":{},"spec":{"max-header-bytes":2048,)"
    R"("max-body-bytes":1000,"header-timeout":"3000ms",)"
    R"("idle-timeout":"15000ms"}}]})";

inline auto free_port() -> std::uint16_t {
  auto loop = event_loop{};
  auto acceptor = tcp::acceptor{loop, *parse_endpoint({"127.0.0.1:0"})};
  return acceptor.local_endpoint().port();
}

/// First three bytes of loopback addresses that other processes do not use, so
/// that copies of the tests can run at the same time.
inline auto own_network() -> std::string {
  constexpr auto first = 64;
  constexpr auto networks = 128;
  constexpr auto subnets = 256;
  const auto number = getpid() % (networks * subnets);
  return "127." + std::to_string(first + number / subnets) + "." +
         std::to_string(number % subnets) + ".";
}

/// Backend server that sends the bytes of `script` for each request.
class scripted_server {
 public:
  scripted_server(event_loop& loop, const tcp::endpoint& at)
      : acceptor_{loop, at, true} {
    accept();
  }

  std::function<std::string(const std::string& id)> script;
  /// Time that the server takes for a request.
  duration run_time;
  /// If not empty, sent after the script's bytes again and again until the peer
  /// closes the connection.
  std::string endless;
  std::size_t endless_bytes = 0;
  int endless_connections = 0;
  /// What the server does with a connection after the script's bytes.
  enum class ending {
    keep,
    close,
    reset,
    /// Ends its side only, and reads what the peer still sends.
    half_close,
    /// Ends its side only, and reads no more.
    half_close_unread,
    /// Ends its side, and resets the connection some time later.
    half_close_then_reset,
  };
  ending end = ending::keep;
  /// Sent on the same connection some time after the script's bytes, while the
  /// connection is idle.
  std::string late;
  int late_writes = 0;
  int requests = 0;
  /// Connections that the peer closed.
  int closed_by_peer = 0;
  /// Number of connections so far, and number of the one with the last request.
  int connections = 0;
  int last_connection = 0;

 private:
  struct connection {
    connection(tcp::socket s, int n) : socket{std::move(s)}, number{n} {}
    tcp::socket socket;
    int number;
    asio::streambuf input;
    std::string output;
    std::array<char, 4096> discarded{};
  };

  void accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (error) return;
          read(std::make_shared<connection>(std::move(socket), ++connections));
          accept();
        });
  }

  void read(const std::shared_ptr<connection>& x) {
    asio::async_read_until(
        x->socket, x->input, "\r\n\r\n",
        [this, x](boost::system::error_code error, std::size_t size) {
          if (error) {
            ++closed_by_peer;
            return;
          }
          const auto data = x->input.data();
          const auto head = std::string{
              asio::buffers_begin(data),
              asio::buffers_begin(data) + static_cast<std::ptrdiff_t>(size)};
          x->input.consume(x->input.size());
          ++requests;
          last_connection = x->number;
          const auto at = head.find("X-Attempt-Id: ") + 14;
          const auto id = head.substr(at, head.find('\r', at) - at);
          x->output = script(id);
          const auto timer = std::make_shared<asio::steady_timer>(
              acceptor_.get_executor(), to_chrono(run_time));
          timer->async_wait(
              [this, timer, x](boost::system::error_code) { write(x); });
        });
  }

  void write(const std::shared_ptr<connection>& x) {
    if (end == ending::close || end == ending::reset) return write_and_end(*x);
    const auto close =
        x->output.find("\r\nConnection: close") != std::string::npos;
    asio::async_write(
        x->socket, asio::buffer(x->output),
        [this, x, close](boost::system::error_code failed, std::size_t) {
          if (failed) return;
          if (end != ending::keep) return half_close(x);
          if (!late.empty()) send_late(x);
          if (!endless.empty()) {
            ++endless_connections;
            x->output = endless;
            send_without_end(x);
          } else if (!close) {
            read(x);
          }
        });
  }

  /// Writes and ends the connection in one turn of the loop, so that the node
  /// sees both at once.
  void write_and_end(connection& x) {
    auto failed = boost::system::error_code{};
    asio::write(x.socket, asio::buffer(x.output), failed);
    if (!failed && end == ending::reset) return reset(x);
    x.socket.close(failed);
  }

  /// Waits until the bytes before have been read, so that the reset discards
  /// none of them.
  void reset(connection& x) {
    auto unsent = 0;
    do {
      ioctl(x.socket.native_handle(), TIOCOUTQ, &unsent);
    } while (unsent > 0);
    auto ignored = boost::system::error_code{};
    x.socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    x.socket.close(ignored);
  }

  void half_close(const std::shared_ptr<connection>& x) {
    auto ignored = boost::system::error_code{};
    x->socket.shutdown(tcp::socket::shutdown_send, ignored);
    if (end == ending::half_close) return discard_input(x);
    half_closed_.push_back(x);
    if (end != ending::half_close_then_reset) return;
    after_pause([this, x] { reset(*x); });
  }

  void discard_input(const std::shared_ptr<connection>& x) {
    x->socket.async_read_some(
        asio::buffer(x->discarded),
        [this, x](boost::system::error_code error, std::size_t) {
          if (!error) discard_input(x);
        });
  }

  void send_late(const std::shared_ptr<connection>& x) {
    after_pause([this, x] {
      auto ignored = boost::system::error_code{};
      asio::write(x->socket, asio::buffer(late), ignored);
      ++late_writes;
    });
  }

  template <class Action>
  void after_pause(Action action) {
    auto timer = std::make_shared<asio::steady_timer>(acceptor_.get_executor());
    timer->expires_after(std::chrono::milliseconds{5});
    timer->async_wait([timer, action](boost::system::error_code) { action(); });
  }

  void send_without_end(const std::shared_ptr<connection>& x) {
    asio::async_write(
        x->socket, asio::buffer(x->output),
        [this, x](boost::system::error_code failed, std::size_t size) {
          endless_bytes += size;
          if (failed) {
            --endless_connections;
          } else {
            send_without_end(x);
          }
        });
  }

  tcp::acceptor acceptor_;
  /// Connections that stay open though nobody reads them.
  std::vector<std::shared_ptr<connection>> half_closed_;
};

inline auto server_response(const std::string& id, int status,
                            const std::string& more, const std::string& body)
    -> std::string {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Attempt-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more +
         "\r\n" + body;
}

constexpr auto is_signed = "X-Response-Signature: s\r\n";

/// Three control members and two nodes. Callers use the first node; the backend
/// server is on the VM of the second.
class loopback_fleet {
 public:
  explicit loopback_fleet(
      route_config_parser parser = platform::parse_desired_state,
      duration grace = fleet_settings{}.grace)
      : parser_{std::move(parser)},
        grace_{grace},
        folder_{std::filesystem::temp_directory_path() /
                ("figwind-fleet-" + std::to_string(getpid()))},
        net_{own_network()},
        http_port_{free_port()} {
    for (auto i = 1; i <= 3; ++i) add_member(i);
    for (auto i = 4; i <= 5; ++i) add_node(i);
    backend = std::make_unique<scripted_server>(
        loop_, *parse_endpoint(address(5, http_port_ + 3)));
  }
  ~loopback_fleet() {
    // The sockets of the server must not outlive the loop.
    backend.reset();
    std::filesystem::remove_all(folder_);
  }
  loopback_fleet(const loopback_fleet&) = delete;
  auto operator=(const loopback_fleet&) -> loopback_fleet& = delete;

  auto run_until(const std::function<bool()>& done) -> bool {
    // Long enough for slow machines; the loop ends with the condition.
    const auto end = steady_now() + seconds(60);
    auto is_done = done();
    while (!is_done && steady_now() < end) {
      loop_.run_for(std::chrono::milliseconds{5});
      loop_.restart();
      is_done = done();
    }
    return is_done;
  }

  /// Sends raw bytes to a port of a VM and returns the bytes received until the
  /// response is complete or the peer closes; empty if nobody listens there.
  auto exchange(int vm, int port, const std::string& bytes) -> std::string {
    auto socket = tcp::socket{loop_};
    auto refused = boost::system::error_code{};
    socket.connect(*parse_endpoint(address(vm, port)), refused);
    if (refused) return {};
    asio::async_write(socket, asio::buffer(bytes),
                      [](boost::system::error_code, std::size_t) {});
    auto input = std::string{};
    auto closed = false;
    auto chunk = std::array<char, 4096>{};
    std::function<void()> read = [&] {
      socket.async_read_some(
          asio::buffer(chunk),
          [&](boost::system::error_code error, std::size_t size) {
            input.append(chunk.data(), size);
            closed = static_cast<bool>(error);
            if (!error) read();
          });
    };
    read();
    run_until([&] { return closed || is_whole(input); });
    auto ignored = boost::system::error_code{};
    socket.close(ignored);
    run_until([&] { return closed; });
    return input;
  }

  auto call(const std::string& method, const std::string& path,
            const std::string& id) -> std::string {
    return exchange(4, http_port_,
                    method + " " + path +
                        " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
                        "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n");
  }

  auto address(int vm, int port) const -> vm_address {
    return address_at(ip(vm), static_cast<std::uint16_t>(port));
  }
  /// Sends raw bytes to the call port of the first node.
  auto open_call(const std::string& bytes) -> tcp::socket {
    auto socket = tcp::socket{loop_};
    socket.connect(*parse_endpoint(address(4, http_port_)));
    asio::write(socket, asio::buffer(bytes));
    return socket;
  }

  /// Sends raw bytes to the call port of the first node; `done` is called with
  /// the response, empty if the connection ends without one, unless the fleet
  /// is destroyed before.
  void call_in_background(const std::string& bytes,
                          std::function<void(std::string)> done) {
    send_in_background(4, call_port(), bytes, std::move(done));
  }

  /// The same to a port of any VM.
  void send_in_background(int vm, int port, const std::string& bytes,
                          std::function<void(std::string)> done) {
    struct state {
      explicit state(event_loop& loop) : socket{loop} {}
      tcp::socket socket;
      std::string request;
      asio::streambuf input;
    };
    auto x = std::make_shared<state>(loop_);
    x->socket.connect(*parse_endpoint(address(vm, port)));
    x->request = bytes;
    asio::write(x->socket, asio::buffer(x->request));
    asio::async_read_until(
        x->socket, x->input, "\r\n\r\n",
        [x, done = std::move(done)](boost::system::error_code, std::size_t) {
          const auto data = x->input.data();
          done({asio::buffers_begin(data), asio::buffers_end(data)});
        });
  }

  auto control_port() const -> int { return http_port_ + 2; }
  auto call_port() const -> int { return http_port_; }
  auto ready_port() const -> int { return http_port_ + 1; }

  auto put(int vm, const std::string& path, const std::string& base,
           const std::string& body) -> std::string {
    return exchange(vm, control_port(), put_request(path, base, body));
  }
  static auto put_request(const std::string& path, const std::string& base,
                          const std::string& body) -> std::string {
    return "PUT " + path + " HTTP/1.1\r\nHost: x\r\nIf-Match: " + base +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  /// Configures the fleet and waits until it serves a request.
  void begin() {
    auto accepted = false;
    run_until([&] {
      for (auto i = 1; i <= 3 && !accepted; ++i) {
        accepted = put(i, "/v1/config", "0", config_text).find(" 200 ") !=
                   std::string::npos;
      }
      return accepted;
    });
    const auto ping = std::string{R"({"service":"contracte","address":")"} +
                      address(5, http_port_ + 3).value +
                      R"(","zone":"a","slots":10,"state":"ready",)" +
                      R"("sequence":1,"born":5})";
    put(5, "/v1/instances/s1", "", ping);
    backend->script = [](const std::string& id) {
      return server_response(id, 200, is_signed, "ok");
    };
    run_until([&] {
      return call("GET", "/read/x", "warm").find(" 200 ") != std::string::npos;
    });
  }

  /// Sends a change to the members in turn until one leads.
  auto put_at_leader(const std::string& base, const std::string& text)
      -> std::string {
    for (auto i = 1; i <= 3; ++i) {
      auto answer = put(i, "/v1/config", base, text);
      const auto is_redirect = answer.find(" 307 ") != std::string::npos;
      if (!answer.empty() && !is_redirect) return answer;
    }
    return {};
  }

  /// Resends a change, as operators do, until its outcome is known.
  auto put_until_known(const std::string& base, const std::string& text)
      -> std::string {
    auto answer = std::string{};
    run_until([&] {
      answer = put_at_leader(base, text);
      // "HTTP/1.1 50x"; the body may hold any number.
      return answer.size() > 12 && answer.compare(8, 3, " 50") != 0;
    });
    return answer;
  }

  /// Sends a change and waits until it is in force at all nodes, which is some
  /// time after its acknowledgement. Returns the response, empty if it does not
  /// come into force.
  auto put_in_force(const std::string& base, const std::string& text)
      -> std::string {
    auto before = std::vector<std::string>{};
    for (const auto& node : nodes_) before.push_back(version_in_force(*node));
    auto answer = put_until_known(base, text);
    const auto done = run_until([&] {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (version_in_force(*nodes_[i]) == before[i]) return false;
      }
      return true;
    });
    return done ? answer : std::string{};
  }

  /// Stops the member on a VM in an orderly way; `done` is called at its end.
  void stop_member(int vm, std::function<void()> done) {
    auto& operators = *servers_.at(static_cast<std::size_t>(vm - 1));
    operators.disable_keep_alive();
    members_.at(static_cast<std::size_t>(vm - 1))
        ->stop([&operators] { return operators.shutdown(); }, std::move(done));
  }

  /// Stops the node of the callers in an orderly way; `done` is called at its
  /// end.
  void stop_entry_node(std::function<void()> done) {
    nodes_.front()->stop(std::move(done));
  }

  /// The VM of the leader; 0 if there is none.
  auto leader() const -> int {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (members_[i]->is_leader()) return static_cast<int>(i) + 1;
    }
    return 0;
  }

  /// Calls at the node of the backend server that have no reply yet.
  auto held_calls() -> int {
    return std::stoi(metric(*nodes_.back(), "figwind_held"));
  }

  /// Reads the desired state from the members until one leads.
  auto read_state() -> std::string {
    auto answer = std::string{};
    run_until([&] {
      for (auto i = 1; i <= 3; ++i) {
        answer = exchange(i, control_port(),
                          "GET /v1/config HTTP/1.1\r\nHost: x\r\n\r\n");
        if (answer.find(" 200 ") != std::string::npos) return true;
      }
      return false;
    });
    const auto head = answer.find("\r\n\r\n");
    return head == std::string::npos ? "" : answer.substr(head + 4);
  }

  /// Stops all processes of the fleet for longer than an election takes, `ms`
  /// from now.
  void stall_after(int ms) {
    auto timer = std::make_shared<asio::steady_timer>(loop_);
    timer->expires_after(std::chrono::milliseconds{ms});
    timer->async_wait([timer](boost::system::error_code) {
      std::this_thread::sleep_for(std::chrono::seconds{2});
    });
  }

  /// The worker that validates changes.
  auto validation() -> background_worker& { return worker_; }

  std::unique_ptr<scripted_server> backend;

 private:
  static auto is_whole(const std::string& input) -> bool {
    const auto head = input.find("\r\n\r\n");
    const auto at = input.find("Content-Length: ");
    if (head == std::string::npos || at == std::string::npos) return false;
    return input.size() >= head + 4 + std::stoul(input.substr(at + 16));
  }

  static auto version_in_force(fleet_node& node) -> std::string {
    return metric(node, "figwind_config_version");
  }

  /// The value of a metric without labels, as text.
  static auto metric(fleet_node& node, const std::string& name) -> std::string {
    const auto start = "\n" + name + " ";
    const auto text = node.metrics_text();
    const auto at = text.find(start) + start.size();
    return text.substr(at, text.find('\n', at) - at);
  }

  auto ip(int vm) const -> std::string { return net_ + std::to_string(vm); }

  auto settings_of(int vm) -> fleet_settings {
    auto x = fleet_settings{};
    x.name = "vm-" + std::to_string(vm);
    x.domain = {"a"};
    x.grace = grace_;
    x.ip = ip(vm);
    x.link_port = static_cast<std::uint16_t>(http_port_ + 4);
    x.control_address = address(vm, control_port());
    for (auto i = 1; i <= 3; ++i) {
      x.seeds.push_back(address(i, control_port()));
    }
    return x;
  }

  void add_member(int vm) {
    auto x = settings_of(vm);
    x.data_folder = folder_ / x.name;
    x.first_start = true;
    std::filesystem::create_directories(x.data_folder);
    members_.push_back(std::make_unique<fleet_control>(loop_, x));
    servers_.push_back(std::make_unique<http_server>(
        loop_, *parse_endpoint(x.control_address),
        platform::operator_handler(*members_.back(), worker_,
                                   std::to_string(control_port()))));
    auto limits = caller_limits{};
    limits.body_bytes = x.max_state_bytes;
    servers_.back()->set_limits(limits);
  }

  void add_node(int vm) {
    auto x = settings_of(vm);
    x.call_address = address(vm, http_port_);
    x.ready_address = address(vm, ready_port());
    x.backend_address = address(vm, http_port_ + 3);
    x.service = {vm == 5 ? "contracte" : "counter"};
    nodes_.push_back(std::make_unique<fleet_node>(
        loop_, x, platform::protocol_header_names(), parser_));
    servers_.push_back(
        std::make_unique<http_server>(loop_, *parse_endpoint(x.control_address),
                                      platform::ping_handler(*nodes_.back())));
    servers_.push_back(
        std::make_unique<http_server>(loop_, *parse_endpoint(x.ready_address),
                                      platform::ready_handler(*nodes_.back())));
  }

  event_loop loop_;
  background_worker worker_{loop_};
  route_config_parser parser_;
  duration grace_;
  std::filesystem::path folder_;
  std::string net_;
  std::uint16_t http_port_;
  std::vector<std::unique_ptr<fleet_control>> members_;
  std::vector<std::unique_ptr<fleet_node>> nodes_;
  std::vector<std::unique_ptr<http_server>> servers_;
};

/// Response of a server that refuses the request without running it.
inline auto server_refusal(const std::string& id) -> std::string {
  return server_response(id, 503, "X-Not-Executed: 1\r\n", "");
}

inline auto status_of(const std::string& answer) -> std::string {
  return answer.size() < 12 ? "closed" : answer.substr(9, 3);
}

inline auto body_of(const std::string& answer) -> std::string {
  const auto head = answer.find("\r\n\r\n");
  return head == std::string::npos ? "" : answer.substr(head + 4);
}

}  // namespace figwind::test
