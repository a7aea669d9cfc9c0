#include "adapters/content_length.h"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "adapters/asio.h"
#include "section.h"

namespace figwind {
namespace {

using test::section;

/// A server that counts the requests that its handler gets.
class counting_server {
 public:
  counting_server() {
    server_.Post("/plain", [this](const auto&, auto&) { ++plain; });
    server_.Post("/guarded", with_content_length(
                                 [this](const auto&, auto&) { ++guarded; }));
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread{[this] { server_.listen_after_bind(); }};
    while (!server_.is_running()) std::this_thread::yield();
  }
  ~counting_server() {
    server_.stop();
    thread_.join();
  }
  counting_server(const counting_server&) = delete;
  auto operator=(const counting_server&) -> counting_server& = delete;

  /// Sends the bytes and returns what arrives until the server closes. A torn
  /// request ends with its connection.
  auto exchange(const std::string& bytes, bool torn) const -> std::string {
    auto loop = event_loop{};
    auto socket = tcp::socket{loop};
    socket.connect(*parse_endpoint({"127.0.0.1:" + std::to_string(port_)}));
    asio::write(socket, asio::buffer(bytes));
    auto ignored = boost::system::error_code{};
    if (torn) socket.shutdown(tcp::socket::shutdown_send, ignored);
    auto out = std::string{};
    asio::read(socket, asio::dynamic_buffer(out), ignored);
    return out;
  }

  std::atomic<int> plain{0};
  std::atomic<int> guarded{0};

 private:
  httplib::Server server_;
  std::thread thread_;
  int port_ = 0;
};

auto chunked(const std::string& path, const std::string& body) -> std::string {
  return "POST " + path +
         " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: "
         "chunked\r\n\r\n" +
         body;
}

// Guards against a call or a change that breaks off halfway and is carried out
// with the part that arrived.
TEST(with_content_length, refuses_bodies_whose_end_cannot_be_trusted) {
  const auto server = counting_server{};
  const auto torn = std::string{"5\r\nfirst\r"};
  section("the library alone takes a torn body for complete", [&] {
    server.exchange(chunked("/plain", torn), true);
    EXPECT_EQ(server.plain, 1);
  });
  section("the guard does not", [&] {
    const auto answer = server.exchange(chunked("/guarded", torn), true);
    EXPECT_EQ(answer.find("200"), std::string::npos);
    EXPECT_EQ(server.guarded, 0);
  });
  section("a chunked body that is whole cannot be told from it", [&] {
    const auto body = std::string{"5\r\nfirst\r\n0\r\n\r\n"};
    EXPECT_EQ(server.exchange(chunked("/guarded", body), false).substr(0, 12),
              "HTTP/1.1 411");
    EXPECT_EQ(server.guarded, 0);
  });
  const auto head = std::string{
      "POST /guarded HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Content-Length: 5\r\n\r\n"};
  section("a body with a length is handled", [&] {
    EXPECT_EQ(server.exchange(head + "first", false).substr(0, 12),
              "HTTP/1.1 200");
    EXPECT_EQ(server.guarded, 1);
  });
  section("one that breaks off is not", [&] {
    server.exchange(head + "fir", true);
    EXPECT_EQ(server.guarded, 1);
  });
}

}  // namespace
}  // namespace figwind
