#include "figwind/running_calls.h"

#include <gtest/gtest.h>

#include "section.h"

namespace figwind {
namespace {

using test::section;

const auto scans = class_name{"scans"};

auto report(const std::string& server, std::uint64_t level)
    -> threshold_report {
  return {{"beneficiari"}, {server}, {level}};
}

// Guards against calls of a confirmation being refused before lookups because
// calls between services have a rank of their own.
TEST(running_calls, give_their_calls_the_chain_of_the_run) {
  auto runs = running_calls{};
  runs.start("a.b", scans, {hash_request_id("a"), 0, 1, 0.5});
  const auto* run = runs.find("a.b");
  ASSERT_NE(run, nullptr);
  const auto chain = running_calls::downstream_chain(*run);
  EXPECT_EQ(chain, (call_chain{hash_request_id("a"), 0, 2, 0.5}));
  section("a run that has ended is removed", [&] {
    runs.end("a.b", true);
    EXPECT_EQ(runs.find("a.b"), nullptr);
    EXPECT_EQ(runs.end("a.b", true).downstream.levels_below, 0);
  });
}

// Guards against loans that are run repeatedly although a call finds no server:
// the nodes upstream need the reason why a run failed.
TEST(running_calls, report_that_a_call_found_no_server) {
  auto runs = running_calls{};
  runs.start("r", scans, {});
  runs.start("s", scans, {});
  runs.on_no_server("r");
  runs.on_no_server("unknown");
  EXPECT_TRUE(runs.end("r", false).no_server_found);
  EXPECT_FALSE(runs.end("s", true).no_server_found);
}

// Guards against spending retries on requests that still need many calls.
TEST(running_calls, estimate_the_calls_that_a_run_still_needs) {
  auto runs = running_calls{};
  for (auto i = 0; i < 3; ++i) {
    runs.start("r", scans, {});
    for (auto j = 0; j < 4; ++j) runs.on_call_answered("r", true, {}, {});
    runs.end("r", true);
  }
  runs.start("r", scans, {});
  EXPECT_EQ(runs.expected_calls_left(*runs.find("r")), 4);
  runs.on_call_answered("r", true, {}, {});
  runs.on_call_answered("r", false, {}, {});
  EXPECT_EQ(runs.expected_calls_left(*runs.find("r")), 3);
  for (auto j = 0; j < 9; ++j) runs.on_call_answered("r", true, {}, {});
  EXPECT_EQ(runs.expected_calls_left(*runs.find("r")), 1);
  section("failed runs do not change the estimate", [&] {
    runs.end("r", false);
    for (auto i = 0; i < 100; ++i) {
      runs.start("x", scans, {});
      runs.end("x", false);
    }
    runs.start("x", scans, {});
    EXPECT_EQ(runs.expected_calls_left(*runs.find("x")), 4);
  });
}

// Guards against an entry node that gets no report of overload three services
// downstream.
TEST(running_calls, pass_on_thresholds_and_retry_use_of_calls) {
  auto runs = running_calls{};
  runs.start("r", scans, {});
  runs.on_call_answered("r", true, {0, 0.4}, {report("s1", 5)});
  runs.on_call_answered("r", true, {2, 0.1},
                        {report("s2", 6), report("s1", 7)});
  const auto run = runs.end("r", true);
  EXPECT_EQ(run.downstream.levels_below, 3);
  EXPECT_EQ(run.downstream.used_fraction, 0.4);
  ASSERT_EQ(run.thresholds.size(), 2U);
  EXPECT_EQ(run.thresholds[0].threshold.value, 7U);
  EXPECT_EQ(run.thresholds[1].threshold.value, 6U);
  section("the number of thresholds is bounded", [&] {
    runs.start("r", scans, {});
    for (auto i = 0; i < 100; ++i) {
      runs.on_call_answered("r", true, {}, {report(std::to_string(i), 1)});
    }
    EXPECT_EQ(runs.end("r", true).thresholds.size(), 16U);
  });
}

// Guards against a service that counts as overloaded because each run uses one
// of its few overloaded servers, beside others that report no threshold.
TEST(running_calls, pass_on_that_other_servers_admit_all) {
  auto runs = running_calls{};
  const auto service = service_name{"beneficiari"};
  runs.start("r", scans, {});
  section("given four calls of which one met an overloaded server", [&] {
    const auto overloaded = std::vector{report("a", 5)};
    runs.on_call_answered("r", true, {}, overloaded);
    runs.on_call_completed("r", service, {"a"}, overloaded);
    for (const auto* node : {"b", "c", "d"}) {
      runs.on_call_answered("r", true, {}, {});
      runs.on_call_completed("r", service, {node}, {});
    }
    const auto run = runs.end("r", true);
    ASSERT_EQ(run.thresholds.size(), 4U);
    EXPECT_EQ(run.thresholds[0].threshold.value, 5U);
    EXPECT_EQ(run.thresholds[3].threshold, admit_all_threshold);
  });
  section("nothing is passed on if all servers admit all", [&] {
    runs.start("r", scans, {});
    runs.on_call_completed("r", service, {"b"}, {});
    EXPECT_TRUE(runs.end("r", true).thresholds.empty());
  });
}

}  // namespace
}  // namespace figwind
