#include "adapters/http_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <optional>
#include <set>
#include <utility>

namespace figwind {
namespace {

namespace http = boost::beast::http;
using error_code = boost::system::error_code;

// Received bytes beyond a head that are not parsed yet, such as the extension
// of a chunk.
constexpr auto max_unparsed_bytes = std::size_t{128} << 10U;
// Longest time to receive a body; after it the caller counts as lost.
constexpr auto body_timeout = seconds(10);
// Longest time to discard the rest of a refused request, so that its sender can
// read the response before the connection is closed.
constexpr auto discard_timeout = seconds(2);
// Longest time to send a response, as callers may read slowly; after it the
// connection is closed.
constexpr auto write_timeout = seconds(15);

auto lower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// Status for input that fails to parse as a request.
auto status_of_parse_error(const error_code& error) -> int {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

/// Lower-case header names that the `Connection` headers list.
auto connection_options(const header_list& all) -> std::set<std::string> {
  auto out = std::set<std::string>{};
  for (const auto& [name, value] : all) {
    if (!is_same_header_name(name, "connection")) continue;
    for (const auto& token : http::token_list{value}) {
      out.insert(lower(std::string{token}));
    }
  }
  return out;
}

/// True if the request has one `Host` and an unambiguous body length. Other
/// requests could smuggle a second request.
template <class Header>
auto is_well_framed(const Header& x) -> bool {
  if (x.count(http::field::host) != 1) return false;
  if (x.count(http::field::content_length) > 1) return false;
  const auto codings = x.count(http::field::transfer_encoding);
  if (codings == 0) return true;
  const auto coding = lower(std::string{x[http::field::transfer_encoding]});
  return codings == 1 && coding == "chunked" &&
         x.count(http::field::content_length) == 0;
}

}  // namespace

auto is_same_header_name(const std::string& a, const std::string& b) -> bool {
  return boost::beast::iequals(a, b);
}

auto http_request::header(const std::string& name) const -> std::string {
  for (const auto& [key, value] : headers) {
    if (is_same_header_name(key, name)) return value;
  }
  return {};
}

auto remove_hop_by_hop_headers(const header_list& all) -> header_list {
  static constexpr auto dropped = std::array{"connection",
                                             "keep-alive",
                                             "proxy-connection",
                                             "te",
                                             "trailer",
                                             "transfer-encoding",
                                             "upgrade",
                                             "proxy-authenticate",
                                             "proxy-authorization",
                                             "expect",
                                             "content-length"};
  const auto named = connection_options(all);
  auto out = header_list{};
  for (const auto& x : all) {
    const auto name = lower(x.first);
    const auto drop =
        std::find(dropped.begin(), dropped.end(), name) != dropped.end();
    if (!drop && named.count(name) == 0) out.push_back(x);
  }
  return out;
}

/// A connection of a caller, and the exchange of its request in progress.
class http_server::session : public http_exchange,
                             public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, std::shared_ptr<http_server_state> state)
      : socket_{std::move(socket)},
        timer_{socket_.get_executor()},
        state_{std::move(state)} {
    ++state_->open_connections;
    disable_nagle(socket_);
  }
  ~session() override {
    if (has_pending_request_) --state_->pending_requests;
    --state_->open_connections;
  }
  session(const session&) = delete;
  auto operator=(const session&) -> session& = delete;
  session(session&&) = delete;
  auto operator=(session&&) -> session& = delete;

  void run() { wait_for_request(); }

  /// Closes the connection unless a request is in progress or has arrived.
  void close_if_idle() {
    auto error = error_code{};
    if (is_idle_ && socket_.available(error) == 0) close();
  }

  void respond(http_server_response x) override {
    if (!has_pending_request_ || is_response_started_) return;
    is_response_started_ = true;
    disconnect_handler_ = {};
    // Also stops watching for a disconnect.
    cancel_operations();
    write(std::move(x));
  }

  void on_disconnect(std::function<void()> handler) override {
    disconnect_handler_ = std::move(handler);
    if (std::exchange(watches_for_disconnect_, true)) return;
    watch_for_disconnect();
  }

 private:
  using parser = http::request_parser<http::string_body>;

  static constexpr auto discard_size = std::size_t{16} << 10U;

  void start_timer(duration limit) {
    timer_.expires_after(to_chrono(limit));
    timer_.async_wait([self = shared_from_this(),
                       turn = ++timer_generation_](error_code error) {
      if (!error && turn == self->timer_generation_) self->on_timeout();
    });
  }

  void stop_timer() {
    ++timer_generation_;
    timer_.cancel();
  }

  void on_timeout() {
    if (reading_header_ && !is_idle_) {
      refuse(408);
      return;
    }
    close();
  }

  void wait_for_request() {
    if (buffer_.size() > 0) {
      read_header();
      return;
    }
    if (state_->disables_keep_alive && responses_sent_ > 0) {
      close();
      return;
    }
    is_idle_ = true;
    start_timer(state_->limits.idle_timeout);
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](error_code error) {
                         self->is_idle_ = false;
                         if (error) return self->close();
                         self->read_header();
                       });
  }

  void read_header() {
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(state_->limits.header_bytes));
    parser_->body_limit(state_->limits.body_bytes);
    buffer_.max_size(state_->limits.header_bytes + max_unparsed_bytes);
    reading_header_ = true;
    start_timer(state_->limits.header_timeout);
    http::async_read_header(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!self->reading_header_) return;
          self->reading_header_ = false;
          if (error) return self->read_failed(error);
          self->read_body();
        });
  }

  void read_body() {
    const auto& head = parser_->get();
    if (!is_well_framed(head)) return refuse(400);
    if (parser_->is_done()) return dispatch_request();
    start_timer(body_timeout);
    if (boost::beast::iequals(head[http::field::expect], "100-continue")) {
      static const auto continue_response =
          std::string{"HTTP/1.1 100 Continue\r\n\r\n"};
      asio::async_write(
          socket_, asio::buffer(continue_response),
          [self = shared_from_this()](error_code error, std::size_t) {
            if (error) return self->close();
            self->read_remaining_body();
          });
      return;
    }
    read_remaining_body();
  }

  void read_remaining_body() {
    http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error) return self->read_failed(error);
          self->dispatch_request();
        });
  }

  void read_failed(const error_code& error) {
    const auto ours = error.category() ==
                      http::make_error_code(http::error::bad_method).category();
    const auto ended = error == http::error::end_of_stream ||
                       error == http::error::partial_message;
    if (!ours || ended) return close();
    refuse(status_of_parse_error(error));
  }

  /// Responds with an error to input that must not reach the handler, then
  /// closes the connection.
  void refuse(int status) {
    reading_header_ = false;
    cancel_operations();
    auto x = http_server_response{status, {}, {}, true};
    if (status == 413) {
      discards_input_ = true;
      x.body = "the request body is longer than " +
               std::to_string(state_->limits.body_bytes) + " bytes\n";
    }
    if (status == 408) x.headers.emplace_back("Retry-After", "0");
    write(std::move(x));
  }

  void dispatch_request() {
    stop_timer();
    auto message = parser_->release();
    auto x = http_request{};
    x.method = std::string{message.method_string()};
    x.target = std::string{message.target()};
    x.host = std::string{message[http::field::host]};
    for (const auto& field : message) {
      x.headers.emplace_back(std::string{field.name_string()},
                             std::string{field.value()});
    }
    x.body = std::move(message.body());
    keep_alive_ = message.keep_alive();
    is_head_request_ = message.method() == http::verb::head;
    has_pending_request_ = true;
    is_response_started_ = false;
    watches_for_disconnect_ = false;
    ++state_->pending_requests;
    state_->handler(std::move(x), shared_from_this());
  }

  void watch_for_disconnect() {
    // With bytes of a pipelined request in the buffer, a disconnect cannot be
    // detected.
    if (buffer_.size() > 0) return;
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), turn = responses_sent_](error_code error) {
          if (!self->has_pending_request_ || self->is_response_started_ ||
              turn != self->responses_sent_)
            return;
          auto has_bytes = false;
          if (!error && !is_closed_by_peer(self->socket_, has_bytes)) return;
          if (has_bytes) return;
          self->handle_disconnect();
        });
  }

  void handle_disconnect() {
    const auto handler = std::exchange(disconnect_handler_, {});
    is_response_started_ = true;
    close();
    if (handler) handler();
  }

  void cancel_operations() {
    auto ignored = error_code{};
    socket_.cancel(ignored);
    stop_timer();
  }

  void write(http_server_response x) {
    response_.emplace();
    auto& out = *response_;
    out.version(11);
    out.result(static_cast<unsigned>(x.status));
    for (const auto& [name, value] : x.headers) out.insert(name, value);
    out.keep_alive(keep_alive_ && !x.close_connection &&
                   !state_->disables_keep_alive);
    closes_after_response_ = !out.keep_alive();
    const auto has_body = x.status != 204 && x.status != 304;
    if (has_body) out.content_length(x.body.size());
    if (has_body && !is_head_request_) out.body() = std::move(x.body);
    start_timer(write_timeout);
    http::async_write(
        socket_, out,
        [self = shared_from_this()](error_code error, std::size_t) {
          self->on_response_written(error);
        });
  }

  void on_response_written(const error_code& error) {
    stop_timer();
    response_.reset();
    if (std::exchange(has_pending_request_, false)) --state_->pending_requests;
    ++responses_sent_;
    if (!error && std::exchange(discards_input_, false)) return discard_input();
    if (error || closes_after_response_) return close();
    wait_for_request();
  }

  void discard_input() {
    auto ignored = error_code{};
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    start_timer(discard_timeout);
    discard_next();
  }

  void discard_next() {
    buffer_.clear();
    socket_.async_read_some(
        buffer_.prepare(discard_size),
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error) return self->close();
          self->discard_next();
        });
  }

  void close() {
    stop_timer();
    auto ignored = error_code{};
    // A close with unread bytes resets the connection, and the caller may lose
    // the last response; so read them first.
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    auto rest = std::array<char, 4096>{};
    socket_.non_blocking(true, ignored);
    for (auto i = 0; i < 16; ++i) {
      auto error = error_code{};
      if (socket_.read_some(asio::buffer(rest), error) == 0) break;
    }
    socket_.close(ignored);
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<http_server_state> state_;
  boost::beast::flat_buffer buffer_;
  std::optional<parser> parser_;
  std::optional<http::response<http::string_body>> response_;
  std::function<void()> disconnect_handler_;
  std::uint64_t timer_generation_ = 0;
  std::uint64_t responses_sent_ = 0;
  bool is_idle_ = false;
  bool reading_header_ = false;
  bool has_pending_request_ = false;
  bool is_response_started_ = false;
  bool watches_for_disconnect_ = false;
  bool keep_alive_ = false;
  bool is_head_request_ = false;
  bool closes_after_response_ = false;
  bool discards_input_ = false;
};

http_server::http_server(event_loop& loop, const tcp::endpoint& at,
                         http_handler handler)
    : acceptor_{loop, at, true}, state_{std::make_shared<http_server_state>()} {
  state_->handler = std::move(handler);
  accept();
}

http_server::~http_server() = default;

void http_server::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) serve(std::move(socket));
    accept();
  });
}

void http_server::serve(tcp::socket socket) {
  auto x = std::make_shared<session>(std::move(socket), state_);
  if (sessions_.size() > 2 * state_->open_connections + 16) {
    std::erase_if(sessions_, [](const auto& y) { return y.expired(); });
  }
  sessions_.push_back(x);
  x->run();
}

/// Takes the connections that callers have opened already, since closing the
/// acceptor would reset them together with the requests that they carry.
void http_server::accept_waiting() {
  auto error = error_code{};
  acceptor_.non_blocking(true, error);
  while (!error) {
    auto socket = tcp::socket{acceptor_.get_executor()};
    acceptor_.accept(socket, error);
    if (!error) serve(std::move(socket));
  }
}

auto http_server::shutdown() -> bool {
  if (acceptor_.is_open()) {
    accept_waiting();
    auto ignored = error_code{};
    acceptor_.close(ignored);
  }
  for (const auto& x : sessions_) {
    if (const auto s = x.lock()) s->close_if_idle();
  }
  return state_->open_connections == 0;
}

}  // namespace figwind
