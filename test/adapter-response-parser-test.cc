#include "adapters/response_parser.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <string>
#include <vector>

#include "broken-heads.h"
#include "section.h"

using namespace figwind;
using figwind::test::broken_field_lines;
using figwind::test::invalid_statuses;
using figwind::test::section;

namespace {

constexpr auto max_header_bytes = std::uint32_t{4} << 10U;

/// A parser and the bytes that it gets, a few at a time.
class fed_parser {
 public:
  explicit fed_parser(bool is_to_head_request = false)
      : parser{max_header_bytes, is_to_head_request} {}

  /// Returns the first error, or none.
  auto feed(const std::string& bytes, std::size_t step)
      -> response_parser::error_code {
    for (auto at = std::size_t{0}; at < bytes.size(); at += step) {
      const auto part = bytes.substr(at, step);
      received.commit(boost::asio::buffer_copy(received.prepare(part.size()),
                                               boost::asio::buffer(part)));
      if (parser.is_done()) continue;
      if (const auto error = parser.parse(received)) return error;
    }
    return {};
  }

  response_parser parser;
  boost::beast::flat_buffer received;
};

/// Sizes of the parts in which bytes arrive.
constexpr auto steps = {1, 3, 7, 1000};

}  // namespace

// Guards against an invalid head that passes since its bytes arrive apart.
TEST(response_parser, refuses_invalid_heads_however_they_arrive) {
  for (const auto step : steps) {
    section("parts of " + std::to_string(step), [&] {
      for (const auto& status : invalid_statuses()) {
        section(status, [&] {
          auto x = fed_parser{};
          EXPECT_TRUE(
              x.feed("HTTP/1.1 " + status + " X\r\nA: 1\r\n\r\n", step));
        });
      }
      for (const auto& fields : broken_field_lines()) {
        section(fields.name, [&] {
          auto x = fed_parser{};
          EXPECT_TRUE(
              x.feed("HTTP/1.1 200 X\r\n" + fields.lines + "\r\n" + fields.body,
                     step));
        });
      }
    });
  }
}

// Guards against a valid response that is refused or changed.
TEST(response_parser, takes_valid_responses_however_they_arrive) {
  struct example {
    std::string name;
    std::string bytes;
    std::string body;
    bool ends_with_connection = false;
    bool is_to_head_request = false;
  };
  const auto examples = std::vector<example>{
      {"a length", "HTTP/1.1 200 X\r\nA: 1\r\nContent-Length: 5\r\n\r\nhello",
       "hello"},
      {"chunks",
       "HTTP/1.1 200 X\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello"
       "\r\n0\r\n\r\n",
       "hello"},
      {"chunks and a trailer",
       "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
       "A: 1\r\n\r\n",
       "hello"},
      {"no length", "HTTP/1.1 200 X\r\nA: 1\r\n\r\nhello", "hello", true},
      {"blanks around values and an empty value",
       "HTTP/1.1 599 X\r\nA: \t1 \t\r\nB:\r\nContent-Length:5\r\n\r\nhello",
       "hello"},
      {"no body", "HTTP/1.1 100 X\r\nA: 1\r\n\r\n", ""},
      {"a response to HEAD",
       "HTTP/1.1 200 X\r\nA: 1\r\nContent-Length: 5\r\n\r\n", "", false, true},
  };
  for (const auto step : steps) {
    for (const auto& x : examples) {
      section(x.name + ", parts of " + std::to_string(step), [&] {
        auto fed = fed_parser{x.is_to_head_request};
        EXPECT_FALSE(fed.feed(x.bytes, step));
        EXPECT_EQ(fed.parser.ends_with_connection(), x.ends_with_connection);
        EXPECT_EQ(fed.parser.is_done(), !x.ends_with_connection);
        if (x.ends_with_connection) {
          EXPECT_FALSE(fed.parser.parse_end());
        }
        EXPECT_EQ(fed.received.size(), 0U);
        const auto message = fed.parser.release();
        EXPECT_EQ(message["A"], "1");
        EXPECT_EQ(message.body(), x.body);
      });
    }
  }
}

// Guards against bytes behind a response that are lost or taken for a part of
// it, and against an end of the connection that completes one that broke off.
TEST(response_parser, ends_where_the_response_ends) {
  const auto whole =
      std::string{"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nhello"};
  section("bytes behind it stay", [&] {
    auto x = fed_parser{};
    EXPECT_FALSE(x.feed(whole + "rest", 1000));
    EXPECT_TRUE(x.parser.is_done());
    EXPECT_EQ(x.received.size(), 4U);
  });
  section("the end of the connection completes no part of it", [&] {
    for (auto size = std::size_t{0}; size < whole.size(); ++size) {
      auto x = fed_parser{};
      EXPECT_FALSE(x.feed(whole.substr(0, size), 1000));
      EXPECT_TRUE(x.parser.parse_end()) << size;
    }
  });
}
