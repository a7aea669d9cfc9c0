#include "adapters/http_client.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "adapters/address.h"
#include "adapters/asio.h"
#include "adapters/call_headers.h"
#include "adapters/response_parser.h"
#include "figwind/response_limit.h"

namespace figwind {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;

constexpr auto connect_timeout = milliseconds(500);
constexpr auto max_header_bytes = std::uint32_t{64} << 10U;
// Received bytes that are not parsed yet, such as the extension of a chunk.
constexpr auto max_unparsed_bytes = std::size_t{128} << 10U;
constexpr auto read_bytes = std::size_t{64} << 10U;
// Interim responses before the final one.
constexpr auto max_interim_responses = 16;

}  // namespace

/// The bytes of one response, counted together with those of all others of the
/// client while it is being received.
class http_client::counted_response {
 public:
  explicit counted_response(http_client& owner) : owner_{owner} {
    ++owner_.active_exchanges_;
  }
  ~counted_response() {
    owner_.received_bytes_ -= bytes_;
    --owner_.active_exchanges_;
  }
  counted_response(const counted_response&) = delete;
  auto operator=(const counted_response&) -> counted_response& = delete;
  counted_response(counted_response&&) = delete;
  auto operator=(counted_response&&) -> counted_response& = delete;

  /// Counts received bytes. Returns false if the response is too long.
  auto add(std::size_t bytes) -> bool {
    owner_.received_bytes_ += bytes;
    bytes_ += bytes;
    return may_receive_more(bytes_, owner_.received_bytes_,
                            owner_.active_exchanges_);
  }

 private:
  http_client& owner_;
  std::size_t bytes_ = 0;
};

/// A connection whose operations block the calling thread.
///
/// Reads with Boost.Beast because the client of cpp-httplib 0.11 takes a
/// chunked response for complete if it breaks off behind the data of a chunk.
class http_connection {
 public:
  /// Gives each operation the time `limit`, in place of the limits of `open`
  /// and `exchange`.
  void limit_each_operation(duration limit) { operation_limit_ = limit; }

  /// Returns false if `to` accepts no connection in time.
  auto open(const vm_address& to) -> bool {
    const auto at = split(to);
    host_ = to.value;
    auto error = error_code{};
    const auto endpoints =
        tcp::resolver{loop_}.resolve(at.host, std::to_string(at.port), error);
    if (error) return false;
    stream_.expires_after(to_chrono(connect_timeout));
    error = wait([&](auto done) { stream_.async_connect(endpoints, done); });
    if (error) return false;
    disable_nagle(stream_.socket());
    return true;
  }

  /// False if the peer has closed the connection or sent bytes that belong to
  /// no request.
  auto is_reusable() -> bool {
    auto has_bytes = false;
    return !is_closed_by_peer(stream_.socket(), has_bytes) && !has_bytes;
  }

  auto exchange(const http_client::request& x, duration timeout,
                http_client::counted_response& received) -> http_response {
    stream_.expires_after(to_chrono(std::max(timeout, milliseconds(1))));
    auto message = make_message(x);
    const auto error =
        wait([&](auto done) { http::async_write(stream_, message, done); });
    if (error) return failure(error);
    return read(received);
  }

  /// True if the last response ended where the next one may begin.
  [[nodiscard]] auto keeps_alive() const -> bool { return keeps_alive_; }

 private:
  auto make_message(const http_client::request& x) const
      -> http::request<http::string_body> {
    auto out = http::request<http::string_body>{};
    out.version(11);
    out.method_string(x.method);
    out.target(x.path);
    out.set(http::field::host, host_);
    for (const auto& [name, value] : x.headers) out.insert(name, value);
    if (x.method == "POST" && out.count(http::field::content_type) == 0) {
      out.set(http::field::content_type, "application/octet-stream");
    }
    out.body() = x.body;
    out.prepare_payload();
    return out;
  }

  /// Reads the rest of a response.
  auto read_all(response_parser& to, http_client::counted_response& received)
      -> error_code {
    for (;;) {
      if (buffer_.size() > 0) {
        const auto error = to.parse(buffer_);
        if (error || to.is_done()) return error;
      }
      if (buffer_.size() + read_bytes > max_unparsed_bytes) {
        return http::error::buffer_overflow;
      }
      auto size = std::size_t{0};
      const auto error = read_some(size);
      if (error == asio::error::eof) return to.parse_end();
      if (error) return error;
      buffer_.commit(size);
      if (!received.add(size)) return http::error::body_limit;
    }
  }

  auto read_some(std::size_t& size) -> error_code {
    return wait([&](auto done) {
      stream_.async_read_some(buffer_.prepare(read_bytes),
                              [&size, done](error_code error, std::size_t got) {
                                size = got;
                                done(error);
                              });
    });
  }

  auto read(http_client::counted_response& received) -> http_response {
    for (auto i = 0; i <= max_interim_responses; ++i) {
      auto parser = response_parser{max_header_bytes, false};
      const auto error = read_all(parser, received);
      if (error) return failure(error);
      auto message = parser.release();
      if (message.result_int() < 200) continue;
      keeps_alive_ = message.keep_alive() && buffer_.size() == 0;
      return to_response(std::move(message));
    }
    return {http_result::broken, 0, {}, {}};
  }

  static auto to_response(http::response<http::string_body> x)
      -> http_response {
    auto out = http_response{};
    out.result = http_result::answered;
    out.status = static_cast<int>(x.result_int());
    for (const auto& field : x) {
      out.headers.emplace(std::string{field.name_string()},
                          std::string{field.value()});
    }
    out.body = std::move(x.body());
    return out;
  }

  static auto failure(error_code error) -> http_response {
    const auto is_late = error == beast::error::timeout;
    return {is_late ? http_result::timed_out : http_result::broken, 0, {}, {}};
  }

  /// Starts an operation, runs the loop until it has ended and returns its
  /// error.
  template <class Start>
  auto wait(Start start) -> error_code {
    if (operation_limit_) stream_.expires_after(to_chrono(*operation_limit_));
    auto out = error_code{asio::error::operation_aborted};
    start([&out](error_code error, const auto&...) { out = error; });
    loop_.restart();
    loop_.run();
    return out;
  }

  event_loop loop_;
  beast::tcp_stream stream_{loop_};
  beast::flat_buffer buffer_{max_unparsed_bytes};
  std::string host_;
  std::optional<duration> operation_limit_;
  bool keeps_alive_ = false;
};

http_client::http_client(std::size_t max_idle) : max_idle_{max_idle} {}

http_client::~http_client() = default;

auto http_client::take_idle(const vm_address& to) -> connection {
  auto lock = std::lock_guard{mutex_};
  auto& idle = idle_[to];
  while (!idle.empty()) {
    auto used = std::move(idle.back());
    idle.pop_back();
    if (used->is_reusable()) return used;
  }
  return nullptr;
}

void http_client::give_back(const vm_address& to, connection used) {
  auto lock = std::lock_guard{mutex_};
  auto& idle = idle_[to];
  if (idle.size() < max_idle_) idle.push_back(std::move(used));
}

template <class Keep>
auto http_client::exchange(const vm_address& to, const request& x,
                           duration timeout, Keep may_keep) -> http_response {
  auto used = take_idle(to);
  if (!used) {
    used = std::make_unique<http_connection>();
    if (!used->open(to)) return {http_result::not_sent, 0, {}, {}};
  }
  auto received = counted_response{*this};
  auto response = used->exchange(x, timeout, received);
  const auto is_complete = response.result == http_result::answered;
  if (is_complete && used->keeps_alive() && may_keep(response)) {
    give_back(to, std::move(used));
  }
  return response;
}

auto http_client::send_once(const vm_address& to, const request& x,
                            duration timeout) -> http_response {
  auto owner = http_client{0};
  auto connection = http_connection{};
  connection.limit_each_operation(timeout);
  if (!connection.open(to)) return {http_result::not_sent, 0, {}, {}};
  auto received = counted_response{owner};
  return connection.exchange(x, timeout, received);
}

auto http_client::post(const vm_address& to, const std::string& path,
                       const httplib::Headers& headers, const std::string& body,
                       duration timeout) -> http_response {
  return exchange(to, {"POST", path, headers, body}, timeout,
                  [](const http_response&) { return true; });
}

auto http_client::post_request(const vm_address& to, const std::string& path,
                               const httplib::Headers& headers,
                               const std::string& body, duration timeout,
                               const std::string& id) -> http_response {
  const auto returned_id = [](const http_response& x) {
    const auto found = x.headers.find(header_name::request_id);
    return found == x.headers.end() ? std::string{} : found->second;
  };
  auto response = exchange(to, {"POST", path, headers, body}, timeout,
                           [&](const http_response& x) {
                             return returned_id(x) == id && x.status != 503;
                           });
  const auto returned = returned_id(response);
  if (!returned.empty() && returned != id) {
    return {http_result::broken, 0, {}, {}};
  }
  return response;
}

auto http_client::can_connect(const vm_address& to) -> bool {
  return http_connection{}.open(to);
}

auto http_client::get(const vm_address& to, const std::string& path,
                      duration timeout) -> http_response {
  return exchange(to, {"GET", path, {}, {}}, timeout,
                  [](const http_response&) { return true; });
}

}  // namespace figwind
