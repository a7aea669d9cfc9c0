// Binary encoding of messages between nodes and control members: frames of a
// byte stream, each with a length prefix, a format number and a message.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "figwind/finding.h"
#include "figwind/fleet_messages.h"

namespace figwind {

/// Longest frame in bytes; has room for the longest request body with headers.
constexpr auto max_frame_size = std::size_t{68} << 20U;
/// Length of the prefix in bytes. It holds the frame size in network order.
constexpr auto frame_prefix_size = std::size_t{4};

/// Encodes `x` as a frame with its length prefix.
auto encode_frame(const fleet_message& x) -> std::string;

/// Returns the size in bytes of the frame after the prefix `head`.
auto parse_frame_size(std::string_view head) -> std::size_t;

/// Decodes a frame without its prefix. Fails with "other format" for another
/// format number and with "malformed" for damaged bytes.
auto decode_frame(std::string_view bytes) -> result<fleet_message>;

}  // namespace figwind
