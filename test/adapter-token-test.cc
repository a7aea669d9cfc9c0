#include "adapters/token.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "section.h"

using namespace figwind;
using figwind::test::section;
namespace fs = std::filesystem;

namespace {

auto write_token(const std::string& text, fs::perms permissions)
    -> std::string {
  auto path = fs::temp_directory_path() /
              ("figwind-token-" + std::to_string(::getpid()));
  std::ofstream{path} << text;
  fs::permissions(path, permissions);
  return path.string();
}

constexpr auto owner_only = fs::perms::owner_read | fs::perms::owner_write;

}  // namespace

// Guards against a token that other users of the machine can read.
TEST(token, is_read_from_a_file_of_its_owner_only) {
  auto path = write_token("secret\n", owner_only);
  EXPECT_EQ(value(read_token(path)), "secret");
  for (auto open_to : {fs::perms::group_read, fs::perms::others_read,
                       fs::perms::group_write}) {
    fs::permissions(path, owner_only | open_to);
    EXPECT_FALSE(ok(read_token(path)));
  }
  for (const auto& text : {std::string{}, std::string{"\nsecret"},
                           std::string{"two words"}, std::string(600, 'x')}) {
    EXPECT_FALSE(ok(read_token(write_token(text, owner_only)))) << text;
  }
  fs::remove(path);
  EXPECT_FALSE(ok(read_token(path)));
}

// Guards against changes by somebody without the token, above all when the
// process itself has none.
TEST(token, authorizes_only_the_exact_header) {
  struct row {
    std::string expected;
    std::string header;
    bool authorized;
  };
  for (const auto& x : std::vector<row>{
           {"secret", "Bearer secret", true},
           {"secret", "Bearer secrex", false},
           {"secret", "Bearer secret2", false},
           {"secret", "Bearer ", false},
           {"secret", "secret", false},
           {"secret", "", false},
           {"", "Bearer ", false},
           {"", "", false},
       }) {
    section(x.header, [&] {
      EXPECT_EQ(is_authorized(x.expected, x.header), x.authorized);
    });
  }
}
