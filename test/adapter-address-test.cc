#include "adapters/address.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace figwind;

// Guards against IPv6 hosts that socket libraries do not take, as they know no
// brackets.
TEST(address, splits_into_host_and_port) {
  struct example {
    std::string text;
    std::string host;
    int port;
  };
  const auto examples = std::vector<example>{{"10.0.0.1:80", "10.0.0.1", 80},
                                             {"[::1]:80", "::1", 80},
                                             {"10.0.0.1", "10.0.0.1", 0}};
  for (const auto& x : examples) {
    const auto got = split({x.text});
    EXPECT_EQ(got.host, x.host);
    EXPECT_EQ(got.port, x.port);
  }
}
