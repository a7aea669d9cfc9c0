// Kept-open HTTP connections to other nodes and backend servers.

#pragma once

#include <httplib.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

/// What became of one HTTP request.
enum class http_result : std::uint8_t {
  /// A whole response was read.
  answered,
  /// No connection could be made: the request was certainly not sent.
  not_sent,
  /// The connection broke after sending began.
  broken,
  /// No whole response came in time.
  timed_out,
};

struct http_response {
  http_result result = http_result::not_sent;
  int status = 0;
  httplib::Headers headers;
  std::string body;
};

class http_connection;

/// Connections by address; thread-safe. A connection carries one request at a
/// time and is dropped after any failure, because what is read on it later
/// could belong to an older request.
class http_client {
 public:
  /// Keeps at most `max_idle` unused connections for each address.
  explicit http_client(std::size_t max_idle);
  ~http_client();
  http_client(const http_client&) = delete;
  auto operator=(const http_client&) -> http_client& = delete;
  http_client(http_client&&) = delete;
  auto operator=(http_client&&) -> http_client& = delete;

  struct request {
    std::string method;
    std::string path;
    /// A POST without `Content-Type` is sent as `application/octet-stream`.
    httplib::Headers headers;
    std::string body;
  };

  /// Sends one request on a connection of its own. Waits at most `timeout` for
  /// the connection, for the request to be sent and for each part of the
  /// response.
  static auto send_once(const vm_address& to, const request& x,
                        duration timeout) -> http_response;

  /// Sends one POST; waits at most `timeout` for the response.
  auto post(const vm_address& to, const std::string& path,
            const httplib::Headers& headers, const std::string& body,
            duration timeout) -> http_response;

  /// Sends one POST for the request `id`. The peer may copy the id into the
  /// header `Figwind-Request-Id` of its response: a response with another id
  /// counts as `broken`. The connection is used again only if the id was
  /// returned and the response is no refusal (503), since nothing else tells a
  /// late copy of this response from the next one.
  auto post_request(const vm_address& to, const std::string& path,
                    const httplib::Headers& headers, const std::string& body,
                    duration timeout, const std::string& id) -> http_response;

  /// True when `to` accepts a new connection.
  static auto can_connect(const vm_address& to) -> bool;

  /// Bytes so far of all responses that are being received.
  [[nodiscard]] auto received_bytes() const -> std::size_t {
    return received_bytes_;
  }

  /// Sends one GET; waits at most `timeout` for the response.
  auto get(const vm_address& to, const std::string& path, duration timeout)
      -> http_response;

 private:
  using connection = std::unique_ptr<http_connection>;
  class counted_response;

  friend class http_connection;

  /// Returns an idle connection that the peer has not closed, or null.
  auto take_idle(const vm_address& to) -> connection;
  void give_back(const vm_address& to, connection used);
  /// Keeps the connection if `may_keep(response)`.
  template <class Keep>
  auto exchange(const vm_address& to, const request& x, duration timeout,
                Keep may_keep) -> http_response;

  std::size_t max_idle_;
  /// Exchanges in progress, and the bytes so far of their responses.
  std::atomic<std::size_t> active_exchanges_{0};
  std::atomic<std::size_t> received_bytes_{0};
  std::mutex mutex_;
  std::map<vm_address, std::vector<connection>> idle_;
};

}  // namespace figwind
