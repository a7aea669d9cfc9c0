// HTTP requests of the command line to operator and call addresses.

#pragma once

#include <map>
#include <string>
#include <variant>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind::cli {

/// A request; `method` is GET or POST. Header values must not hold control
/// characters.
struct http_request {
  std::string method = "GET";
  vm_address address;
  std::string path;
  std::map<std::string, std::string> headers{};
  std::string body{};
  std::string content_type = "application/json";
};

/// A complete answer; header names are in lower case.
struct http_answer {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// Why there is no answer.
struct no_answer {
  /// False when the request certainly did not reach the address.
  bool may_have_arrived = false;
  std::string reason;
};

using http_result = std::variant<http_answer, no_answer>;

/// Sends `request` once, on a connection of its own. `timeout` bounds the wait
/// for a connection and for each part of the answer. Nothing is resent and no
/// redirect is followed.
auto send(const http_request& request, duration timeout) -> http_result;

}  // namespace figwind::cli
