// Invalid heads of responses (RFC 9112), for the tests of all that read
// responses.

#pragma once

#include <string>
#include <vector>

namespace figwind::test {

/// Status codes outside 100 to 599 (RFC 9110, section 15).
inline auto invalid_statuses() -> std::vector<std::string> {
  return {"000", "001", "099", "600", "999"};
}

}  // namespace figwind::test
