#include "figwind/text_patch.h"

#include <gtest/gtest.h>

#include "figwind/random.h"
#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

constexpr auto max_size = std::size_t{16} << 20U;

/// Routes with random names, as in a large configuration.
auto routes(int count, std::uint64_t seed) -> std::string {
  auto random = random_source{seed};
  auto out = std::string{};
  for (auto i = 0; i < count; ++i) {
    out += R"({"name":"r-)" + std::to_string(random.bits()) +
           R"(","timeout":"1200ms","priority":2},)";
  }
  return out;
}

}  // namespace

// Guards against a node that puts another text in force than the operator sent.
TEST(text_patch, restores_the_text) {
  const auto large = routes(20'000, 1);
  const auto added = large + routes(1'400, 2);
  auto changed = large;
  changed.replace(changed.size() / 2, 6, "5000ms");
  struct example {
    std::string name;
    std::string base;
    std::string text;
  };
  const auto examples = std::vector<example>{
      {"both empty", "", ""},         {"from nothing", "", large},
      {"to nothing", large, ""},      {"unchanged", large, large},
      {"routes added", large, added}, {"routes removed", added, large},
      {"one value", large, changed},  {"nothing in common", "abc", large},
  };
  for (const auto& x : examples) {
    section(x.name, [&] {
      const auto restored =
          apply_patch(x.base, make_patch(x.base, x.text), max_size);
      ASSERT_TRUE(ok(restored));
      EXPECT_TRUE(value(restored) == x.text);
    });
  }
  section("a small change of a large text is small",
          [&] { EXPECT_LT(make_patch(large, changed).size(), 1024U); });
}

// Guards against a text that is restored from another base or damaged bytes.
TEST(text_patch, refuses_patches_that_do_not_fit) {
  const auto base = routes(100, 1);
  const auto text = routes(100, 1) + routes(10, 2);
  const auto patch = make_patch(base, text);
  auto other = base;
  other[other.size() / 2] ^= 1;
  EXPECT_FALSE(ok(apply_patch(other, patch, max_size)));
  EXPECT_FALSE(ok(apply_patch("", patch, max_size)));
  EXPECT_FALSE(ok(apply_patch(base, patch, text.size() - 1)));
  EXPECT_FALSE(ok(apply_patch(base, "", max_size)));
  EXPECT_FALSE(ok(apply_patch(base, "no frame", max_size)));
  for (auto i = std::size_t{0}; i < patch.size(); ++i) {
    auto damaged = patch;
    damaged[i] ^= 0x10;
    const auto restored = apply_patch(base, damaged, max_size);
    EXPECT_TRUE(!ok(restored) || value(restored) == text);
    EXPECT_FALSE(ok(apply_patch(base, patch.substr(0, i), max_size)));
  }
}
