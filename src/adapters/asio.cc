#include "adapters/asio.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>

#include "figwind/parse.h"

namespace figwind {
namespace {

// Time without acknowledgement after which a link counts as lost: a few round
// trips between failure domains, including retransmissions.
constexpr int unacknowledged_limit_ms = 2500;

}  // namespace

auto parse_endpoint(const vm_address& address) -> std::optional<tcp::endpoint> {
  const auto colon = address.value.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  auto error = boost::system::error_code{};
  const auto ip = asio::ip::make_address(address.value.substr(0, colon), error);
  const auto port = parse_unsigned(address.value.substr(colon + 1));
  if (error || !port || *port > 65535) return std::nullopt;
  return tcp::endpoint{ip, static_cast<unsigned short>(*port)};
}

void disable_nagle(tcp::socket& socket) {
  auto error = boost::system::error_code{};
  socket.set_option(tcp::no_delay{true}, error);
}

void limit_unacknowledged_time(tcp::socket& socket) {
  auto limit = unacknowledged_limit_ms;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
               sizeof limit);
}

auto is_closed_by_peer(tcp::socket& socket, bool& has_bytes) -> bool {
  auto byte = char{};
  const auto got =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  has_bytes = got > 0;
  if (got > 0) return false;
  return got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

auto has_socket_error(tcp::socket& socket) -> bool {
  auto error = 0;
  auto size = socklen_t{sizeof error};
  ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error != 0;
}

}  // namespace figwind
