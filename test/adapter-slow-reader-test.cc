// Peers that pause while they read: callers in the middle of an answer, servers
// in the middle of a request.

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <thread>

#include "adapters/backend_client.h"
#include "adapters/clock.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

// Longer than the time after which a silent link between nodes is closed.
constexpr auto pause_in_reading = std::chrono::milliseconds{3500};
constexpr auto receive_buffer_bytes = 4096;
// Exceeds what the buffers of both ends hold.
constexpr auto body_bytes = std::size_t{8} << 20U;
constexpr auto id = "a";

/// Server on a thread of its own that accepts one connection, pauses, then
/// reads a request and answers it.
class slow_server {
 public:
  slow_server() : acceptor_{loop_} {
    const auto at = *parse_endpoint({"127.0.0.1:0"});
    acceptor_.open(at.protocol());
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size{receive_buffer_bytes});
    acceptor_.bind(at);
    acceptor_.listen();
    thread_ = std::thread{[this] { serve(); }};
  }
  ~slow_server() { thread_.join(); }
  slow_server(const slow_server&) = delete;
  auto operator=(const slow_server&) -> slow_server& = delete;

  auto address() const -> vm_address {
    return {"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
  }

 private:
  void serve() {
    auto error = boost::system::error_code{};
    auto socket = tcp::socket{loop_};
    acceptor_.accept(socket, error);
    std::this_thread::sleep_for(pause_in_reading);
    auto request = std::string{};
    auto head = std::string::npos;
    auto chunk = std::string(64U << 10U, '\0');
    while (!error && (head == std::string::npos ||
                      request.size() < head + 4 + body_bytes)) {
      const auto got = socket.read_some(asio::buffer(chunk), error);
      request.append(chunk, 0, got);
      head = request.find("\r\n\r\n");
    }
    const auto answer = std::string{"HTTP/1.1 200 OK\r\nX-Id: "} + id +
                        "\r\nFigwind-Request-Id: " + id +
                        "\r\nContent-Length: 2\r\n\r\nok";
    if (!error) asio::write(socket, asio::buffer(answer), error);
    // The client closes first, so that it can read the answer.
    socket.read_some(asio::buffer(chunk), error);
  }

  event_loop loop_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

/// Runs the loop until `done` returns true or a long time has passed.
template <class Done>
auto run_until(event_loop& loop, Done done) -> bool {
  const auto end = steady_now() + seconds(60);
  while (!done() && steady_now() < end) {
    loop.run_for(std::chrono::milliseconds{5});
    loop.restart();
  }
  return done();
}

}  // namespace

// Guards against the loss of an answer whose request has run: a caller that
// pauses with a closed window counted as unreachable.
TEST(slow_reader, gets_the_rest_of_an_answer_after_a_pause) {
  auto loop = event_loop{};
  auto server = http_server{
      loop, *parse_endpoint({"127.0.0.1:0"}),
      [](const http_request&, const std::shared_ptr<http_exchange>& exchange) {
        exchange->respond({200, {}, std::string(body_bytes, 'x'), true});
      }};
  auto caller = tcp::socket{loop};
  caller.open(tcp::v4());
  caller.set_option(
      asio::socket_base::receive_buffer_size{receive_buffer_bytes});
  caller.connect(server.local_endpoint());
  asio::write(
      caller,
      asio::buffer(std::string{"GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"}));
  ASSERT_TRUE(run_until(loop, [&] { return caller.available() > 0; }));
  std::this_thread::sleep_for(pause_in_reading);
  auto answer = std::string{};
  auto end = std::optional<boost::system::error_code>{};
  asio::async_read(
      caller, asio::dynamic_buffer(answer),
      [&](boost::system::error_code error, std::size_t) { end = error; });
  ASSERT_TRUE(run_until(loop, [&] { return end.has_value(); }));
  EXPECT_EQ(*end, asio::error::eof) << end->message();
  EXPECT_GT(answer.size(), body_bytes);
}

// Guards against uploads that are broken off because their server pauses while
// it reads; they may have run and are not sent again.
TEST(slow_reader, that_is_a_server_gets_the_rest_of_a_request_after_a_pause) {
  section("behind the node of the fleet", [] {
    auto server = slow_server{};
    auto loop = event_loop{};
    auto client = backend_client{loop};
    client.set_address(server.address());
    auto request = backend_request{};
    request.method = "POST";
    request.target = "/x";
    request.headers = {{"Host", "a.example"}, {"X-Id", id}};
    request.body = std::string(body_bytes, 'x');
    request.timeout = seconds(60);
    request.echo_header = "X-Id";
    request.echo_value = id;
    auto response = std::optional<backend_response>{};
    client.send(std::move(request),
                [&](backend_response x) { response = std::move(x); });
    ASSERT_TRUE(run_until(loop, [&] { return response.has_value(); }));
    EXPECT_EQ(to_string(response->outcome), "answered")
        << response->error_message;
  });
  section("behind figwindd", [] {
    auto server = slow_server{};
    auto client = http_client{1};
    const auto response = client.post_request(
        server.address(), "/x", {{"Figwind-Request-Id", id}},
        std::string(body_bytes, 'x'), seconds(60), id);
    EXPECT_EQ(response.result, http_result::answered);
  });
}
