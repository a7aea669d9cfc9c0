#include "figwind/finding.h"

#include <gtest/gtest.h>

#include "section.h"

using namespace figwind;
using figwind::test::section;

// Guards against findings that lose their place in the report.
TEST(finding, is_printed_with_its_place) {
  section("given a finding with every part of its place", [] {
    auto x = finding{{"a.ini", 3, "class", "latency"}, "not a number"};
    section("it names file, line, section and key", [&] {
      EXPECT_EQ(to_string(x), "a.ini:3: [class] latency: not a number");
    });
  });
  section("given a finding without a place", [] {
    EXPECT_EQ(to_string(finding{{}, "broken"}), "broken");
  });
}
