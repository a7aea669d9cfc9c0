// Limit of the memory for responses that are being received. A faulty server
// may send bytes without end, on many connections at once.

#pragma once

#include <algorithm>
#include <cstddef>

namespace figwind {

/// Bytes up to which all responses are received.
constexpr auto max_response_bytes = std::size_t{32} << 20U;

/// True if a response of `own` bytes may grow while `count` responses that are
/// being received, this one included, hold `total` bytes. Beyond the limit only
/// those within an equal share of it go on, so that all together hold less than
/// twice the limit, and short responses do not suffer from endless ones.
inline auto may_receive_more(std::size_t own, std::size_t total,
                             std::size_t count) -> bool {
  const auto share = max_response_bytes / std::max(count, std::size_t{1});
  return total <= max_response_bytes || own <= share;
}

}  // namespace figwind
