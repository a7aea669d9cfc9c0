// A backend server of a soak: it announces itself, runs requests, makes calls
// of its own through the node beside it, and fails in the ways of the pages.

#pragma once

#include <xxhash.h>

#include <map>
#include <memory>
#include <set>
#include <string>

#include "figwind/random.h"
#include "soak-fleet.h"
#include "soak-http.h"
#include "soak-promises.h"

namespace figwind::soak {

/// Faults of one backend server; each is a probability.
struct backend_faults {
  /// The answer is lost after the run.
  double lost = 0;
  /// The request is refused before it runs.
  double refused = 0;
  /// The answer breaks off in its body or its head.
  double torn = 0;
  /// The server sends a second answer after the first.
  double doubled = 0;
  /// The server repeats its last answer before the next one on a connection. A
  /// refusal is repeated with the id of the request that runs.
  double repeated = 0;
  /// The server never answers, nor anything further on the connection, as when
  /// it is full.
  double silent = 0;
};

class backend {
 public:
  backend(event_loop& loop, promises& seen, const system_process& node,
          random_source random, std::string calls)
      : loop_{loop},
        seen_{seen},
        node_{node},
        random_{random},
        calls_{std::move(calls)} {}

  backend_faults faults;
  duration work = milliseconds(10);
  /// Called for a request that crashes this server.
  std::function<void()> on_poison;

  void start() {
    name_ = "i-" + node_.ip + "-" + std::to_string(++life_);
    sequence_ = 0;
    born_ms_ = static_cast<std::uint64_t>(wall_now().ms);
    draining_ = false;
    acceptor_.emplace(
        loop_, *parse_endpoint(address_at(node_.ip, backend_port)), true);
    accept();
    announce();
  }

  /// Ends without a word.
  void crash() {
    acceptor_.reset();
    for (const auto& x : sessions_) {
      if (const auto s = x.lock()) s->close();
    }
    sessions_.clear();
  }

  /// Announces that it leaves, serves a little longer, and goes.
  void drain() {
    draining_ = true;
    announce();
  }

  [[nodiscard]] auto runs() const -> bool { return acceptor_.has_value(); }

  /// To be called every 500 ms: the usual announcement.
  void announce() {
    if (!acceptor_) return;
    const auto body =
        R"({"service":")" + node_.service + R"(","address":")" + node_.ip +
        ":" + std::to_string(backend_port) + R"(","zone":")" + node_.zone +
        R"(","version":"v1","slots":40,"state":")" +
        (draining_ ? "draining" : "ready") +
        R"(","cold-left":"0ms","sequence":)" + std::to_string(++sequence_) +
        R"(,"born":)" + std::to_string(born_ms_) + "}";
    call_once(loop_, address_at(node_.ip, control_port),
              make_request(http::verb::put, "/v1/instances/" + name_, body),
              seconds(1),
              [this, name = name_, was_draining = draining_](const auto& end) {
                const auto ok = end.answer && end.answer->result_int() == 200;
                if (!ok || !was_draining || name != name_) return;
                seen_.leaving(name);
                leave_later(name);
              });
  }

 private:
  struct session : std::enable_shared_from_this<session> {
    session(backend& owner, tcp::socket socket)
        : owner{owner}, socket{std::move(socket)}, timer{owner.loop_} {}

    void close() {
      auto ignored = error_code{};
      timer.cancel();
      socket.close(ignored);
    }

    backend& owner;
    tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::string output;
    /// The last answer on the connection.
    std::string last_output;
    bool last_refused = false;
  };
  using session_ptr = std::shared_ptr<session>;

  void accept() {
    acceptor_->async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      auto x = std::make_shared<session>(*this, std::move(socket));
      std::erase_if(sessions_, [](const auto& y) { return y.expired(); });
      sessions_.push_back(x);
      read(x);
      accept();
    });
  }

  void read(const session_ptr& x) {
    x->parser.emplace();
    http::async_read(x->socket, x->buffer, *x->parser,
                     [this, x](error_code error, std::size_t) {
                       if (!error) take(x, x->parser->release());
                     });
  }

  void take(const session_ptr& x, const request& asked) {
    const auto id = std::string{asked["X-Attempt-Id"]};
    const auto target = std::string{asked["X-Target-Instance"]};
    if (!target.empty() && target != name_) {
      return send(x, id, 421, {}, "", true);
    }
    const auto repeat = seen_.arrived(id, node_.service);
    if (random_.chance(faults.refused)) return send(x, id, 503, {}, "", true);
    if (random_.chance(faults.silent)) return;
    seen_.ran({id,
               name_,
               node_.service,
               {std::string{asked.method_string()}, std::string{asked.target()},
                asked.body(), std::string{asked["X-Caller-Service"]}, false}});
    if (promises::is_poison(std::string{asked.target()})) return on_poison();
    x->timer.expires_after(to_chrono(work * (0.5 + random_.uniform())));
    x->timer.async_wait([this, x, id, repeat, name = name_](error_code error) {
      if (error || name != name_) return;
      if (calls_.empty()) return finish(x, id, true);
      call_service(x, id, repeat);
    });
  }

  /// Calls the next service through the node beside this server.
  void call_service(const session_ptr& x, const std::string& id, bool repeat) {
    const auto call = id + "." + std::to_string(++calls_made_);
    seen_.sent(call, {"GET", calls_, "", node_.service, true, repeat});
    auto asked = make_call(http::verb::get, calls_, call, seconds(1.5));
    call_once(loop_, address_at(node_.ip, call_port), std::move(asked),
              seconds(2), [this, x, id, call](const exchange_end& end) {
                const auto status = end.answer ? end.answer->result_int() : 0U;
                if (end.answer) {
                  seen_.answered(
                      call, static_cast<int>(status),
                      std::string{(*end.answer)["X-Response-Signature"]},
                      end.answer->body());
                }
                finish(x, id, status == 200);
              });
  }

  void finish(const session_ptr& x, const std::string& id, bool ok) {
    const auto body = "answer to " + id + " from " + name_ +
                      std::string(random_.index(400), '.');
    const auto hash = XXH3_64bits(body.data(), body.size());
    const auto signature = std::to_string(hash);
    if (random_.chance(faults.lost)) return x->close();
    if (ok) seen_.made(id, signature, body);
    send(x, id, ok ? 200 : 500, signature, ok ? body : "failed", false);
  }

  void send(const session_ptr& x, const std::string& id, int status,
            const std::string& signature, const std::string& body,
            bool not_run) {
    auto& out = x->output;
    out = "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Attempt-Id: " + id +
          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (not_run) out += "X-Not-Executed: 1\r\n";
    if (!signature.empty())
      out += "X-Response-Signature: " + signature + "\r\n";
    out += "\r\n" + body;
    const auto answer = out;
    const auto torn = body.size() > 10 && random_.chance(faults.torn);
    if (torn) out.resize(random_.index(out.size() - 5));
    // Bytes after a torn answer would look like the rest of it.
    if (!torn && random_.chance(faults.doubled)) out += out;
    if (!not_run && random_.chance(faults.repeated)) {
      out = (x->last_refused ? refusal(id) : x->last_output) + out;
    }
    x->last_output = answer;
    x->last_refused = not_run;
    asio::async_write(x->socket, asio::buffer(out),
                      [this, x, torn](error_code error, std::size_t) {
                        if (torn) return x->close();
                        if (!error) read(x);
                      });
  }

  static auto refusal(const std::string& id) -> std::string {
    return "HTTP/1.1 503 X\r\nX-Attempt-Id: " + id +
           "\r\nContent-Length: 0\r\nX-Not-Executed: 1\r\n\r\n";
  }

  void leave_later(const std::string& name) {
    auto timer = std::make_shared<asio::steady_timer>(loop_);
    timer->expires_after(std::chrono::milliseconds{2600});
    timer->async_wait([this, timer, name](error_code error) {
      if (error || name != name_ || !acceptor_) return;
      call_once(loop_, address_at(node_.ip, control_port),
                make_request(http::verb::delete_, "/v1/instances/" + name),
                seconds(1), [](const auto&) {});
      crash();
    });
  }

  event_loop& loop_;
  promises& seen_;
  const system_process& node_;
  random_source random_;
  /// Path that each run calls; empty for none.
  std::string calls_;
  std::string name_;
  int life_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t born_ms_ = 0;
  std::uint64_t calls_made_ = 0;
  bool draining_ = false;
  std::optional<tcp::acceptor> acceptor_;
  std::vector<std::weak_ptr<session>> sessions_;
};

}  // namespace figwind::soak
