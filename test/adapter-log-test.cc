#include "adapters/log.h"

#include <gtest/gtest.h>

#include <sstream>
#include <vector>

using namespace figwind;

// Guards against lines that a log reader cannot parse, and against a repeated
// event that fills the log.
TEST(log, writes_a_bounded_number_of_json_lines) {
  // The limit is one of the process, so a repeated test needs other names.
  static auto runs = 0;
  auto run = std::to_string(++runs);
  testing::internal::CaptureStderr();
  open_log("log-test");
  for (auto i = 0; i < 12; ++i) {
    log_warning("message-refused-" + run,
                {{"peer", "bad \xff\n\"text\""}, {"n", i}});
  }
  log_info("started-" + run);
  auto in = std::istringstream{testing::internal::GetCapturedStderr()};
  auto lines = std::vector<nlohmann::json>{};
  for (auto text = std::string{}; std::getline(in, text);) {
    lines.push_back(nlohmann::json::parse(text, nullptr, false));
    ASSERT_TRUE(lines.back().is_object()) << text;
  }
  ASSERT_EQ(lines.size(), 11U);
  EXPECT_EQ(lines[9]["n"], 9);
  EXPECT_EQ(lines[9]["level"], "warning");
  EXPECT_EQ(lines[10]["event"], "started-" + run);
  EXPECT_EQ(lines[10]["process"], "log-test");
}
