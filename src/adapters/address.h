// Addresses in the form that socket libraries take.

#pragma once

#include <string>

#include "figwind/ids.h"

namespace figwind {

/// Host and port of a `vm_address`.
struct host_port {
  std::string host;
  int port = 0;
};

/// Splits `address`; port 0 when it has none. The host of an IPv6 address comes
/// without its brackets.
auto split(const vm_address& address) -> host_port;

}  // namespace figwind
