// Kept-open HTTP connections to other nodes and backend servers.

#pragma once

#include <httplib.h>

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

/// Connections by address; thread-safe. A connection carries one request at a
/// time and is dropped after any failure, because what is read on it later
/// could belong to an older request.
class http_client {
 public:
  /// Keeps at most `max_idle` unused connections for each address.
  explicit http_client(std::size_t max_idle) : max_idle_{max_idle} {}

  /// Sends one POST; waits at most `timeout` for the response.
  auto post(const vm_address& to, const std::string& path,
            const httplib::Headers& headers, const std::string& body,
            duration timeout) -> http_response;

  /// True when `to` accepts a new connection.
  static auto can_connect(const vm_address& to) -> bool;

  /// Sends one GET; waits at most `timeout` for the response.
  auto get(const vm_address& to, const std::string& path, duration timeout)
      -> http_response;

 private:
  using connection = std::unique_ptr<httplib::Client>;

  auto take(const vm_address& to) -> connection;
  void give_back(const vm_address& to, connection used);
  template <class Send>
  auto exchange(const vm_address& to, duration timeout, Send send)
      -> http_response;

  std::size_t max_idle_;
  std::mutex mutex_;
  std::map<vm_address, std::vector<connection>> idle_;
};

}  // namespace figwind
