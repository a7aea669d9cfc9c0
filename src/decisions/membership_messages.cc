#include "figwind/membership_messages.h"

#include "figwind/registry.h"

namespace figwind {

namespace {

/// Length prefixes of the strings and numeric fields of a record, in bytes.
constexpr std::size_t record_overhead_bytes = 32;

}  // namespace

auto to_string(server_state x) -> std::string {
  switch (x) {
    case server_state::starting:
      return "starting";
    case server_state::serving:
      return "serving";
    case server_state::draining:
      return "draining";
    case server_state::gone:
      return "gone";
  }
  return "invalid";
}

auto message_size(const server_record& x) -> std::size_t {
  return x.node.address.value.size() + x.service.value.size() +
         x.domain.value.size() + x.call_address.value.size() +
         record_overhead_bytes;
}

}  // namespace figwind
