#include "adapters/load.h"

#include <gtest/gtest.h>

#include <filesystem>

#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

auto example(const std::string& name) -> std::string {
  auto folder = std::filesystem::path{__FILE__}.parent_path().parent_path();
  return (folder / "support" / name).string();
}

}  // namespace

// Guards against example workloads that the program refuses.
TEST(load, accepts_the_example_workloads) {
  for (const auto& [name, classes] :
       {std::pair{"sprijin.ini", 7U}, std::pair{"zdrojowa.ini", 5U}}) {
    section(name, [&, name = name, classes = classes] {
      auto all = load_workload(example(name));
      ASSERT_TRUE(ok(all)) << to_string(errors(all));
      EXPECT_EQ(value(all).classes.size(), classes);
    });
  }
}

// Guards against a missing file that is taken for an empty one.
TEST(load, reports_file_errors_as_findings) {
  EXPECT_EQ(to_string(errors(load_settings("no/such.ini"))),
            "no/such.ini: cannot be read: no such file\n");
  EXPECT_EQ(to_string(errors(load_workload("/"))),
            "/: cannot be read: not a regular file\n");
}
