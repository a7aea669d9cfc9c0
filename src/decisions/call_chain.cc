#include "figwind/call_chain.h"

#include <xxhash.h>

namespace figwind {

auto hash_request_id(std::string_view text) -> request_id {
  const auto hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

}  // namespace figwind
