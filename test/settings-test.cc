#include "figwind/settings.h"

#include <gtest/gtest.h>

#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

auto parse(const std::string& text) -> result<settings> {
  return parse_settings(value(parse_ini("node.ini", text)));
}

constexpr auto node_text = R"([process]
cluster = sprijin
failure_domain = ro-centru-a
roles = node
control_address = 127.0.0.1:7101
operator_address = 127.0.0.1:7301
[node]
call_address = 127.0.0.1:7201
[control]
members = 1@127.0.0.1:7001, 2@127.0.0.1:7002
)";

}  // namespace

// Guards against a settings file that is accepted in part.
TEST(settings, are_filled_or_refused_as_a_whole) {
  section("given a complete file of a node", [] {
    auto parsed = parse(node_text);
    ASSERT_TRUE(ok(parsed)) << to_string(errors(parsed));
    EXPECT_EQ(value(parsed).cluster, "sprijin");
    EXPECT_EQ(value(parsed).members.size(), 2U);
    EXPECT_TRUE(value(parsed).is_node);
  });
  section("given two faults", [] {
    auto parsed = parse(std::string{node_text} +
                        "[node]\ncall_address = host:80\nweight = 3\n");
    section("both are reported with their lines", [&] {
      ASSERT_EQ(errors(parsed).size(), 2U);
      EXPECT_EQ(errors(parsed)[0].where.line, 12U);
      EXPECT_EQ(errors(parsed)[1].where.line, 13U);
    });
  });
}
