#include "adapters/cli_client.h"

#include <httplib.h>

#include <algorithm>
#include <cctype>
#include <chrono>

#include "figwind/parse.h"

namespace figwind::cli {
namespace {

constexpr auto max_answer_bytes = std::size_t{64} << 20U;

// The URL form is used because it alone takes IPv6 numbers in brackets.
auto make_client(const vm_address& address, duration timeout)
    -> std::unique_ptr<httplib::Client> {
  auto client = std::make_unique<httplib::Client>("http://" + address.value);
  using ms = std::chrono::duration<double, std::milli>;
  auto wait =
      std::chrono::duration_cast<std::chrono::microseconds>(ms{timeout.ms});
  client->set_connection_timeout(wait);
  client->set_read_timeout(wait);
  client->set_write_timeout(wait);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(false);
  client->set_follow_location(false);
  return client;
}

auto to_lower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

auto to_answer(const httplib::Response& from, std::string body) -> http_answer {
  auto x = http_answer{from.status, std::move(body), {}};
  for (const auto& [name, text] : from.headers) {
    x.headers[to_lower(name)] = text;
  }
  return x;
}

}  // namespace

auto send(const http_request& request, duration timeout) -> http_result {
  if (!parse_address(request.address.value)) {
    return no_answer{false, "is not an IP number and a port"};
  }
  auto headers = httplib::Headers{};
  for (const auto& [name, text] : request.headers) {
    headers.emplace(name, text);
  }
  auto client = make_client(request.address, timeout);
  auto message = httplib::Request{};
  message.method = request.method;
  message.path = request.path;
  message.headers = headers;
  message.body = request.body;
  if (request.method == "POST") {
    message.set_header("Content-Type", request.content_type);
  }
  auto body = std::string{};
  message.content_receiver = [&body](const char* bytes, std::size_t size,
                                     std::uint64_t, std::uint64_t) {
    if (body.size() + size > max_answer_bytes) return false;
    body.append(bytes, size);
    return true;
  };
  auto got = client->send(message);
  if (got) return to_answer(*got, std::move(body));
  auto error = got.error();
  auto connected = error != httplib::Error::Connection &&
                   error != httplib::Error::ConnectionTimeout;
  auto reason = connected ? "the answer was lost (" + to_string(error) + ")"
                          : std::string{"no connection"};
  return no_answer{connected, reason};
}

}  // namespace figwind::cli
