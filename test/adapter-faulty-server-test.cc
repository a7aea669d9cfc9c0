// Answers of a faulty backend server, on real sockets: doubled, late, torn or
// wrongly framed. Whatever a server writes, a caller gets its own complete
// answer, or none; "not run" only if the server refused this very request.

#include <gtest/gtest.h>

#include <set>

#include "broken-heads.h"
#include "loopback-fleet.h"
#include "section.h"

using namespace figwind;
using namespace figwind::test;

namespace {

using ending = scripted_server::ending;

auto complete(const std::string& id) -> std::string {
  return server_response(id, 200, is_signed, "whole " + id);
}

/// A status that promises nothing, as after a lost answer.
auto is_unknown(const std::string& status) -> bool {
  return status == "502" || status == "504";
}

// Longer than what the sockets of both ends hold, so that the node is still
// writing while the server does not read.
constexpr auto long_body_bytes = std::size_t{16} << 20U;

void replace_all(std::string& text, const std::string& from,
                 const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

/// Sets time limits beyond the wait of the tests, so that a caller that waits
/// for one gets no answer in a test, and accepts long bodies.
auto set_generous_limits(loopback_fleet& fleet) -> bool {
  auto config = std::string{config_text};
  replace_all(config, "r1", "r3");
  replace_all(config, "\"3s\"", "\"90s\"");
  replace_all(config, "\"max-body-bytes\":1000", "\"max-body-bytes\":33554432");
  return status_of(fleet.put_in_force("r1", config)) == "200";
}

auto request_bytes(const std::string& start, const std::string& id,
                   const std::string& body = {}) -> std::string {
  return start + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 90000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A node that callers use: the VM of the server's node or another one.
struct entry {
  std::string name;
  int vm;
};

auto entries() -> std::vector<entry> {
  return {{"through another node", 4}, {"at the node of the server", 5}};
}

/// What may be written on a connection that was used before.
struct leftover {
  std::string name;
  /// Bytes before the answer to the second request `id`; `first` is the id of
  /// the one before.
  std::function<std::string(const std::string& first, const std::string& id)>
      bytes;
  /// True if the answer to the second request must reach its caller.
  bool is_answered = true;
};

auto leftovers() -> std::vector<leftover> {
  return {
      {"the answer to the request before",
       [](const std::string& first, const std::string&) {
         return complete(first);
       }},
      {"it twice",
       [](const std::string& first, const std::string&) {
         return complete(first) + complete(first);
       }},
      {"a refusal of the request before",
       [](const std::string& first, const std::string&) {
         return server_refusal(first);
       }},
      {"a failure of the request before",
       [](const std::string& first, const std::string&) {
         return server_response(first, 500, is_signed, "bad");
       }},
      {"a refusal without an id",
       [](const std::string&, const std::string&) {
         return std::string{
             "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
             "\r\n"};
       },
       false},
      {"an answer without an id",
       [](const std::string&, const std::string&) {
         return std::string{"HTTP/1.1 200 X\r\nContent-Length: 2\r\n"} +
                is_signed + "\r\nxx";
       },
       false},
      {"an interim response",
       [](const std::string&, const std::string&) {
         return std::string{"HTTP/1.1 100 Continue\r\n\r\n"};
       }},
      {"bytes of a body",
       [](const std::string&, const std::string&) {
         return std::string{"the rest"};
       },
       false},
  };
}

}  // namespace

// Guards against an answer that reaches the next caller on the connection, and
// against "not run" for a request that the server runs.
TEST(faulty_server, leaves_nothing_for_the_next_caller) {
  auto fleet = loopback_fleet{};
  fleet.begin();
  auto& server = *fleet.backend;
  auto number = 0;
  for (const auto& x : leftovers()) {
    for (const auto* path : {"/act/x", "/read/x"}) {
      const auto method = std::string{path} == "/act/x" ? "POST" : "GET";
      section(x.name + ", " + path, [&] {
        const auto first = "first" + std::to_string(++number);
        const auto id = "second" + std::to_string(number);
        auto used = std::vector<int>{};
        server.script = [&](const std::string& asked) {
          used.push_back(server.last_connection);
          return asked == id ? x.bytes(first, id) + complete(id)
                             : complete(asked);
        };
        section("while the next request is out", [&] {
          EXPECT_EQ(body_of(fleet.call(method, path, first)), "whole " + first);
          const auto answer = fleet.call(method, path, id);
          ASSERT_GE(used.size(), 2U);
          EXPECT_EQ(used[0], used[1]);
          if (x.is_answered) {
            EXPECT_EQ(status_of(answer), "200");
            EXPECT_EQ(body_of(answer), "whole " + id);
          } else {
            EXPECT_TRUE(is_unknown(status_of(answer))) << answer;
          }
        });
        section("while the connection is idle", [&] {
          server.script = complete;
          server.late = x.bytes("late", "late");
          const auto writes = server.late_writes;
          EXPECT_EQ(body_of(fleet.call(method, path, "late")), "whole late");
          server.late.clear();
          fleet.run_until([&] { return server.late_writes > writes; });
          const auto after = "after" + std::to_string(number);
          EXPECT_EQ(body_of(fleet.call(method, path, after)), "whole " + after);
        });
      });
    }
  }
}

// Guards against a refusal that the server writes once more with the id of the
// next request: that request may run, though its caller is told that it has
// not, or may run at a second server.
TEST(faulty_server, is_not_asked_again_on_a_connection_with_a_refusal) {
  auto fleet = loopback_fleet{};
  fleet.begin();
  auto& server = *fleet.backend;
  auto refused_on = std::set<int>{};
  auto ran = 0;
  server.script = [&](const std::string& id) {
    if (refused_on.count(server.last_connection) > 0) {
      ++ran;
      return server_refusal(id) + complete(id);
    }
    if (id.find("refused") == std::string::npos) return complete(id);
    refused_on.insert(server.last_connection);
    return server_refusal(id);
  };
  for (auto i = 0; i < 5; ++i) {
    const auto text = std::to_string(i);
    fleet.call("POST", "/act/x", "refused" + text);
    const auto next = "next" + text;
    EXPECT_EQ(body_of(fleet.call("POST", "/act/x", next)), "whole " + next);
  }
  EXPECT_FALSE(refused_on.empty());
  EXPECT_EQ(ran, 0);
}

// Guards against a part of an answer, or of its head, that reaches the caller
// as a complete answer.
TEST(faulty_server, never_makes_a_torn_answer_look_complete) {
  auto fleet = loopback_fleet{};
  fleet.begin();
  auto& server = *fleet.backend;
  struct example {
    std::string name;
    std::function<std::string(const std::string& id)> answer;
  };
  const auto head = [](const std::string& id) {
    return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + id + "\r\n" + is_signed;
  };
  const auto examples = std::vector<example>{
      {"with a length",
       [&](const std::string& id) {
         return head(id) + "Content-Length: 12\r\n\r\nhello, world";
       }},
      {"in chunks",
       [&](const std::string& id) {
         return head(id) +
                "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world"
                "\r\n0\r\n\r\n";
       }},
      {"a refusal", server_refusal},
  };
  auto number = 0;
  for (const auto& x : examples) {
    for (const auto end : {ending::close, ending::reset}) {
      section(x.name + (end == ending::close ? ", closed" : ", reset"), [&] {
        server.end = end;
        const auto size = x.answer("torn0000").size();
        for (auto cut = std::size_t{0}; cut < size; ++cut) {
          server.script = [&](const std::string& id) {
            return x.answer(id).substr(0, cut);
          };
          auto id = std::to_string(10000 + ++number);
          id = "tor" + id;
          const auto answer = fleet.call("POST", "/act/x", id);
          EXPECT_TRUE(is_unknown(status_of(answer)))
              << "cut at " << cut << ": " << answer;
        }
      });
    }
  }
  server.end = ending::keep;
}

// Guards against an answer whose framing is wrong and that still counts as
// complete.
TEST(faulty_server, passes_on_only_well_framed_answers) {
  auto fleet = loopback_fleet{};
  fleet.begin();
  auto& server = *fleet.backend;
  struct example {
    std::string name;
    /// Framing headers and body.
    std::string framing;
    ending end;
    std::string status;
    std::string body;
  };
  const auto examples = std::vector<example>{
      {"no length, closed", "\r\nhello", ending::close, "200", "hello"},
      {"no length, reset", "\r\nhello", ending::reset, "502", ""},
      {"a length, reset after the whole answer",
       "Content-Length: 5\r\n\r\nhello", ending::reset, "200", "hello"},
      {"a length that is too long", "Content-Length: 9\r\n\r\nhello",
       ending::close, "502", ""},
      {"two lengths", "Content-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
       ending::close, "502", ""},
      {"the same length twice",
       "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", ending::close,
       "200", "hello"},
      {"a negative length", "Content-Length: -5\r\n\r\nhello", ending::close,
       "502", ""},
      {"a huge length", "Content-Length: 99999999999999999999\r\n\r\nhello",
       ending::close, "502", ""},
      {"a length that is no number", "Content-Length: five\r\n\r\nhello",
       ending::close, "502", ""},
      {"chunks without an end",
       "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ending::close, "502",
       ""},
      {"a chunk that is too long",
       "Transfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n",
       ending::close, "502", ""},
      {"a negative chunk",
       "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n",
       ending::close, "502", ""},
      {"an unknown transfer encoding", "Transfer-Encoding: gzip\r\n\r\nhello",
       ending::reset, "502", ""},
  };
  auto number = 0;
  for (const auto& x : examples) {
    section(x.name, [&] {
      server.end = x.end;
      server.script = [&](const std::string& id) {
        return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + id + "\r\n" + is_signed +
               x.framing;
      };
      const auto id = "framed" + std::to_string(++number);
      const auto answer = fleet.call("POST", "/act/x", id);
      EXPECT_EQ(status_of(answer), x.status);
      EXPECT_EQ(body_of(answer), x.body);
    });
  }
  server.end = ending::keep;
  server.script = complete;
  EXPECT_EQ(body_of(fleet.call("POST", "/act/x", "sound")), "whole sound");
}

// Guards against a part of an answer that counts as complete because the
// server reset the connection while it was sent a long upload: the failed write
// takes the error of the socket, and the read after it sees an orderly end.
TEST(faulty_server, never_completes_an_answer_by_a_reset_during_an_upload) {
  auto fleet = loopback_fleet{};
  fleet.begin();
  ASSERT_TRUE(set_generous_limits(fleet));
  auto& server = *fleet.backend;
  struct example {
    std::string name;
    /// Framing headers and body.
    std::string framing;
    ending end;
    std::string status;
    std::string body;
  };
  const auto examples = std::vector<example>{
      {"no length, reset", "\r\nhello", ending::reset, "502", ""},
      {"no length, closed with the upload unread", "\r\nhello", ending::close,
       "502", ""},
      {"no length, ended in order", "\r\nhello", ending::half_close, "200",
       "hello"},
      {"no length, ended in order with the upload unread", "\r\nhello",
       ending::half_close_unread, "200", "hello"},
      {"no length, ended and then reset", "\r\nhello",
       ending::half_close_then_reset, "502", ""},
      {"a length, reset within the body", "Content-Length: 9\r\n\r\nhello",
       ending::reset, "502", ""},
      {"a length, closed within the body", "Content-Length: 9\r\n\r\nhello",
       ending::close, "502", ""},
      {"a length, ended within the body", "Content-Length: 9\r\n\r\nhello",
       ending::half_close, "502", ""},
      {"a length, reset after the whole answer",
       "Content-Length: 5\r\n\r\nhello", ending::reset, "200", "hello"},
      {"chunks, reset before the last",
       "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ending::reset, "502",
       ""},
      {"no body, reset", "\r\n", ending::reset, "502", ""},
  };
  const auto upload = std::string(long_body_bytes, 'a');
  auto number = 0;
  for (const auto& from : entries()) {
    for (const auto& x : examples) {
      section(from.name + ", " + x.name, [&] {
        server.end = x.end;
        server.script = [&](const std::string& id) {
          return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + id + "\r\n" + is_signed +
                 x.framing;
        };
        const auto id = "upload" + std::to_string(++number);
        const auto answer =
            fleet.exchange(from.vm, fleet.call_port(),
                           request_bytes("POST /act/x", id, upload));
        EXPECT_EQ(status_of(answer), x.status);
        EXPECT_EQ(body_of(answer), x.body);
      });
    }
  }
}

// Guards against an answer with an invalid status that reaches the caller, is
// skipped as an interim response in front of another one, or keeps the caller
// waiting.
TEST(faulty_server, passes_on_no_invalid_status) {
  auto fleet = loopback_fleet{};
  fleet.begin();
  ASSERT_TRUE(set_generous_limits(fleet));
  auto& server = *fleet.backend;
  struct example {
    std::string name;
    /// Field lines, the empty line and what follows it.
    std::function<std::string(const std::string& id)> rest;
    ending end;
  };
  const auto examples = std::vector<example>{
      {"before an answer",
       [](const std::string& id) { return "\r\n" + complete(id); },
       ending::keep},
      {"with a length",
       [](const std::string&) {
         return std::string{"Content-Length: 5\r\n\r\nhello"};
       },
       ending::keep},
      {"with a length, reset",
       [](const std::string&) {
         return std::string{"Content-Length: 9\r\n\r\nhello"};
       },
       ending::reset},
      {"without a length",
       [](const std::string&) { return std::string{"\r\nhello"}; },
       ending::close},
      {"without a length, connection kept",
       [](const std::string&) { return std::string{"\r\nhello"}; },
       ending::keep},
      {"as a refusal",
       [](const std::string&) {
         return std::string{"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
       },
       ending::keep},
  };
  auto number = 0;
  for (const auto& from : entries()) {
    for (const auto& status : invalid_statuses()) {
      for (const auto& x : examples) {
        section(from.name + ", " + status + " " + x.name, [&] {
          server.end = x.end;
          server.script = [&](const std::string& id) {
            return "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + id + "\r\n" +
                   is_signed + x.rest(id);
          };
          const auto id = "status" + std::to_string(++number);
          const auto answer = fleet.exchange(from.vm, fleet.call_port(),
                                             request_bytes("POST /act/x", id));
          EXPECT_EQ(status_of(answer), "502");
          EXPECT_EQ(body_of(answer), "");
        });
      }
    }
  }
}

// Guards against callers that wait for their deadline because the connection
// has ended behind a response that is not theirs.
TEST(faulty_server, is_not_waited_for_after_the_end_of_its_connection) {
  auto fleet = loopback_fleet{};
  fleet.begin();
  ASSERT_TRUE(set_generous_limits(fleet));
  auto& server = *fleet.backend;
  server.end = ending::close;
  struct example {
    std::string name;
    std::string bytes;
  };
  const auto other =
      "HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\n" + std::string{is_signed};
  const auto examples = std::vector<example>{
      {"nothing", ""},
      {"an interim response", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"a response to another request",
       other + "Content-Length: 5\r\n\r\nhello"},
      {"one without a length", other + "\r\nhello"},
  };
  auto number = 0;
  for (const auto& from : entries()) {
    for (const auto& x : examples) {
      section(from.name + ", " + x.name, [&] {
        server.script = [&](const std::string&) { return x.bytes; };
        const auto id = "ended" + std::to_string(++number);
        const auto answer = fleet.exchange(from.vm, fleet.call_port(),
                                           request_bytes("POST /act/x", id));
        EXPECT_EQ(status_of(answer), "502");
      });
    }
  }
}

// Guards against an answer with an invalid field name that reaches the caller,
// or whose body does not end where the server's does.
TEST(faulty_server, passes_on_no_invalid_field_name) {
  auto fleet = loopback_fleet{};
  fleet.begin();
  ASSERT_TRUE(set_generous_limits(fleet));
  auto& server = *fleet.backend;
  auto number = 0;
  const auto check = [&](int vm, const std::function<std::string(
                                     const std::string& valid_lines)>& answer) {
    for (const auto end : {ending::close, ending::keep}) {
      section(end == ending::close ? "closed" : "kept", [&] {
        server.end = end;
        server.script = [&](const std::string& id) {
          return "HTTP/1.1 200 X\r\n" +
                 answer("X-Attempt-Id: " + id + "\r\n" + is_signed);
        };
        const auto id = "name" + std::to_string(++number);
        const auto got = fleet.exchange(vm, fleet.call_port(),
                                        request_bytes("POST /act/x", id));
        EXPECT_EQ(status_of(got), "502");
        EXPECT_EQ(body_of(got), "");
      });
    }
  };
  for (const auto& from : entries()) {
    for (const auto& x : broken_field_lines()) {
      section(from.name + ", " + x.name, [&] {
        section("behind the other fields", [&] {
          check(from.vm, [&](const std::string& valid) {
            return valid + x.lines + "\r\n" + x.body;
          });
        });
        section("before the other fields", [&] {
          check(from.vm, [&](const std::string& valid) {
            return x.lines + valid + "\r\n" + x.body;
          });
        });
      });
    }
  }
}

// Guards against callers that wait for their whole deadline, and a place that
// stays taken, when the server loses an answer without a reset or keeps silent
// because it is full.
TEST(faulty_server, is_not_waited_for_after_it_answered_later_calls) {
  auto fleet = loopback_fleet{};
  fleet.begin();
  ASSERT_TRUE(set_generous_limits(fleet));
  fleet.backend->script = [](const std::string& id) {
    return id.find("silent") == 0 ? "" : complete(id);
  };
  auto number = 0;
  const auto answer_others = [&](const std::string& method,
                                 const std::string& path, int count) {
    for (auto i = 0; i < count; ++i) {
      const auto id = "other" + std::to_string(++number);
      EXPECT_EQ(body_of(fleet.call(method, path, id)), "whole " + id);
    }
  };
  auto repeatable = std::string{};
  auto once = std::string{};
  answer_others("GET", "/read/x", 80);
  fleet.call_in_background(request_bytes("GET /read/x", "silent1"),
                           [&](const std::string& x) { repeatable = x; });
  fleet.call_in_background(request_bytes("POST /act/x", "silent2"),
                           [&](const std::string& x) { once = x; });
  answer_others("POST", "/act/x", 80);
  answer_others("GET", "/read/x", 80);
  section("a call that may be repeated ends as unknown", [&] {
    EXPECT_TRUE(fleet.run_until([&] { return !repeatable.empty(); }));
    EXPECT_EQ(status_of(repeatable), "502");
  });
  section("one that may not is waited for", [&] { EXPECT_EQ(once, ""); });
}
