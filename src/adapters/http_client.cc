#include "adapters/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "adapters/address.h"
#include "adapters/call_headers.h"
#include "adapters/clock.h"

namespace figwind {
namespace {

// Data that stays unacknowledged this long breaks the connection, so that a
// path that drops packets silently is found without an answer's time-out.
constexpr auto unacknowledged_limit_ms = 2000U;
constexpr auto connect_timeout = std::chrono::milliseconds{500};

void set_options(socket_t socket) {
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_limit_ms,
             sizeof unacknowledged_limit_ms);
}

auto open(const vm_address& to) -> std::unique_ptr<httplib::Client> {
  auto at = split(to);
  auto made = std::make_unique<httplib::Client>(at.host, at.port);
  made->set_keep_alive(true);
  made->set_tcp_nodelay(true);
  made->set_connection_timeout(connect_timeout);
  made->set_socket_options(set_options);
  return made;
}

auto failure(httplib::Error error, bool late) -> http_result {
  if (error == httplib::Error::Connection ||
      error == httplib::Error::ConnectionTimeout) {
    return http_result::not_sent;
  }
  return late ? http_result::timed_out : http_result::broken;
}

}  // namespace

auto http_client::take(const vm_address& to) -> connection {
  {
    auto lock = std::lock_guard{mutex_};
    auto& idle = idle_[to];
    if (!idle.empty()) {
      auto used = std::move(idle.back());
      idle.pop_back();
      return used;
    }
  }
  return open(to);
}

void http_client::give_back(const vm_address& to, connection used) {
  auto lock = std::lock_guard{mutex_};
  auto& idle = idle_[to];
  if (idle.size() < max_idle_) idle.push_back(std::move(used));
}

template <class Send, class Keep>
auto http_client::exchange(const vm_address& to, duration timeout, Send send,
                           Keep may_keep) -> http_response {
  auto used = take(to);
  auto wait = std::max(timeout.ms, 1.0);
  used->set_read_timeout(std::chrono::microseconds{
      static_cast<std::chrono::microseconds::rep>(wait * 1000)});
  auto start = steady_now();
  auto got = send(*used);
  if (!got) {
    auto late = steady_now() - start >= timeout;
    return http_response{failure(got.error(), late), 0, {}, {}};
  }
  auto response = http_response{http_result::answered, got->status,
                                got->headers, std::move(got->body)};
  if (may_keep(response)) give_back(to, std::move(used));
  return response;
}

auto http_client::post(const vm_address& to, const std::string& path,
                       const httplib::Headers& headers, const std::string& body,
                       duration timeout) -> http_response {
  return exchange(
      to, timeout,
      [&](httplib::Client& c) {
        return c.Post(path, headers, body, "application/octet-stream");
      },
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
  auto response = exchange(
      to, timeout,
      [&](httplib::Client& c) {
        return c.Post(path, headers, body, "application/octet-stream");
      },
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
  auto probe = open(to);
  auto got = probe->Get("/healthz");
  return got || (got.error() != httplib::Error::Connection &&
                 got.error() != httplib::Error::ConnectionTimeout);
}

auto http_client::get(const vm_address& to, const std::string& path,
                      duration timeout) -> http_response {
  return exchange(
      to, timeout, [&](httplib::Client& c) { return c.Get(path); },
      [](const http_response&) { return true; });
}

}  // namespace figwind
