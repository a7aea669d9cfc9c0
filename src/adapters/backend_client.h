// HTTP/1.1 client through which a node sends requests to the backend server on
// its VM. Reuses idle connections; each response is matched to its request by
// an echoed header.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "adapters/asio.h"
#include "figwind/fleet_messages.h"

namespace figwind {

struct backend_request {
  std::string method;
  std::string target;
  header_list headers;
  std::string body;
  /// Longest wait for the response; values under 1 ms count as 1 ms.
  duration timeout;
  /// Header that the backend server copies into its response, and its value in
  /// this request. A response with another value belongs to another request.
  std::string echo_header;
  std::string echo_value;
  /// Header by which the backend server states that it has not run a request.
  /// A connection with such a response, or one with status 421, is not used
  /// again: a second copy of it could pass for the response to the next
  /// request, which would run although its caller got "not run".
  std::string refusal_header;
};

enum class backend_outcome : std::uint8_t {
  /// A complete response arrived.
  answered,
  /// The connection could not be opened, so nothing was sent.
  unreachable,
  /// The connection broke, or the response is incomplete or invalid.
  failed,
  /// No response arrived within the timeout.
  timed_out,
};

auto to_string(backend_outcome x) -> std::string;

struct backend_response {
  backend_outcome outcome = backend_outcome::failed;
  int status = 0;
  header_list headers;
  std::string body;
  /// Reason of a failure, for the log; empty on success.
  std::string error_message;
};

class backend_client {
 public:
  using response_handler = std::function<void(backend_response)>;

  explicit backend_client(event_loop& loop);
  ~backend_client();
  backend_client(const backend_client&) = delete;
  auto operator=(const backend_client&) -> backend_client& = delete;
  backend_client(backend_client&&) = delete;
  auto operator=(backend_client&&) -> backend_client& = delete;

  /// Sets the address of the backend server. A change closes idle connections
  /// to the previous one.
  void set_address(const vm_address& address);

  /// Sends a request and returns its number for `cancel`. `done` is called
  /// once, after this function has returned, unless the request is cancelled.
  auto send(backend_request request, response_handler done) -> std::uint64_t;

  /// Closes the connection of a request without calling its handler.
  void cancel(std::uint64_t number);

  /// Checks whether the backend server accepts a new connection within 500 ms.
  void probe(std::function<void(bool accepts)> done);

  /// Closes idle connections that have expired, were closed by the backend
  /// server or received unexpected bytes.
  void close_expired_connections(time_point now);

  [[nodiscard]] auto opened_connections() const -> std::uint64_t {
    return opened_connections_;
  }
  /// Bytes so far of all responses that are being received.
  [[nodiscard]] auto received_bytes() const -> std::size_t {
    return received_bytes_;
  }

 private:
  class pending_request;
  struct idle_connection {
    tcp::socket socket;
    time_point expires_at;
    /// Echo value of the last request. A resend of the same request must use
    /// another connection: a duplicate of the first response may still arrive
    /// and would pass for the response to the resend.
    std::string last_echo_value;
  };

  void keep_idle_connection(idle_connection x);
  auto take_idle_connection(const std::string& echo)
      -> std::unique_ptr<tcp::socket>;

  event_loop& loop_;
  vm_address address_;
  std::vector<idle_connection> idle_connections_;
  std::vector<std::weak_ptr<pending_request>> pending_requests_;
  std::uint64_t last_request_number_ = 0;
  std::uint64_t opened_connections_ = 0;
  std::size_t active_requests_ = 0;
  std::size_t received_bytes_ = 0;
};

}  // namespace figwind
