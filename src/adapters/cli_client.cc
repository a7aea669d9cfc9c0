#include "adapters/cli_client.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "adapters/http_client.h"
#include "figwind/parse.h"

namespace figwind::cli {
namespace {

auto to_lower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

auto to_answer(http_response from) -> http_answer {
  auto x = http_answer{from.status, std::move(from.body), {}};
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
  auto message = http_client::request{
      request.method, request.path, {{"Connection", "close"}}, request.body};
  for (const auto& [name, text] : request.headers) {
    message.headers.emplace(name, text);
  }
  if (request.method == "POST") {
    message.headers.emplace("Content-Type", request.content_type);
  }
  auto got = http_client::send_once(request.address, message, timeout);
  switch (got.result) {
    case figwind::http_result::answered:
      return to_answer(std::move(got));
    case figwind::http_result::not_sent:
      return no_answer{false, "no connection"};
    case figwind::http_result::timed_out:
      return no_answer{true, "the answer was lost (timeout)"};
    case figwind::http_result::broken:
      break;
  }
  return no_answer{true, "the answer was lost (broken or invalid)"};
}

}  // namespace figwind::cli
