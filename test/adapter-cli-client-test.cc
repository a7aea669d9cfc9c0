#include "adapters/cli_client.h"

#include <gtest/gtest.h>

#include <string>

#include "raw-server.h"
#include "section.h"

using namespace figwind;
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
