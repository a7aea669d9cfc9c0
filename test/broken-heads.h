// Invalid heads of responses (RFC 9112), for the tests of all that read
// responses.

#pragma once

#include <string>
#include <vector>

namespace figwind::test {

/// What a faulty server sends behind its valid field lines, or before them.
struct broken_fields {
  std::string name;
  /// Field lines, with their line ends.
  std::string lines;
  /// Bytes behind the head.
  std::string body;
};

/// Status codes outside 100 to 599 (RFC 9110, section 15).
inline auto invalid_statuses() -> std::vector<std::string> {
  return {"000", "001", "099", "600", "999"};
}

/// Field lines that must not be passed on, nor decide the length of the body.
inline auto broken_field_lines() -> std::vector<broken_fields> {
  using namespace std::string_literals;
  const auto length = "Content-Length: 5\r\n"s;
  const auto chunked = "Transfer-Encoding: chunked\r\n"s;
  const auto first_chunk = "5\r\nhello\r\n"s;
  return {
      {"a blank in a name", "X Trace: 1\r\n" + length, "hello"},
      {"a blank before the colon", "Content-Length : 5\r\n", "hello, world"},
      {"a tab before the colon", "Content-Length\t: 5\r\n", "hello, world"},
      {"a blank before the name", "X-Trace: 1\r\n " + length, "hello, world"},
      {"a tab before the name", "X-Trace: 1\r\n\t" + length, "hello, world"},
      {"a blank before the name, behind an empty value",
       "X-Trace:\r\n " + length, "hello, world"},
      {"a blank before the name of a field that does not frame",
       length + "X-Trace: 1\r\n X-Other: 2\r\n", "hello"},
      {"a control byte in a name", "X-\x01Trace: 1\r\n" + length, "hello"},
      {"a zero byte in a name", "X-\0Trace: 1\r\n"s + length, "hello"},
      {"a delete byte in a name", "X-\x7fTrace: 1\r\n" + length, "hello"},
      {"a vertical tab before a name", "\v" + chunked + length, "hello"},
      {"a vertical tab behind a name", "Transfer-Encoding\v: chunked\r\n",
       first_chunk + "0\r\n\r\n"},
      {"a carriage return in a name", "X-\rTrace: 1\r\n" + length, "hello"},
      {"a line feed in a name", "X-\nTrace: 1\r\n" + length, "hello"},
      {"no name", ": 1\r\n" + length, "hello"},
      {"no colon", "X-Trace\r\n" + length, "hello"},
      {"a blank in the name of a trailer", chunked,
       first_chunk + "0\r\nX Trace: 1\r\n\r\n"},
      {"a control byte in the name of a trailer", chunked,
       first_chunk + "0\r\nX-\x01Trace: 1\r\n\r\n"},
      {"a blank before the name of a trailer", chunked,
       first_chunk + "0\r\nX-Trace: 1\r\n X-Other: 2\r\n\r\n"},
  };
}

}  // namespace figwind::test
