#include "adapters/call_headers.h"

#include <gtest/gtest.h>

#include "section.h"

using namespace figwind;
using figwind::test::section;

// Guards against a context that changes on its way and against malformed ones
// that are taken for a context.
TEST(call_headers, carry_the_whole_context) {
  auto sent = call_context{
      {7, 0xfedcba9876543210U}, {"loan-confirmation"},   2, 3, {412.5}, 4,
      {"ro-centru-a"},          {"ro-centru-a.18c.x\"y"}};
  section("given a context", [&] {
    auto text = to_header(sent);
    section("it is read as it was written",
            [&] { EXPECT_EQ(parse_context(text), sent); });
  });
  section("given malformed texts, each is refused", [&] {
    auto huge = std::string(5000, '[');
    auto deep = sent;
    deep.depth = 65;
    for (const auto& text :
         {std::string{}, std::string{"[]"}, std::string{"{\"a\":1}"},
          std::string{"[1,2,3,4,5,6,7,8]"}, huge, to_header(deep)}) {
      EXPECT_FALSE(parse_context(text)) << text.substr(0, 40);
    }
  });
  section("given request ids", [] {
    EXPECT_EQ(parse_request_id(to_string(request_id{1, 2})),
              (request_id{1, 2}));
    EXPECT_FALSE(parse_request_id("12"));
    EXPECT_FALSE(parse_request_id(std::string(32, 'g')));
  });
}
