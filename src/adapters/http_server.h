// HTTP/1.1 server (RFC 9112) on the event loop. Passes complete requests to a
// handler, sends complete responses and reports callers that disconnect.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "adapters/asio.h"
#include "figwind/fleet_messages.h"
#include "figwind/route.h"

namespace figwind {

struct http_request {
  std::string method;
  /// Path and query.
  std::string target;
  std::string host;
  header_list headers;
  std::string body;

  /// Returns the value of the first header with this name, ignoring case; empty
  /// if there is none.
  [[nodiscard]] auto header(const std::string& name) const -> std::string;
};

struct http_server_response {
  int status = 200;
  header_list headers;
  std::string body;
  /// True if the connection is closed after the response.
  bool close_connection = false;
};

/// True if two header names are equal, ignoring case.
auto is_same_header_name(const std::string& a, const std::string& b) -> bool;

/// Returns the headers without hop-by-hop headers (RFC 9110) and
/// `Content-Length`.
auto remove_hop_by_hop_headers(const header_list& all) -> header_list;

/// A request that waits for its response, which may be sent at any later time.
/// Responses after the first are ignored.
class http_exchange {
 public:
  http_exchange() = default;
  http_exchange(const http_exchange&) = delete;
  auto operator=(const http_exchange&) -> http_exchange& = delete;
  http_exchange(http_exchange&&) = delete;
  auto operator=(http_exchange&&) -> http_exchange& = delete;
  virtual ~http_exchange() = default;

  virtual void respond(http_server_response x) = 0;
  /// `handler` is called once if the caller disconnects before the response.
  virtual void on_disconnect(std::function<void()> handler) = 0;
};

using http_handler =
    std::function<void(http_request, std::shared_ptr<http_exchange>)>;

/// State that a server shares with its connections.
struct http_server_state {
  http_handler handler;
  caller_limits limits;
  /// True if responses tell callers to close, and connections end after them.
  bool disables_keep_alive = false;
  std::size_t open_connections = 0;
  std::size_t pending_requests = 0;
};

class http_server {
 public:
  http_server(event_loop& loop, const tcp::endpoint& at, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;
  http_server(http_server&&) = delete;
  auto operator=(http_server&&) -> http_server& = delete;

  void set_limits(const caller_limits& limits) { state_->limits = limits; }

  /// From now on each response closes its connection.
  void disable_keep_alive() { state_->disables_keep_alive = true; }
  /// Stops accepting connections and closes those without a request. Returns
  /// true once all connections have ended; to be called again until then, as a
  /// request may have arrived that was not read yet.
  auto shutdown() -> bool;

  /// Address at which connections are accepted.
  [[nodiscard]] auto local_endpoint() const -> tcp::endpoint {
    return acceptor_.local_endpoint();
  }

  /// Number of requests that wait for their response.
  [[nodiscard]] auto pending_requests() const -> std::size_t {
    return state_->pending_requests;
  }
  [[nodiscard]] auto open_connections() const -> std::size_t {
    return state_->open_connections;
  }

 private:
  class session;

  void accept();
  void accept_waiting();
  void serve(tcp::socket socket);

  tcp::acceptor acceptor_;
  std::shared_ptr<http_server_state> state_;
  std::vector<std::weak_ptr<session>> sessions_;
};

}  // namespace figwind
