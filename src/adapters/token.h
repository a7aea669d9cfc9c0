// The token that guards changes by operators.

#pragma once

#include <string>

#include "figwind/finding.h"

namespace figwind {

/// Reads the first line of a token file. A file that others than its owner can
/// read or write, an empty token, one above 512 bytes and one with spaces or
/// signs outside printable ASCII are refused.
auto read_token(const std::string& path) -> result<std::string>;

/// True when `header` is `Bearer TOKEN` with the expected token. Takes the same
/// time wherever the two differ. An empty expected token matches nothing.
auto is_authorized(const std::string& expected, const std::string& header)
    -> bool;

}  // namespace figwind
