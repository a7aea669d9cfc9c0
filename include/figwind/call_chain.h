// Properties that the calls of one request share over its whole chain.

#pragma once

#include <cstdint>
#include <string_view>

#include "figwind/ids.h"

namespace figwind {

/// Inherited by each call from the run that makes it.
struct call_chain {
  /// Identity of the request at the start of the chain, equal at every hop.
  request_id root;
  /// Rank of that request's class; 0 is the most important.
  std::int32_t priority = 0;
  /// Number of hops above this call.
  std::int32_t depth = 0;
  /// Probability in [0, 1] that this call belongs to a retry of another run.
  double retry_probability = 0;

  friend auto operator==(const call_chain&, const call_chain&)
      -> bool = default;
};

template <class Inspector>
auto inspect(Inspector& f, call_chain& x) {
  return f(x.root, x.priority, x.depth, x.retry_probability);
}

/// Request id for the textual id `text` (128-bit XXH3).
auto hash_request_id(std::string_view text) -> request_id;

}  // namespace figwind
