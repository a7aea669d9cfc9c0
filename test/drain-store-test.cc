#include "figwind/drain_store.h"

#include <gtest/gtest.h>

#include "fake-files.h"
#include "section.h"

using namespace figwind;
using figwind::test::fake_files;
using figwind::test::section;

namespace {

auto drained(const std::string& server, announced_state state) -> node_report {
  auto out = node_report{};
  out.node = {{"10.0.1.1:7000"}, {5}};
  out.sequence = 7;
  out.domain = {"a"};
  out.server.server = {server};
  out.server.service = {"contracte"};
  out.server.address = {"10.0.1.1:8080"};
  out.server.domain = {"a"};
  out.server.slots = 12;
  out.server.state = state;
  out.server.born_ms = 1796479771865;
  out.server.sequence = 9;
  return out;
}

/// What is read again, as text.
auto names_in(fake_files& files) -> std::string {
  const auto all = load_drains(files);
  if (!ok(all)) return to_string(errors(all));
  auto out = std::string{};
  for (const auto& x : value(all)) {
    out += x.server.server.value + " " + to_string(x.server.state) + " ";
  }
  return out;
}

}  // namespace

// Guards against an acknowledged drain that is forgotten, or changed, by a
// restart.
TEST(drain_store, returns_what_was_saved) {
  auto files = fake_files{};
  EXPECT_EQ(names_in(files), "");
  const auto left = drained("a", announced_state::left);
  ASSERT_EQ(save_drains(files, {left}), io_status::done);
  const auto all = load_drains(files);
  ASSERT_TRUE(ok(all));
  ASSERT_EQ(value(all).size(), 1U);
  const auto& x = value(all).front();
  EXPECT_EQ(x.node.address, left.node.address);
  EXPECT_EQ(x.node.start, left.node.start);
  EXPECT_EQ(x.sequence, left.sequence);
  EXPECT_EQ(x.domain, left.domain);
  EXPECT_FALSE(x.accepts_work);
  EXPECT_EQ(x.server.server, left.server.server);
  EXPECT_EQ(x.server.service, left.server.service);
  EXPECT_EQ(x.server.address, left.server.address);
  EXPECT_EQ(x.server.domain, left.server.domain);
  EXPECT_EQ(x.server.slots, left.server.slots);
  EXPECT_EQ(x.server.state, left.server.state);
  EXPECT_EQ(x.server.born_ms, left.server.born_ms);
  EXPECT_EQ(x.server.sequence, left.server.sequence);
  section("the next ones replace them", [&] {
    const auto draining = drained("b", announced_state::draining);
    ASSERT_EQ(save_drains(files, {draining, left}), io_status::done);
    EXPECT_EQ(names_in(files), "b draining a left ");
  });
}

// Guards against a file that a loss of power leaves half written.
TEST(drain_store, holds_the_reports_before_or_after_a_loss_of_power) {
  for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
    section("seed " + std::to_string(seed), [&] {
      auto random = random_source{seed};
      auto files = fake_files{};
      const auto first = drained("a", announced_state::left);
      const auto second = drained("b", announced_state::left);
      ASSERT_EQ(save_drains(files, {first}), io_status::done);
      const auto name = std::string{drain_file_name} + ".new";
      files.append(name, detail::encode_drains({first, second}));
      files.crash(random);
      EXPECT_EQ(names_in(files), "a left ");
      ASSERT_EQ(save_drains(files, {first, second}), io_status::done);
      files.crash(random);
      EXPECT_EQ(names_in(files), "a left b left ");
    });
  }
}

// Guards against damaged bytes that pass for reports.
TEST(drain_store, refuses_damaged_bytes) {
  const auto whole =
      detail::encode_drains({drained("a", announced_state::left)});
  for (auto at = std::size_t{0}; at < whole.size(); ++at) {
    auto bytes = whole;
    bytes[at] = static_cast<char>(bytes[at] ^ 1);
    EXPECT_FALSE(ok(detail::decode_drains(bytes))) << at;
    EXPECT_FALSE(ok(detail::decode_drains(whole.substr(0, at)))) << at;
  }
}
