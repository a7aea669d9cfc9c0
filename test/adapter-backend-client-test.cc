#include "adapters/backend_client.h"

#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "adapters/clock.h"
#include "figwind/response_limit.h"
#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

// Longer than the client waits for a connection.
constexpr auto long_pause = std::chrono::milliseconds{700};

/// A client and the listening socket of its backend server. The event loop runs
/// only in `run_until` and `begin_connecting`.
class client_and_server {
 public:
  client_and_server() : acceptor_{loop_, *parse_endpoint({"127.0.0.1:0"})} {
    const auto port = acceptor_.local_endpoint().port();
    client_.set_address({"127.0.0.1:" + std::to_string(port)});
  }

  void send(const std::string& id, duration timeout = seconds(30)) {
    auto x = backend_request{};
    x.method = "POST";
    x.target = "/x";
    x.headers = {{"Host", "a.example"}, {"X-Id", id}};
    x.timeout = timeout;
    x.echo_header = "X-Id";
    x.echo_value = id;
    client_.send(std::move(x), [this](backend_response response) {
      response_ = std::move(response);
    });
  }

  /// Runs the first handler of the request, which starts to open a connection.
  void begin_connecting() { loop_.run_one(); }

  /// Accepts the connection, reads the request and, unless `is_silent`, answers
  /// it.
  void serve(const std::string& id, bool is_silent = false) {
    acceptor_.async_accept([this, id, is_silent](
                               boost::system::error_code error,
                               tcp::socket socket) {
      if (error) return;
      socket_.emplace(std::move(socket));
      asio::async_read_until(
          *socket_, input_, "\r\n\r\n",
          [this, id, is_silent](boost::system::error_code failed, std::size_t) {
            if (failed) return;
            ++requests_;
            if (is_silent) return;
            asio::write(*socket_, asio::buffer(answer_to(id)), failed);
          });
    });
  }

  auto run_until_response() -> backend_response {
    const auto end = steady_now() + seconds(60);
    while (!response_ && steady_now() < end) {
      loop_.run_for(std::chrono::milliseconds{2});
      loop_.restart();
    }
    return response_.value_or(backend_response{});
  }

  [[nodiscard]] auto requests() const -> int { return requests_; }

 private:
  static auto answer_to(const std::string& id) -> std::string {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok";
  }

  event_loop loop_;
  tcp::acceptor acceptor_;
  backend_client client_{loop_};
  std::optional<tcp::socket> socket_;
  asio::streambuf input_;
  std::optional<backend_response> response_;
  int requests_ = 0;
};

}  // namespace

// Guards against a request that is sent and then reported as not sent, so that
// a second server runs it: after a pause of the process, the opened connection
// and the time limit for opening it are ready together.
TEST(backend_client, sends_on_a_connection_that_was_opened_during_a_pause) {
  auto x = client_and_server{};
  x.serve("a");
  x.send("a");
  x.begin_connecting();
  std::this_thread::sleep_for(long_pause);
  const auto response = x.run_until_response();
  EXPECT_EQ(to_string(response.outcome), "answered") << response.error_message;
  EXPECT_EQ(x.requests(), 1);
}

// Guards against a request that is reported as not sent although it was: each
// time limit that a pause exceeds belongs to one stage of the request only.
TEST(backend_client, reports_unreachable_only_if_nothing_was_sent) {
  section("the request times out during the pause that opens the connection",
          [] {
            auto x = client_and_server{};
            x.serve("a", true);
            x.send("a", milliseconds(100));
            x.begin_connecting();
            std::this_thread::sleep_for(long_pause);
            const auto outcome = to_string(x.run_until_response().outcome);
            EXPECT_TRUE(x.requests() == 0 || outcome == "late") << outcome;
          });
  section("nobody listens", [] {
    auto loop = event_loop{};
    auto client = backend_client{loop};
    client.set_address({"127.0.0.1:1"});
    auto outcome = std::string{};
    auto request = backend_request{};
    request.timeout = seconds(30);
    client.send(std::move(request), [&](const backend_response& response) {
      outcome = to_string(response.outcome);
    });
    loop.run();
    EXPECT_EQ(outcome, "unreachable");
  });
}

// Guards against a process that runs out of memory because a faulty server
// sends bytes without end to many requests at once.
TEST(backend_client, bounds_the_memory_of_endless_responses) {
  constexpr auto requests = 200;
  struct example {
    std::string name;
    std::string begin;
    std::string endless;
  };
  const auto block = std::string(std::size_t{64} << 10U, 'a');
  const auto head = std::string{"HTTP/1.1 200 OK\r\nX-Id: a\r\n"};
  const auto examples = std::vector<example>{
      {"a line of the head", head + "A: ", block},
      {"a body without a length", head + "\r\n", block},
      {"a body in chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
       "10000\r\n" + block + "\r\n"},
  };
  for (const auto& x : examples) {
    section(x.name, [&] {
      auto loop = event_loop{};
      auto acceptor = tcp::acceptor{loop, *parse_endpoint({"127.0.0.1:0"})};
      auto client = backend_client{loop};
      client.set_address(
          {"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())});
      auto sockets = std::vector<tcp::socket>{};
      std::function<void()> accept = [&] {
        acceptor.async_accept(
            [&](boost::system::error_code error, tcp::socket socket) {
              if (error) return;
              sockets.push_back(std::move(socket));
              accept();
            });
      };
      accept();
      auto ended = 0;
      auto answered = 0;
      for (auto i = 0; i < requests; ++i) {
        auto request = backend_request{};
        request.method = "GET";
        request.target = "/x";
        request.timeout = seconds(60);
        request.echo_header = "X-Id";
        request.echo_value = "a";
        client.send(std::move(request), [&](const backend_response& response) {
          ++ended;
          if (response.outcome == backend_outcome::answered) ++answered;
        });
      }
      const auto end = steady_now() + seconds(60);
      while (sockets.size() < requests && steady_now() < end) loop.poll();
      // All responses grow at the same pace.
      auto ignored = boost::system::error_code{};
      for (auto& socket : sockets) {
        asio::write(socket, asio::buffer(x.begin), ignored);
        socket.non_blocking(true, ignored);
      }
      auto most = std::size_t{0};
      while (ended < requests && steady_now() < end) {
        for (auto& socket : sockets) {
          socket.write_some(asio::buffer(x.endless), ignored);
        }
        loop.poll();
        most = std::max(most, client.received_bytes());
      }
      EXPECT_EQ(ended, requests);
      EXPECT_EQ(answered, 0);
      EXPECT_LE(most, 2 * max_response_bytes);
      EXPECT_EQ(client.received_bytes(), 0U);
      acceptor.close(ignored);
      loop.poll();
    });
  }
}
