// Messages between figwind's processes as bytes.

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "figwind/control_core.h"
#include "figwind/finding.h"
#include "figwind/ids.h"

namespace figwind {

/// Every message between processes.
using process_message = control_message;

/// A message with where it comes from.
struct envelope {
  vm_address sender;
  process_message message;
};

/// Longest message in bytes.
constexpr auto max_message_size = std::size_t{1} << 20U;

/// `x` as bytes, marked with the format version and the name of the cluster.
auto encode(const std::string& cluster, const envelope& x) -> std::vector<char>;

/// The reverse of `encode`. A message that is too long, damaged, of another
/// format version or of another cluster is refused with the reason.
auto decode_envelope(const std::string& cluster, const char* bytes,
                     std::size_t size) -> result<envelope>;

}  // namespace figwind
