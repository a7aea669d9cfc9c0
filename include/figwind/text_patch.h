// Differences between two texts: zstd frames (RFC 8878) that refer to the old
// text as a prefix. A patch from an empty text is the compressed text.

#pragma once

#include <cstddef>
#include <string>

#include "figwind/finding.h"

namespace figwind {

/// Returns the bytes from which `apply_patch` restores `text`, given `base`.
auto make_patch(const std::string& base, const std::string& text)
    -> std::string;

/// Restores the text. Fails if `patch` is damaged or was made from another base
/// than `base`, or if the text is longer than `max_size` bytes.
auto apply_patch(const std::string& base, const std::string& patch,
                 std::size_t max_size) -> result<std::string>;

}  // namespace figwind
