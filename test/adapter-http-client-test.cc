#include "adapters/http_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <set>
#include <thread>

#include "adapters/asio.h"
#include "figwind/response_limit.h"
#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

auto response(const std::string& id, const std::string& body,
              const std::string& status = "200 OK") -> std::string {
  const auto head = id.empty() ? "" : "Figwind-Request-Id: " + id + "\r\n";
  return "HTTP/1.1 " + status + "\r\n" + head +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What one connection may take of an endless response, with the buffers of the
// kernel at both ends.
constexpr auto max_sent_bytes = 2 * max_response_bytes;

/// Server whose handler writes the bytes for each request, on a thread of its
/// own for each connection.
class raw_server {
 public:
  using handler = std::function<std::string(const std::string& id)>;

  explicit raw_server(handler answer)
      : answer_{std::move(answer)},
        acceptor_{loop_, *parse_endpoint({"127.0.0.1:0"})},
        thread_{[this] { serve(); }} {}
  ~raw_server() {
    auto ignored = boost::system::error_code{};
    // Wakes the thread that accepts.
    is_stopped_ = true;
    auto last = tcp::socket{loop_};
    last.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    for (auto& x : sockets_) x->shutdown(tcp::socket::shutdown_both, ignored);
    for (auto& x : threads_) x.join();
  }
  raw_server(const raw_server&) = delete;
  auto operator=(const raw_server&) -> raw_server& = delete;

  auto address() const -> vm_address {
    return {"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
  }

  std::atomic<int> connections{0};
  /// True if the server closes each connection after what it has written.
  std::atomic<bool> closes{false};
  /// If not empty, written after the handler's bytes until the client closes.
  std::string endless;
  /// Most bytes of `endless` on one connection.
  std::atomic<std::size_t> longest{0};

 private:
  void serve() {
    for (;;) {
      auto socket = std::make_shared<tcp::socket>(loop_);
      auto error = boost::system::error_code{};
      acceptor_.accept(*socket, error);
      if (error || is_stopped_) return;
      ++connections;
      sockets_.push_back(socket);
      threads_.emplace_back([this, socket] { serve(*socket); });
    }
  }

  void serve(tcp::socket& socket) {
    auto input = asio::streambuf{};
    for (;;) {
      auto error = boost::system::error_code{};
      const auto size = asio::read_until(socket, input, "\r\n\r\n", error);
      if (error) return;
      const auto data = input.data();
      const auto head = std::string{
          asio::buffers_begin(data),
          asio::buffers_begin(data) + static_cast<std::ptrdiff_t>(size)};
      input.consume(size);
      const auto at = head.find("Figwind-Request-Id: ") + 20;
      asio::write(
          socket,
          asio::buffer(answer_(head.substr(at, head.find('\r', at) - at))),
          error);
      if (!endless.empty()) return send_without_end(socket);
      if (!closes) continue;
      socket.shutdown(tcp::socket::shutdown_both, error);
      return;
    }
  }

  void send_without_end(tcp::socket& socket) {
    auto error = boost::system::error_code{};
    auto sent = std::size_t{0};
    // Ends also if the client reads all.
    while (!error && sent <= 2 * max_sent_bytes) {
      sent += asio::write(socket, asio::buffer(endless), error);
    }
    socket.close(error);
    auto most = longest.load();
    while (sent > most && !longest.compare_exchange_weak(most, sent)) {
    }
  }

  handler answer_;
  event_loop loop_;
  tcp::acceptor acceptor_;
  std::atomic<bool> is_stopped_{false};
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

auto send(http_client& client, const raw_server& to, const std::string& id)
    -> http_response {
  return client.post_request(to.address(), "/v1/work/x",
                             {{"Figwind-Request-Id", id}}, "", seconds(20), id);
}

}  // namespace

// Guards against a second copy of an answer that reaches the next caller on the
// connection: nothing but an id tells them apart.
TEST(http_client, gives_no_caller_the_answer_to_another) {
  struct example {
    std::string name;
    raw_server::handler answer;
    /// True if the second request may end without its answer.
    bool may_break;
  };
  auto last = std::string{};
  const auto examples = std::vector<example>{
      {"a server that returns no id and answers twice",
       [](const std::string& id) {
         return response("", "to " + id) + response("", "to " + id);
       },
       false},
      {"a server that returns the id and answers twice",
       [](const std::string& id) {
         return response(id, "to " + id) + response(id, "to " + id);
       },
       true},
      {"a second copy before the next answer",
       [&](const std::string& id) {
         const auto before = std::exchange(last, id);
         return (before.empty() ? "" : response(before, "to " + before)) +
                response(id, "to " + id);
       },
       true},
  };
  for (const auto& x : examples) {
    section(x.name, [&] {
      auto server = raw_server{x.answer};
      auto client = http_client{4};
      EXPECT_EQ(send(client, server, "1").body, "to 1");
      for (const auto* id : {"2", "3", "4"}) {
        const auto got = send(client, server, id);
        if (got.result == http_result::answered) {
          EXPECT_EQ(got.body, std::string{"to "} + id);
        } else {
          EXPECT_TRUE(x.may_break);
        }
      }
    });
  }
}

// Guards against "not run" for a request that runs, because the server writes
// an earlier refusal once more.
TEST(http_client, leaves_a_connection_with_a_refusal) {
  auto server = raw_server{[](const std::string& id) {
    return id == "1" ? response(id, "", "503 Full") : response(id, "to " + id);
  }};
  auto client = http_client{4};
  EXPECT_EQ(send(client, server, "1").status, 503);
  EXPECT_EQ(send(client, server, "2").body, "to 2");
  EXPECT_EQ(server.connections, 2);
}

// Guards against an answer that breaks off in its head or body and that still
// counts as complete.
TEST(http_client, takes_no_torn_answer_for_a_complete_one) {
  struct example {
    std::string name;
    std::string answer;
  };
  const auto head = std::string{"HTTP/1.1 200 OK\r\nFigwind-Request-Id: 1\r\n"};
  const auto examples = std::vector<example>{
      {"with a length", head + "Content-Length: 12\r\n\r\nhello, world"},
      {"in chunks",
       head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, "
              "world\r\n0\r\n\r\n"},
  };
  for (const auto& x : examples) {
    section(x.name, [&] {
      auto size = std::size_t{0};
      auto server = raw_server{
          [&](const std::string&) { return x.answer.substr(0, size); }};
      server.closes = true;
      auto client = http_client{4};
      for (; size < x.answer.size(); ++size) {
        EXPECT_NE(send(client, server, "1").result, http_result::answered)
            << "cut at " << size;
      }
      EXPECT_EQ(send(client, server, "1").body, "hello, world");
    });
  }
}

// Guards against a connection for each request to a server that returns ids.
TEST(http_client, reuses_connections_that_return_the_id) {
  auto server = raw_server{
      [](const std::string& id) { return response(id, "to " + id); }};
  auto client = http_client{4};
  for (const auto* id : {"1", "2", "3"}) {
    EXPECT_EQ(send(client, server, id).body, std::string{"to "} + id);
  }
  EXPECT_EQ(server.connections, 1);
}

// Guards against a process that runs out of memory because a faulty server
// sends bytes without end: in a head, a body or a chunk's extension, to one
// request or to many at once.
TEST(http_client, bounds_the_memory_of_endless_responses) {
  constexpr auto callers = 16;
  struct example {
    std::string name;
    std::string begin;
    std::string endless;
  };
  const auto block = std::string(std::size_t{64} << 10U, 'a');
  const auto head = std::string{"HTTP/1.1 200 OK\r\nFigwind-Request-Id: 1\r\n"};
  const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const auto examples = std::vector<example>{
      {"a line of the head", head + "A: ", block},
      {"a body without a length", head + "\r\n", block},
      {"a body in chunks", chunked, "10000\r\n" + block + "\r\n"},
      {"the extension of a chunk", chunked + "4;", block},
  };
  for (const auto& x : examples) {
    section(x.name, [&] {
      auto server = raw_server{[&](const std::string&) { return x.begin; }};
      server.endless = x.endless;
      auto client = http_client{4};
      auto running = std::atomic<int>{callers};
      auto answered = std::atomic<int>{0};
      auto threads = std::vector<std::thread>{};
      for (auto i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
          const auto got = send(client, server, "1");
          if (got.result != http_result::broken) ++answered;
          --running;
        });
      }
      auto most = std::size_t{0};
      while (running > 0) {
        most = std::max(most, client.received_bytes());
        std::this_thread::yield();
      }
      for (auto& thread : threads) thread.join();
      EXPECT_EQ(answered, 0);
      EXPECT_LE(most, 2 * max_response_bytes);
      EXPECT_LE(server.longest, max_sent_bytes);
    });
  }
}
