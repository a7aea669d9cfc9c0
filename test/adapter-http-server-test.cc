#include "adapters/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <vector>

#include "adapters/clock.h"
#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

/// A server that answers "ok", and a caller's connections to it. Nothing is
/// read or accepted before `run_until_closed`.
class stopping_server {
 public:
  stopping_server()
      : server_{loop_, *parse_endpoint({"127.0.0.1:0"}),
                [](const http_request&,
                   const std::shared_ptr<http_exchange>& exchange) {
                  exchange->respond({200, {}, "ok"});
                }} {}

  auto connect() -> tcp::socket {
    auto out = tcp::socket{loop_};
    out.connect(server_.local_endpoint());
    return out;
  }

  /// Exchanges a request, so that the connection is kept.
  void use(tcp::socket& socket) {
    send(socket);
    const auto end = steady_now() + seconds(60);
    while (socket.available() < 40 && steady_now() < end) run();
    auto first = std::array<char, 4096>{};
    socket.read_some(asio::buffer(first));
    // The server waits for the next request.
    run();
  }

  static void send(tcp::socket& socket) { write(socket, request); }

  static void write(tcp::socket& socket, const std::string& bytes) {
    asio::write(socket, asio::buffer(bytes));
  }

  /// Begins to shut the server down; returns true if all connections have
  /// ended.
  auto begin_shutdown() -> bool {
    server_.disable_keep_alive();
    return server_.shutdown();
  }

  /// Lets the server handle what has arrived.
  void take_turn() { run(); }

  /// Shuts the server down and returns true once all connections have ended.
  auto run_until_closed() -> bool {
    server_.disable_keep_alive();
    const auto end = steady_now() + seconds(60);
    while (!server_.shutdown() && steady_now() < end) run();
    return server_.shutdown();
  }

  static auto read_all(tcp::socket& socket) -> std::string {
    auto out = std::string{};
    auto error = boost::system::error_code{};
    asio::read(socket, asio::dynamic_buffer(out), error);
    return error == asio::error::eof ? out : "reset: " + error.message();
  }

  static inline const auto request =
      std::string{"GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"};

 private:
  void run() {
    loop_.run_for(std::chrono::milliseconds{2});
    loop_.restart();
  }

  event_loop loop_;
  http_server server_;
};

}  // namespace

// Guards against requests that are cut off without an answer by a planned stop,
// because they arrived while the stop was handled.
TEST(http_server, answers_requests_that_arrived_before_its_shutdown) {
  section("on a kept connection", [] {
    auto server = stopping_server{};
    auto caller = server.connect();
    server.use(caller);
    stopping_server::send(caller);
    EXPECT_TRUE(server.run_until_closed());
    const auto got = stopping_server::read_all(caller);
    EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 200");
    EXPECT_NE(got.find("Connection: close"), std::string::npos);
  });
  section("on a connection that was not accepted yet", [] {
    auto server = stopping_server{};
    auto caller = server.connect();
    stopping_server::send(caller);
    EXPECT_TRUE(server.run_until_closed());
    EXPECT_EQ(stopping_server::read_all(caller).substr(0, 12), "HTTP/1.1 200");
  });
  section("in two parts, with the stop between them", [] {
    for (std::size_t cut = 1; cut < stopping_server::request.size(); ++cut) {
      for (const auto is_accepted : {true, false}) {
        auto server = stopping_server{};
        auto caller = server.connect();
        if (is_accepted) server.take_turn();
        stopping_server::write(caller, stopping_server::request.substr(0, cut));
        if (is_accepted) server.take_turn();
        EXPECT_FALSE(server.begin_shutdown());
        server.take_turn();
        stopping_server::write(caller, stopping_server::request.substr(cut));
        EXPECT_TRUE(server.run_until_closed());
        EXPECT_EQ(stopping_server::read_all(caller).substr(0, 12),
                  "HTTP/1.1 200")
            << "after " << cut << " bytes, accepted: " << is_accepted;
      }
    }
  });
  section("on each of many connections, one after the other", [] {
    constexpr auto callers = 10;
    auto server = stopping_server{};
    auto all = std::vector<tcp::socket>{};
    for (auto i = 0; i < callers; ++i) {
      all.push_back(server.connect());
      if (i % 2 == 0) server.use(all.back());
      stopping_server::send(all.back());
    }
    EXPECT_TRUE(server.run_until_closed());
    for (auto& caller : all) {
      EXPECT_EQ(stopping_server::read_all(caller).substr(0, 12),
                "HTTP/1.1 200");
    }
  });
  section("connections without a request end", [] {
    auto server = stopping_server{};
    auto kept = server.connect();
    server.use(kept);
    auto fresh = server.connect();
    EXPECT_TRUE(server.run_until_closed());
    EXPECT_EQ(stopping_server::read_all(kept), "");
    EXPECT_EQ(stopping_server::read_all(fresh), "");
  });
}

// Guards against a process that runs out of memory because a caller sends the
// head of a chunk without end, which is neither a head nor a body.
TEST(http_server, refuses_the_head_of_a_chunk_without_end) {
  constexpr auto max_sent = std::size_t{16} << 20U;
  auto server = stopping_server{};
  auto caller = server.connect();
  stopping_server::write(caller,
                         "POST /x HTTP/1.1\r\nHost: a.example\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n4;");
  const auto block = std::string(std::size_t{64} << 10U, 'a');
  caller.non_blocking(true);
  auto sent = std::size_t{0};
  auto error = boost::system::error_code{};
  const auto end = steady_now() + seconds(60);
  while (sent <= max_sent && steady_now() < end) {
    sent += caller.write_some(asio::buffer(block), error);
    if (error && error != asio::error::would_block) break;
    server.take_turn();
  }
  EXPECT_LE(sent, max_sent);
}
