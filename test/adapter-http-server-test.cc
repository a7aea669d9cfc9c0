#include "adapters/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>

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

  static void send(tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string{
                            "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"}));
  }

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
