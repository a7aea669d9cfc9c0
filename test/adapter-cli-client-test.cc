#include "adapters/cli_client.h"

#include <gtest/gtest.h>

#include <string>

#include "broken-heads.h"
#include "raw-server.h"
#include "section.h"

using namespace figwind;
using figwind::test::broken_field_lines;
using figwind::test::invalid_statuses;
using figwind::test::raw_server;
using figwind::test::section;

namespace {

constexpr auto head = "HTTP/1.1 200 OK\r\n";

auto post(const raw_server& to, const std::string& body = {})
    -> cli::http_result {
  return cli::send({"POST", to.address(), "/v1/config", {}, body}, seconds(20));
}

}  // namespace

// Guards against a part of an answer that counts as complete because the peer
// reset the connection while it was sent a long change.
TEST(cli_client, completes_no_answer_by_a_reset_during_an_upload) {
  // Longer than what the sockets of both ends hold.
  const auto upload = std::string(std::size_t{16} << 20U, 'a');
  for (const auto* framing :
       {"\r\nhello", "Content-Length: 9\r\n\r\nhello",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"}) {
    section(framing, [&] {
      auto server = raw_server{
          [&](const std::string&) { return std::string{head} + framing; }};
      server.resets = true;
      EXPECT_TRUE(std::holds_alternative<cli::no_answer>(post(server, upload)));
    });
  }
}

// Guards against an answer that is lost because it has no length and ends with
// its connection.
TEST(cli_client, completes_an_answer_by_the_end_of_its_connection) {
  auto server = raw_server{
      [](const std::string&) { return std::string{head} + "\r\nhello"; }};
  server.closes = true;
  const auto got = post(server);
  ASSERT_TRUE(std::holds_alternative<cli::http_answer>(got));
  EXPECT_EQ(std::get<cli::http_answer>(got).body, "hello");
}

// Guards against an answer with an invalid status that is reported as a refusal
// of a change that was accepted.
TEST(cli_client, takes_no_answer_with_an_invalid_status) {
  for (const auto& status : invalid_statuses()) {
    for (const auto* rest : {"Content-Length: 2\r\n\r\nok", "\r\nok"}) {
      section(status + " " + rest, [&] {
        auto server = raw_server{[&](const std::string&) {
          return "HTTP/1.1 " + status + " X\r\n" + rest;
        }};
        server.closes = true;
        EXPECT_TRUE(std::holds_alternative<cli::no_answer>(post(server)));
      });
    }
  }
}

// Guards against an answer with an invalid field name that counts as one, or
// whose body does not end where the peer's does.
TEST(cli_client, takes_no_answer_with_an_invalid_field_name) {
  for (const auto& x : broken_field_lines()) {
    section(x.name, [&] {
      auto server = raw_server{
          [&](const std::string&) { return head + x.lines + "\r\n" + x.body; }};
      server.closes = true;
      EXPECT_TRUE(std::holds_alternative<cli::no_answer>(post(server)));
    });
  }
}

// Guards against an answer that breaks off in its head or body and that still
// counts as complete.
TEST(cli_client, takes_no_torn_answer_for_a_complete_one) {
  for (const auto* framing :
       {"Content-Length: 12\r\n\r\nhello, world",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n"
        "\r\n"}) {
    section(framing, [&] {
      const auto answer = std::string{head} + framing;
      auto size = std::size_t{0};
      auto server = raw_server{
          [&](const std::string&) { return answer.substr(0, size); }};
      server.closes = true;
      for (; size < answer.size(); ++size) {
        EXPECT_TRUE(std::holds_alternative<cli::no_answer>(post(server)))
            << "cut at " << size;
      }
      const auto got = post(server);
      ASSERT_TRUE(std::holds_alternative<cli::http_answer>(got));
      EXPECT_EQ(std::get<cli::http_answer>(got).body, "hello, world");
    });
  }
}
