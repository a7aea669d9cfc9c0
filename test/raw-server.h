// Server that writes given bytes for each request, on threads of its own.

#pragma once

#include "adapters/asio.h"

#include <sys/ioctl.h>

#include <atomic>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "figwind/response_limit.h"

namespace figwind::test {

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
    {
      auto lock = std::lock_guard{mutex_};
      for (auto& x : sockets_) x->shutdown(tcp::socket::shutdown_both, ignored);
    }
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
  /// True if the server resets each connection after what it has written.
  std::atomic<bool> resets{false};
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
      if (resets) return reset(socket);
      if (!closes) continue;
      socket.shutdown(tcp::socket::shutdown_both, error);
      return;
    }
  }

  /// Waits until the peer has received all bytes, so that the reset discards
  /// none of them.
  void reset(tcp::socket& socket) {
    auto unsent = 0;
    do {
      ioctl(socket.native_handle(), TIOCOUTQ, &unsent);
    } while (unsent > 0);
    auto ignored = boost::system::error_code{};
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    close(socket);
  }

  void close(tcp::socket& socket) {
    auto lock = std::lock_guard{mutex_};
    auto ignored = boost::system::error_code{};
    socket.close(ignored);
  }

  void send_without_end(tcp::socket& socket) {
    auto error = boost::system::error_code{};
    auto sent = std::size_t{0};
    // Ends also if the client reads all.
    while (!error && sent <= 2 * max_sent_bytes) {
      sent += asio::write(socket, asio::buffer(endless), error);
    }
    close(socket);
    auto most = longest.load();
    while (sent > most && !longest.compare_exchange_weak(most, sent)) {
    }
  }

  handler answer_;
  event_loop loop_;
  tcp::acceptor acceptor_;
  std::atomic<bool> is_stopped_{false};
  /// Guards the sockets against a shutdown while a thread closes them.
  std::mutex mutex_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

}  // namespace figwind::test
