#include "adapters/http_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "broken-heads.h"
#include "figwind/response_limit.h"
#include "raw-server.h"
#include "section.h"

using namespace figwind;
using figwind::test::broken_field_lines;
using figwind::test::invalid_statuses;
using figwind::test::max_sent_bytes;
using figwind::test::raw_server;
using figwind::test::section;

namespace {

auto response(const std::string& id, const std::string& body,
              const std::string& status = "200 OK") -> std::string {
  const auto head = id.empty() ? "" : "Figwind-Request-Id: " + id + "\r\n";
  return "HTTP/1.1 " + status + "\r\n" + head +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto send(http_client& client, const raw_server& to, const std::string& id,
          const std::string& body = {}) -> http_response {
  return client.post_request(to.address(), "/v1/work/x",
                             {{"Figwind-Request-Id", id}}, body, seconds(20),
                             id);
}

}  // namespace

// Guards against a second copy of an answer that reaches the next caller on the
// connection: nothing but an id tells them apart.
TEST(http_client, gives_no_caller_the_answer_to_another) {
  struct example {
    std::string name;
    raw_server::handler answer;
    /// True if the second request may end without its answer.
    bool may_break;
  };
  auto last = std::string{};
  const auto examples = std::vector<example>{
      {"a server that returns no id and answers twice",
       [](const std::string& id) {
         return response("", "to " + id) + response("", "to " + id);
       },
       false},
      {"a server that returns the id and answers twice",
       [](const std::string& id) {
         return response(id, "to " + id) + response(id, "to " + id);
       },
       true},
      {"a second copy before the next answer",
       [&](const std::string& id) {
         const auto before = std::exchange(last, id);
         return (before.empty() ? "" : response(before, "to " + before)) +
                response(id, "to " + id);
       },
       true},
  };
  for (const auto& x : examples) {
    section(x.name, [&] {
      auto server = raw_server{x.answer};
      auto client = http_client{4};
      EXPECT_EQ(send(client, server, "1").body, "to 1");
      for (const auto* id : {"2", "3", "4"}) {
        const auto got = send(client, server, id);
        if (got.result == http_result::answered) {
          EXPECT_EQ(got.body, std::string{"to "} + id);
        } else {
          EXPECT_TRUE(x.may_break);
        }
      }
    });
  }
}

// Guards against "not run" for a request that runs, because the server writes
// an earlier refusal once more.
TEST(http_client, leaves_a_connection_with_a_refusal) {
  auto server = raw_server{[](const std::string& id) {
    return id == "1" ? response(id, "", "503 Full") : response(id, "to " + id);
  }};
  auto client = http_client{4};
  EXPECT_EQ(send(client, server, "1").status, 503);
  EXPECT_EQ(send(client, server, "2").body, "to 2");
  EXPECT_EQ(server.connections, 2);
}

// Guards against an answer that breaks off in its head or body and that still
// counts as complete.
TEST(http_client, takes_no_torn_answer_for_a_complete_one) {
  struct example {
    std::string name;
    std::string answer;
  };
  const auto head = std::string{"HTTP/1.1 200 OK\r\nFigwind-Request-Id: 1\r\n"};
  const auto examples = std::vector<example>{
      {"with a length", head + "Content-Length: 12\r\n\r\nhello, world"},
      {"in chunks",
       head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, "
              "world\r\n0\r\n\r\n"},
  };
  for (const auto& x : examples) {
    section(x.name, [&] {
      auto size = std::size_t{0};
      auto server = raw_server{
          [&](const std::string&) { return x.answer.substr(0, size); }};
      server.closes = true;
      auto client = http_client{4};
      for (; size < x.answer.size(); ++size) {
        EXPECT_NE(send(client, server, "1").result, http_result::answered)
            << "cut at " << size;
      }
      EXPECT_EQ(send(client, server, "1").body, "hello, world");
    });
  }
}

// Guards against a part of an answer that counts as complete because the
// server reset the connection while it was sent a long upload.
TEST(http_client, completes_no_answer_by_a_reset_during_an_upload) {
  const auto head = std::string{"HTTP/1.1 200 OK\r\nFigwind-Request-Id: 1\r\n"};
  // Longer than what the sockets of both ends hold.
  const auto upload = std::string(std::size_t{16} << 20U, 'a');
  for (const auto* framing :
       {"\r\nhello", "Content-Length: 9\r\n\r\nhello",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"}) {
    section(framing, [&] {
      auto server =
          raw_server{[&](const std::string&) { return head + framing; }};
      server.resets = true;
      auto client = http_client{4};
      EXPECT_EQ(send(client, server, "1", upload).result, http_result::broken);
    });
  }
}

// Guards against an answer that is lost because it has no length and ends with
// its connection.
TEST(http_client, completes_an_answer_by_the_end_of_its_connection) {
  auto server = raw_server{[](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nFigwind-Request-Id: " + id + "\r\n\r\nhello";
  }};
  server.closes = true;
  auto client = http_client{4};
  EXPECT_EQ(send(client, server, "1").body, "hello");
  EXPECT_EQ(send(client, server, "2").body, "hello");
}

// Guards against an answer with an invalid status that counts as one, is
// skipped as an interim response, or keeps the caller waiting.
TEST(http_client, takes_no_answer_with_an_invalid_status) {
  for (const auto& status : invalid_statuses()) {
    for (const auto* rest : {"Content-Length: 2\r\n\r\nok", "\r\nok"}) {
      section(status + " " + rest, [&] {
        auto server = raw_server{[&](const std::string& id) {
          return "HTTP/1.1 " + status + " X\r\nFigwind-Request-Id: " + id +
                 "\r\n" + rest + response(id, "to " + id);
        }};
        auto client = http_client{4};
        EXPECT_EQ(send(client, server, "1").result, http_result::broken);
      });
    }
  }
}

// Guards against an answer with an invalid field name that counts as one, or
// whose body does not end where the server's does.
TEST(http_client, takes_no_answer_with_an_invalid_field_name) {
  for (const auto& x : broken_field_lines()) {
    section(x.name, [&] {
      auto server = raw_server{[&](const std::string& id) {
        return "HTTP/1.1 200 OK\r\nFigwind-Request-Id: " + id + "\r\n" +
               x.lines + "\r\n" + x.body;
      }};
      for (const auto closes : {true, false}) {
        server.closes = closes;
        auto client = http_client{4};
        EXPECT_EQ(send(client, server, "1").result, http_result::broken);
      }
    });
  }
}

// Guards against a connection for each request to a server that returns ids.
TEST(http_client, reuses_connections_that_return_the_id) {
  auto server = raw_server{
      [](const std::string& id) { return response(id, "to " + id); }};
  auto client = http_client{4};
  for (const auto* id : {"1", "2", "3"}) {
    EXPECT_EQ(send(client, server, id).body, std::string{"to "} + id);
  }
  EXPECT_EQ(server.connections, 1);
}

// Guards against a process that runs out of memory because a faulty server
// sends bytes without end: in a head, a body or a chunk's extension, to one
// request or to many at once.
TEST(http_client, bounds_the_memory_of_endless_responses) {
  constexpr auto callers = 16;
  struct example {
    std::string name;
    std::string begin;
    std::string endless;
  };
  const auto block = std::string(std::size_t{64} << 10U, 'a');
  const auto head = std::string{"HTTP/1.1 200 OK\r\nFigwind-Request-Id: 1\r\n"};
  const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const auto examples = std::vector<example>{
      {"a line of the head", head + "A: ", block},
      {"a body without a length", head + "\r\n", block},
      {"a body in chunks", chunked, "10000\r\n" + block + "\r\n"},
      {"the extension of a chunk", chunked + "4;", block},
  };
  for (const auto& x : examples) {
    section(x.name, [&] {
      auto server = raw_server{[&](const std::string&) { return x.begin; }};
      server.endless = x.endless;
      auto client = http_client{4};
      auto running = std::atomic<int>{callers};
      auto answered = std::atomic<int>{0};
      auto threads = std::vector<std::thread>{};
      for (auto i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
          const auto got = send(client, server, "1");
          if (got.result != http_result::broken) ++answered;
          --running;
        });
      }
      auto most = std::size_t{0};
      while (running > 0) {
        most = std::max(most, client.received_bytes());
        std::this_thread::yield();
      }
      for (auto& thread : threads) thread.join();
      EXPECT_EQ(answered, 0);
      EXPECT_LE(most, 2 * max_response_bytes);
      EXPECT_LE(server.longest, max_sent_bytes);
    });
  }
}
