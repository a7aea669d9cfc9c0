// Event loop, TCP socket types and timers of a process, on Boost.Asio. A loop
// runs on one thread, so handlers need no locks.

#pragma once

// Boost 1.74 needs this include with g++ 12.
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

namespace asio = boost::asio;
using event_loop = asio::io_context;
using tcp = asio::ip::tcp;

/// Parses `ip:port`; `std::nullopt` if the address or the port is invalid.
auto parse_endpoint(const vm_address& address) -> std::optional<tcp::endpoint>;

/// Disables Nagle's algorithm.
void disable_nagle(tcp::socket& socket);

/// Limits the time that sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
/// The kernel also ends the connection to a peer that does not read for this
/// time, so this is only for peers that always read: links of the fleet.
void limit_unacknowledged_time(tcp::socket& socket);

/// True if the peer has closed or reset the connection and all received bytes
/// were read. Sets `has_bytes` to whether unread bytes are available.
auto is_closed_by_peer(tcp::socket& socket, bool& has_bytes) -> bool;

/// True if the connection has failed, as by a reset, and no operation has
/// reported it yet.
auto has_socket_error(tcp::socket& socket) -> bool;

inline auto to_chrono(duration x) -> std::chrono::microseconds {
  return std::chrono::microseconds{static_cast<std::int64_t>(x.ms * 1000)};
}

/// Runs `action` `period` after construction and after each run, until the
/// timer is destroyed.
template <class Action>
class periodic_timer {
 public:
  periodic_timer(event_loop& loop, duration period, Action action)
      : timer_{loop}, period_{period}, action_{std::move(action)} {
    wait();
  }

 private:
  void wait() {
    timer_.expires_after(to_chrono(period_));
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      action_();
      wait();
    });
  }

  asio::steady_timer timer_;
  duration period_;
  Action action_;
};

}  // namespace figwind
