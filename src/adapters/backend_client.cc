#include "adapters/backend_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "adapters/clock.h"
#include "adapters/http_server.h"
#include "adapters/response_parser.h"
#include "figwind/parse.h"
#include "figwind/response_limit.h"

namespace figwind {
namespace {

namespace http = boost::beast::http;
using error_code = boost::system::error_code;

constexpr auto connect_timeout = milliseconds(500);
// Idle time after which a connection is no longer reused if the backend server
// sends no `Keep-Alive` timeout.
constexpr auto default_idle_timeout = seconds(4);
// Share of a `Keep-Alive` timeout during which a connection is reused; the
// server may close the connection early.
constexpr auto idle_timeout_share = 0.5;
constexpr auto max_header_bytes = std::uint32_t{32} << 10U;
// Received bytes that are not parsed yet, such as the extension of a chunk.
constexpr auto max_unparsed_bytes = std::size_t{128} << 10U;
// A read that fills its buffer is followed by one of twice the size.
constexpr auto min_read_bytes = std::size_t{4} << 10U;
constexpr auto max_read_bytes = std::size_t{64} << 10U;
// Longest time between the end of a response and the reset that follows if the
// backend server, on the same VM, has closed the connection while the request
// was being written.
constexpr auto reset_wait = milliseconds(100);
// Interim and duplicate responses before the one to the request.
constexpr auto max_skipped_responses = 16;

/// Parses the seconds of `timeout=N` in a `Keep-Alive` header.
auto parse_keep_alive_timeout(const std::string& value)
    -> std::optional<duration> {
  const auto at = value.find("timeout=");
  if (at == std::string::npos) return std::nullopt;
  const auto text = value.substr(at + 8);
  const auto end = text.find_first_not_of("0123456789");
  const auto count = parse_unsigned(text.substr(0, end));
  if (!count) return std::nullopt;
  return seconds(static_cast<double>(*count));
}

}  // namespace

auto to_string(backend_outcome x) -> std::string {
  switch (x) {
    case backend_outcome::answered:
      return "answered";
    case backend_outcome::unreachable:
      return "unreachable";
    case backend_outcome::timed_out:
      return "late";
    case backend_outcome::failed:
      break;
  }
  return "broken";
}

/// A request in progress and its connection.
class backend_client::pending_request
    : public std::enable_shared_from_this<backend_client::pending_request> {
 public:
  pending_request(backend_client& owner, backend_request request,
                  response_handler done, std::uint64_t number)
      : owner_{owner},
        request_{std::move(request)},
        on_done_{std::move(done)},
        timer_{owner.loop_},
        number_{number} {
    ++owner_.active_requests_;
  }

  [[nodiscard]] auto number() const -> std::uint64_t { return number_; }
  [[nodiscard]] auto echo_value() const -> const std::string& {
    return request_.echo_value;
  }

  void run(std::unique_ptr<tcp::socket> idle) {
    if (is_finished_) return;
    start_timer(request_.timeout, backend_outcome::timed_out);
    if (idle) {
      socket_.emplace(std::move(*idle));
      send();
    } else {
      connect();
    }
  }

  void cancel() {
    on_done_ = {};
    finish(backend_outcome::failed, "abandoned");
  }

 private:
  /// Replaces the timer in force. After a pause of the process, the wait of the
  /// replaced timer may be over already and its handler queued, so that it can
  /// no longer be cancelled.
  void start_timer(duration limit, backend_outcome reason) {
    timer_.expires_after(to_chrono(std::max(limit, milliseconds(1))));
    timer_.async_wait([self = shared_from_this(), reason,
                       generation = ++timer_generation_](error_code error) {
      if (error || generation != self->timer_generation_) return;
      self->on_timer(reason);
    });
  }

  void on_timer(backend_outcome reason) {
    if (!awaits_reset_) return finish(reason, "timed out");
    // After a pause of the process, a reset may not have been noticed yet.
    if (has_socket_error(*socket_)) is_connection_broken_ = true;
    complete_at_end_of_stream();
  }

  void connect() {
    const auto to = parse_endpoint(owner_.address_);
    if (!to) return finish(backend_outcome::unreachable, "invalid address");
    ++owner_.opened_connections_;
    socket_.emplace(owner_.loop_);
    start_timer(std::min(connect_timeout, request_.timeout),
                backend_outcome::unreachable);
    socket_->async_connect(*to, [self = shared_from_this()](error_code error) {
      if (self->is_finished_) return;
      if (error)
        return self->finish(backend_outcome::unreachable, error.message());
      disable_nagle(*self->socket_);
      self->start_timer(self->request_.timeout, backend_outcome::timed_out);
      self->send();
    });
  }

  void send() {
    message_.version(11);
    message_.method_string(request_.method);
    message_.target(request_.target);
    for (const auto& [name, value] : request_.headers) {
      message_.insert(name, value);
    }
    const auto has_body = !request_.body.empty() || request_.method == "POST" ||
                          request_.method == "PUT" ||
                          request_.method == "PATCH";
    message_.body() = std::move(request_.body);
    if (has_body) message_.content_length(message_.body().size());
    read();
    http::async_write(
        *socket_, message_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!self->is_finished_) self->on_request_written(error);
        });
  }

  /// A response may arrive before the server has read the body. That response
  /// is valid, but the connection is not reused.
  void on_request_written(error_code error) {
    is_request_written_ = !error;
    is_connection_broken_ = static_cast<bool>(error);
    if (awaits_reset_) complete_at_end_of_stream();
  }

  void read() {
    parser_.emplace(max_header_bytes, request_.method == "HEAD");
    parse();
  }

  /// Parses the bytes in the buffer and reads more until the response is
  /// complete. Bytes are counted as they are read from the socket: the parser
  /// does not report the bytes of an incomplete chunk head.
  void parse() {
    if (buffer_.size() > 0) {
      const auto error = parser_->parse(buffer_);
      if (error) return finish(backend_outcome::failed, error.message());
      if (parser_->is_done()) return handle_response();
    }
    if (buffer_.size() + read_bytes_ > max_unparsed_bytes)
      return finish(backend_outcome::failed, "response too long");
    socket_->async_read_some(
        buffer_.prepare(read_bytes_),
        [self = shared_from_this()](error_code read_error, std::size_t size) {
          if (self->is_finished_) return;
          self->on_read(read_error, size);
        });
  }

  void on_read(error_code error, std::size_t size) {
    if (error == asio::error::eof) return on_end_of_stream();
    if (error) return finish(backend_outcome::failed, error.message());
    buffer_.commit(size);
    if (size == read_bytes_) {
      read_bytes_ = std::min(2 * read_bytes_, max_read_bytes);
    }
    received_bytes_ += size;
    owner_.received_bytes_ += size;
    if (exceeds_memory())
      return finish(backend_outcome::failed, "response too long");
    parse();
  }

  void on_end_of_stream() {
    const auto is_write_pending =
        !is_request_written_ && !is_connection_broken_;
    if (parser_->ends_with_connection() && is_write_pending) {
      awaits_reset_ = true;
      start_timer(reset_wait, backend_outcome::failed);
      return;
    }
    complete_at_end_of_stream();
  }

  /// Only a response without a length may end with the connection, and only if
  /// the server has not reset it. A failed write takes the error of the socket,
  /// so that reads return the end of the stream after a reset, too.
  void complete_at_end_of_stream() {
    has_stream_ended_ = true;
    if (is_connection_broken_)
      return finish(backend_outcome::failed, "connection reset");
    const auto error = parser_->parse_end();
    if (error) return finish(backend_outcome::failed, error.message());
    handle_response();
  }

  [[nodiscard]] auto exceeds_memory() const -> bool {
    return !may_receive_more(received_bytes_, owner_.received_bytes_,
                             owner_.active_requests_);
  }

  void handle_response() {
    auto message = parser_->release();
    const auto is_interim = message.result_int() < 200;
    const auto echo = std::string{message[request_.echo_header]};
    const auto foreign = !echo.empty() && echo != request_.echo_value;
    // A duplicate response to an earlier request may arrive first.
    if (is_interim || foreign) {
      if (++skipped_responses_ > max_skipped_responses)
        return finish(backend_outcome::failed, "responses without a request");
      // The event loop reports the end of the stream only once.
      if (has_stream_ended_)
        return finish(backend_outcome::failed, "end of stream");
      return read();
    }
    if (echo.empty())
      return finish(backend_outcome::failed, "response without a request id");
    response_.status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
      response_.headers.emplace_back(std::string{field.name_string()},
                                     std::string{field.value()});
    }
    response_.body = std::move(message.body());
    const auto is_refusal =
        message.result() == http::status::misdirected_request ||
        message.count(request_.refusal_header) > 0;
    const auto reusable = is_request_written_ && !is_refusal &&
                          message.keep_alive() && buffer_.size() == 0;
    if (reusable) {
      const auto idle = parse_keep_alive_timeout(
          std::string{message[http::field::keep_alive]});
      const auto usable_for =
          idle ? *idle * idle_timeout_share : default_idle_timeout;
      owner_.keep_idle_connection(
          {std::move(*socket_), steady_now() + usable_for, echo});
      socket_.reset();
    }
    finish(backend_outcome::answered, {});
  }

  void finish(backend_outcome how, std::string problem) {
    if (std::exchange(is_finished_, true)) return;
    timer_.cancel();
    --owner_.active_requests_;
    owner_.received_bytes_ -= received_bytes_;
    if (socket_) {
      auto ignored = error_code{};
      socket_->close(ignored);
    }
    response_.outcome = how;
    response_.error_message = std::move(problem);
    const auto done = std::exchange(on_done_, {});
    if (done) done(std::move(response_));
  }

  backend_client& owner_;
  backend_request request_;
  response_handler on_done_;
  asio::steady_timer timer_;
  std::uint64_t timer_generation_ = 0;
  std::uint64_t number_;
  std::optional<tcp::socket> socket_;
  http::request<http::string_body> message_;
  boost::beast::flat_buffer buffer_{max_unparsed_bytes};
  std::optional<response_parser> parser_;
  backend_response response_;
  std::size_t read_bytes_ = min_read_bytes;
  std::size_t received_bytes_ = 0;
  int skipped_responses_ = 0;
  bool is_request_written_ = false;
  bool is_connection_broken_ = false;
  /// True after the end of a response without a length, until the request has
  /// been written, the write has failed or no reset has followed.
  bool awaits_reset_ = false;
  bool has_stream_ended_ = false;
  bool is_finished_ = false;
};

backend_client::backend_client(event_loop& loop) : loop_{loop} {}

backend_client::~backend_client() = default;

void backend_client::set_address(const vm_address& address) {
  if (address == address_) return;
  address_ = address;
  idle_connections_.clear();
}

auto backend_client::send(backend_request request, response_handler done)
    -> std::uint64_t {
  auto x = std::make_shared<pending_request>(
      *this, std::move(request), std::move(done), ++last_request_number_);
  std::erase_if(pending_requests_, [](const auto& y) { return y.expired(); });
  pending_requests_.push_back(x);
  // Posted so that the handler runs after this function has returned.
  asio::post(loop_,
             [this, x] { x->run(take_idle_connection(x->echo_value())); });
  return last_request_number_;
}

void backend_client::cancel(std::uint64_t number) {
  for (const auto& y : pending_requests_) {
    const auto x = y.lock();
    if (x && x->number() == number) return x->cancel();
  }
}

void backend_client::probe(std::function<void(bool accepts)> done) {
  const auto to = parse_endpoint(address_);
  if (!to) {
    asio::post(loop_, [done = std::move(done)] { done(false); });
    return;
  }
  ++opened_connections_;
  auto socket = std::make_shared<tcp::socket>(loop_);
  auto timer = std::make_shared<asio::steady_timer>(loop_);
  timer->expires_after(to_chrono(connect_timeout));
  timer->async_wait([socket](error_code error) {
    auto ignored = error_code{};
    if (!error) socket->close(ignored);
  });
  socket->async_connect(
      *to, [socket, timer, done = std::move(done)](error_code error) {
        timer->cancel();
        done(!error);
      });
}

void backend_client::keep_idle_connection(idle_connection x) {
  idle_connections_.push_back(std::move(x));
}

auto backend_client::take_idle_connection(const std::string& echo)
    -> std::unique_ptr<tcp::socket> {
  const auto now = steady_now();
  for (auto i = idle_connections_.size(); i > 0; --i) {
    const auto at =
        idle_connections_.begin() + static_cast<std::ptrdiff_t>(i - 1);
    if (at->last_echo_value == echo) continue;
    auto x = std::move(*at);
    idle_connections_.erase(at);
    auto has_bytes = false;
    const auto closed = is_closed_by_peer(x.socket, has_bytes);
    // Bytes on an idle connection belong to no request.
    if (closed || has_bytes || now > x.expires_at) continue;
    return std::make_unique<tcp::socket>(std::move(x.socket));
  }
  return nullptr;
}

void backend_client::close_expired_connections(time_point now) {
  std::erase_if(idle_connections_, [&](idle_connection& x) {
    auto has_bytes = false;
    return now > x.expires_at || is_closed_by_peer(x.socket, has_bytes) ||
           has_bytes;
  });
}

}  // namespace figwind
