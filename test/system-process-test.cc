#include <gtest/gtest.h>

#include <sstream>

#include "adapters/call_headers.h"
#include "local-process.h"
#include "section.h"

using namespace figwind;
using namespace figwind::test;

namespace {

void work(const httplib::Request& in, httplib::Response& out) {
  if (in.body == "fail") out.status = 500;
  out.set_content("done " + in.body, "text/plain");
}

/// One deployment for all tests of this file. It is left running at the end,
/// because idle kept-open connections would delay its shutdown.
auto deployment() -> local_deployment& {
  static auto* all = [] {
    auto* made = new local_deployment{3, work};
    wait_until([&] {
      auto got = made->change(two_classes, 0, std::string(32, 'a'));
      return got && got->status == 200;
    });
    wait_until([&] { return made->in_force(1); });
    return made;
  }();
  return *all;
}

auto call(std::size_t node, const std::string& name, const std::string& body,
          httplib::Headers headers = {}) -> httplib::Response {
  auto got = client_of(deployment().own(node).call_address)
                 .Post("/v1/call/" + name, headers, body, "text/plain");
  return got ? *got : httplib::Response{};
}

/// A loan confirmation that is sent for the first time.
auto confirm(std::size_t node, const std::string& key) -> httplib::Response {
  return call(node, "loan-confirmation", "loan",
              {{"Figwind-Key", key}, {"Figwind-Sending", "first"}});
}

auto outcome(const httplib::Response& x) -> std::string {
  return x.get_header_value("Figwind-Outcome");
}

}  // namespace

// Guards against answers that are cut, altered or given to the wrong caller.
TEST(system_process, passes_each_caller_its_own_whole_answer) {
  section("given calls from several threads through two nodes", [] {
    auto wrong = std::atomic<int>{0};
    auto callers = std::vector<std::thread>{};
    for (auto t = 0; t < 4; ++t) {
      callers.emplace_back([t, &wrong] {
        for (auto i = 0; i < 25; ++i) {
          auto body = std::to_string(t) + "-" + std::to_string(i);
          auto got = call(t % 2, "stock-lookup", body);
          auto whole = got.body == "done " + body &&
                       got.get_header_value("Figwind-Checksum") ==
                           to_hex(checksum(got.body));
          if (outcome(got) != "complete" || !whole) ++wrong;
        }
      });
    }
    for (auto& x : callers) x.join();
    EXPECT_EQ(wrong, 0);
  });
}

// Guards against a resend that runs a loan confirmation a second time.
TEST(system_process, runs_a_keyed_request_once) {
  auto& all = deployment();
  // A group that is not in force at every node yet answers "not run" or
  // "unknown"; 200 keys in a row reach all 64 groups.
  auto ready = wait_until([] {
    for (auto i = 0; i < 200; ++i) {
      if (outcome(confirm(i % 3, key_now("warm-" + std::to_string(i)))) !=
          "complete") {
        return false;
      }
    }
    return true;
  });
  ASSERT_TRUE(ready) << "no recorder group came into force";
  auto key = key_now("loan-17");
  auto first = confirm(0, key);
  section("given a confirmation that completed", [&] {
    auto after = all.runs();
    EXPECT_EQ(outcome(first), "complete");
    section("a resend through each node gets the same answer", [&] {
      for (auto node : {0, 1, 2}) {
        auto again =
            call(node, "loan-confirmation", "loan", {{"Figwind-Key", key}});
        EXPECT_EQ(outcome(again), "complete");
        EXPECT_EQ(again.body, first.body);
      }
      EXPECT_EQ(all.runs(), after);
    });
  });
}

// Guards against malformed requests that run or end a process.
TEST(system_process, refuses_malformed_requests) {
  struct fault {
    const char* path;
    httplib::Headers headers;
    int status;
  };
  auto faults = std::vector<fault>{
      {"/v1/call/no-such-class", {}, 404},
      {"/v1/call/stock-lookup", {{"Figwind-Timeout-Ms", "soon"}}, 400},
      {"/v1/call/stock-lookup", {{"Figwind-Context", "[1]"}}, 400},
      {"/v1/call/loan-confirmation", {}, 400},
      {"/v1/call/loan-confirmation", {{"Figwind-Key", "x"}}, 400},
      {"/v1/call/loan-confirmation", {{"Figwind-Key", "domain-a.1.x"}}, 504},
      {"/v1/run/stock-lookup", {}, 400},
      {"/v1/announce", {}, 400},
  };
  auto before = deployment().runs();
  for (const auto& x : faults) {
    auto got = client_of(deployment().own(0).call_address)
                   .Post(x.path, x.headers, "{}", "text/plain");
    ASSERT_TRUE(got) << x.path;
    EXPECT_EQ(got->status, x.status) << x.path;
  }
  EXPECT_EQ(deployment().runs(), before);
}

// Guards against changes without the token, lost updates and double changes.
TEST(system_process, accepts_each_change_once) {
  auto& all = deployment();
  auto version = all.status(0)["version"].get<int>();
  section("given a wrong token", [&] {
    auto got = client_of(all.control()).Post("/v1/config", "x", "text/plain");
    EXPECT_EQ(got->status, 401);
  });
  section("given two changes of one version", [&] {
    auto first = all.change(two_classes, version, std::string(32, 'b'));
    auto second = all.change(two_classes, version, std::string(32, 'c'));
    EXPECT_EQ(first->status, 200);
    EXPECT_EQ(second->status, 409);
    section("a resend gets the first answer", [&] {
      auto again = all.change(two_classes, version, std::string(32, 'b'));
      EXPECT_EQ(again->body, first->body);
    });
    section("the accepted one is in force at every node", [&] {
      EXPECT_TRUE(wait_until([&] { return all.in_force(version + 1); }));
    });
  });
  section("given a text with two faults, both are reported", [&] {
    auto got = all.change("[class a]\nweight = 3\n", version + 1,
                          std::string(32, 'd'));
    EXPECT_EQ(got->status, 400);
    EXPECT_GE(nlohmann::json::parse(got->body)["findings"].size(), 2U);
  });
}

// Guards against a drain that lets new work in or cuts off work in progress.
TEST(system_process, drains_without_losing_work) {
  auto& all = deployment();
  auto token = httplib::Headers{
      {"Authorization", std::string{"Bearer "} + local_deployment::token}};
  auto operator_of = [&] { return client_of(all.own(2).operator_address); };
  section("given a drained node", [&] {
    EXPECT_EQ(operator_of().Post("/v1/drain", token, "", "text/plain")->status,
              200);
    EXPECT_TRUE(wait_until(
        [&] { return all.status(2)["node"]["drained"].get<bool>(); }));
    EXPECT_EQ(operator_of().Get("/readyz")->status, 503);
    section("its backend server gets nothing, and callers are served", [&] {
      auto before = all.backend(2).runs.load();
      for (auto i = 0; i < 20; ++i) {
        EXPECT_EQ(outcome(call(2, "stock-lookup", "x")), "complete");
      }
      EXPECT_EQ(all.backend(2).runs, before);
    });
  });
  section("given the end of the drain, it serves again", [&] {
    EXPECT_TRUE(wait_until([&] {
      auto got = operator_of().Post("/v1/undrain", token, "", "text/plain");
      return got && got->status == 200;
    }));
    EXPECT_TRUE(wait_until([&] {
      call(2, "stock-lookup", "x");
      return all.status(2)["ready"].get<bool>();
    }));
  });
}

// Guards against a backend server that stays out of service after a restart,
// and against calls that fail while it is away.
TEST(system_process, returns_a_lost_backend_server_to_service) {
  auto& all = deployment();
  all.stop_backend(1);
  section("given a backend server that went away, calls are served", [&] {
    for (auto i = 0; i < 20; ++i) {
      auto got = call(1, "stock-lookup", "x");
      EXPECT_EQ(outcome(got), "complete")
          << got.get_header_value("Figwind-Reason");
    }
  });
  section("given another one at its address, it gets calls again", [&] {
    all.start_backend(1, work);
    EXPECT_TRUE(wait_until([&] {
      call(1, "stock-lookup", "x");
      return all.backend(1).runs > 0;
    }));
  });
}
